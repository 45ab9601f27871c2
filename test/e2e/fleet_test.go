package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/loopback"
	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const (
	callerPort   = "8080"
	adminPort    = "9090"
	platformPort = "7000"
	targetPort   = 8000
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "poplarwheel-e2e")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "poplarwheel")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/poplarwheel")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, output))
	}
	return m.Run()
}

// fleet is a platform stand-in, entry daemons and target stand-ins.
type fleet struct {
	platform  string
	entries   []string
	targets   []string
	processes map[string]*exec.Cmd
	dir       string
}

// startFleet starts one process for each VM, each at an IP of its own.
func startFleet(t *testing.T, entries, targets int) *fleet {
	t.Helper()
	reserved, err := loopback.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = reserved.Release() })
	subnet := reserved.Prefix
	f := &fleet{platform: net.JoinHostPort(subnet+"1", platformPort), processes: map[string]*exec.Cmd{}, dir: t.TempDir()}
	f.start(t, "platform", "standin", "platform", "--listen", f.platform)
	for i := range targets {
		ip := subnet + strconv.Itoa(100+i)
		f.targets = append(f.targets, ip)
		name := fmt.Sprintf("target-%d", i)
		f.start(t, name, "standin", "target", "--listen", net.JoinHostPort(ip, strconv.Itoa(targetPort)), "--name", name, "--seed", strconv.Itoa(i+1))
	}
	for i := range entries {
		f.entries = append(f.entries, subnet+strconv.Itoa(10+i))
	}
	f.register(t)
	for i := range entries {
		f.startEntry(t, i)
	}
	return f
}

func (f *fleet) startEntry(t *testing.T, i int) {
	t.Helper()
	name := fmt.Sprintf("entry-%d", i)
	path := filepath.Join(f.dir, name+".json")
	settings := fmt.Sprintf(`{"name":%q,"ip":%q,"region":"perth","zone":%q,"platform":%q,"keep_seconds":1,"peer_key":"end-to-end test key"}`, name, f.entries[i], zone(i), f.platform)
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	f.start(t, name, "entry", "--settings", path)
}

func (f *fleet) start(t *testing.T, name string, args ...string) {
	t.Helper()
	output := &bytes.Buffer{}
	process := exec.Command(binary, args...)
	process.Stdout = output
	process.Stderr = output
	require.NoError(t, process.Start())
	f.processes[name] = process
	t.Cleanup(func() {
		_ = process.Process.Signal(syscall.SIGKILL)
		_ = process.Wait()
		if t.Failed() {
			t.Logf("%s: %s", name, output.String())
		}
	})
}

func (f *fleet) register(t *testing.T) {
	t.Helper()
	for _, vm := range f.vms() {
		f.setVM(t, vm)
	}
}

func (f *fleet) setVM(t *testing.T, vm platform.VM) {
	t.Helper()
	body, err := json.Marshal(vm)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.Header.SetMethod(fasthttp.MethodPut)
		request.SetRequestURI("http://" + f.platform + platformd.PathControlVMs)
		request.SetBody(body)
		return fasthttp.DoTimeout(request, nil, time.Second) == nil
	}, settleTimeout, 20*time.Millisecond)
}

// accept proposes and accepts a configuration by the command line.
func (f *fleet) accept(t *testing.T, answers *questionnaire.Answers) uint64 {
	t.Helper()
	input, err := json.Marshal(answers)
	require.NoError(t, err)
	proposal := f.run(t, input, "propose", "--answers", "-", "--platform", f.platform)
	output := f.run(t, proposal, "accept", "--proposal", "-", "--platform", f.platform, "--by", "test")
	var reply struct{ Revision uint64 }
	require.NoError(t, json.Unmarshal(output, &reply), "output %s", output)
	return reply.Revision
}

func (f *fleet) run(t *testing.T, input []byte, args ...string) []byte {
	t.Helper()
	command := exec.Command(binary, args...)
	command.Stdin = bytes.NewReader(input)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	output, err := command.Output()
	require.NoError(t, err, "stderr: %s", stderr.String())
	return output
}

// waitRevision waits until every entry daemon has applied a revision and sees
// every entry VM live.
func (f *fleet) waitRevision(t *testing.T, revision uint64) {
	t.Helper()
	for i := range f.entries {
		require.Eventually(t, func() bool {
			dump, ok := f.dump(i)
			return ok && dump.Revision >= revision && live(dump) == len(f.entries)
		}, settleTimeout, 20*time.Millisecond)
	}
}

// live counts the entry VMs that a daemon takes to be live.
func live(dump daemon.Dump) int {
	count := 0
	for _, member := range dump.Members {
		if member.State == membership.Live {
			count++
		}
	}
	return count
}

func (f *fleet) dump(i int) (daemon.Dump, bool) {
	var dump daemon.Dump
	url := "http://" + net.JoinHostPort(f.entries[i], adminPort) + daemon.PathDump
	return dump, getJSON(url, &dump) == nil
}

func (f *fleet) journal(t *testing.T, i int) []targetd.Run {
	t.Helper()
	var runs []targetd.Run
	url := "http://" + net.JoinHostPort(f.targets[i], strconv.Itoa(targetPort)) + targetd.PathJournal
	require.NoError(t, getJSON(url, &runs))
	return runs
}

func getJSON(url string, value any) error {
	_, body, err := fasthttp.GetTimeout(nil, url, time.Second)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, value)
}
