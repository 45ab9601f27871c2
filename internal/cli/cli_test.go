package cli

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
)

var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the binary: the test binary itself starts slowly when it is
// built with the race detector.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "poplarwheel-cli")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "poplarwheel")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/poplarwheel").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("%v: %s", err, output))
	}
	return m.Run()
}

type result struct {
	code           int
	stdout, stderr string
}

// poplarwheel runs the command line in a process of its own, since the flag
// library ends the process after some mistakes.
func poplarwheel(t *testing.T, input string, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	command := exec.Command(binary, args...)
	command.Stdin = strings.NewReader(input)
	command.Stdout, command.Stderr = &stdout, &stderr
	_ = command.Run()
	return result{command.ProcessState.ExitCode(), stdout.String(), stderr.String()}
}

func TestExitCodes(t *testing.T) {
	settings := `{"name":"e","ip":"127.0.0.1","region":"r","zone":"z","platform":"127.0.0.1:1","peer_key":"a key of 16 bytes"}`
	closed := closedAddress(t)
	for name, c := range map[string]struct {
		input  string
		args   string
		code   int
		stderr string
	}{
		"version":             {"", "version", ExitOK, ""},
		"version flag":        {"", "--version", ExitOK, ""},
		"version as JSON":     {"", "version --json", ExitOK, ""},
		"help":                {"", "entry --help", ExitOK, ""},
		"nothing":             {"", "", ExitUsage, "Usage:"},
		"unknown subcommand":  {"", "bogus", ExitUsage, ""},
		"unknown flag":        {"", "status --bogus x", ExitUsage, "Unknown arguments supplied"},
		"bad flag value":      {"", "load --rate fast", ExitUsage, "fast"},
		"flag without value":  {"", "entry --settings", ExitUsage, "settings"},
		"settings valid":      {settings, "entry --settings - --check", ExitOK, ""},
		"settings as JSON":    {settings, "entry --settings - --check --json", ExitOK, ""},
		"settings missing":    {"", "entry", ExitUsage, "--settings must be given"},
		"settings unreadable": {"", "entry --settings /nonexistent --check", ExitUsage, "/nonexistent"},
		"settings wrong":      {`{"caller_port":0}`, "entry --settings - --check", ExitUsage, "caller_port: is 0, must be at least 1"},
		"answers valid":       {questionnaire.Template(), "questionnaire --check -", ExitOK, ""},
		"answers wrong":       {`{"teem":"a"}`, "questionnaire --check -", ExitUsage, "standard input: teem: unknown field"},
		"answers end early":   {"swanbrook\n", "questionnaire", ExitFailure, "no answer to"},
		"propose, no flag":    {"", "propose --answers -", ExitUsage, "--platform must be given"},
		"accept, no flag":     {"", "accept --platform x", ExitUsage, "--proposal must be given"},
		"status, no flag":     {"", "status", ExitUsage, "--platform must be given"},
		"dump, no flag":       {"", "dump", ExitUsage, "--admin must be given"},
		"call, no flag":       {"", "call --entries x --service y", ExitUsage, "--type must be given"},
		"load, no flag":       {"", "load --entries x --type y", ExitUsage, "--service must be given"},
		"load, bad arrivals":  {"", "load -e x -s y -t z --arrivals bursts", ExitUsage, "--arrivals must be constant or poisson"},
		"call, no time":       {"", "call -e x -s y -t z --timeout-ms 0", ExitUsage, "--timeout-ms must be above 0"},
		"call, both forms":    {"", "call -e x -s y -t z --json --text", ExitUsage, "only one of --json and --text"},
		"load, no body":       {"", "load -e x -s y -t z --body @/nonexistent", ExitUsage, "/nonexistent"},
		"target, no flag":     {"", "standin target --listen 127.0.0.1:0", ExitUsage, "--name must be given"},
		"platform, no flag":   {"", "standin platform", ExitUsage, "--listen must be given"},
		"demo, no time":       {"", "demo --duration 0s", ExitUsage, "--duration must be above 0"},
		"demo, idle folder":   {"", "demo --dir x", ExitUsage, "--dir must be given with --serve only"},
		"call, two keys":      {"", "call -e x -s y -t z --once --key k", ExitUsage, "only one of --once and --key"},
		"no entry VM, key":    {"", "call -e " + closed + " -s s -t t --key k", ExitFailure, "idempotency key k"},
		"platform away":       {"", "status --platform " + closed, ExitFailure, "connection refused"},
		"no daemon":           {"", "dump --admin " + closed, ExitFailure, "connection refused"},
		"no entry VM":         {"", "call -e " + closed + " -s s -t t", ExitFailure, "no entry VM answers"},
		"no entry VM, load":   {"", "load -e " + closed + " -s s -t t", ExitFailure, "no entry VM answers"},
	} {
		t.Run(name, func(t *testing.T) {
			got := poplarwheel(t, c.input, strings.Fields(c.args)...)
			require.Equal(t, c.code, got.code, "stdout %s, stderr %s", got.stdout, got.stderr)
			require.Contains(t, got.stderr, c.stderr)
			if c.code == ExitOK {
				require.Empty(t, got.stderr)
				require.NotEmpty(t, got.stdout)
			}
		})
	}
}

func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func TestHelpHasExamples(t *testing.T) {
	for _, args := range []string{
		"entry", "questionnaire", "propose", "accept", "status", "history", "services", "targets", "dump", "call", "load",
		"quarantine", "quarantine list", "quarantine lift",
		"teams", "teams list", "teams put", "teams remove", "teams token", "teams revoke",
		"standin", "standin platform", "standin target", "demo", "version",
	} {
		got := poplarwheel(t, "", append(strings.Fields(args), "--help")...)
		require.Equal(t, ExitOK, got.code, args)
		require.Contains(t, got.stdout, "Examples:", args)
		require.Contains(t, got.stdout, "poplarwheel "+args, args)
	}
}

func TestRacingOperatorGetsAConflict(t *testing.T) {
	platform := platformd.NewServer()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = platform.Serve(listener) }()
	t.Cleanup(func() { _ = platform.Close() })
	address := listener.Addr().String()

	proposal := poplarwheel(t, questionnaire.Template(), "propose", "--answers", "-", "--platform", address)
	require.Equal(t, ExitOK, proposal.code, proposal.stderr)
	path := filepath.Join(t.TempDir(), "proposal.json")
	require.NoError(t, os.WriteFile(path, []byte(proposal.stdout), 0o600))

	first := poplarwheel(t, "", "accept", "--proposal", path, "--platform", address, "--by", "ruth")
	require.Equal(t, ExitOK, first.code, first.stderr)
	require.Contains(t, first.stdout, `"revision": 1`)
	second := poplarwheel(t, proposal.stdout, "accept", "--proposal", "-", "--platform", address, "--by", "paul")
	require.Equal(t, ExitConflict, second.code)
	require.Contains(t, second.stderr, "revision 1 is in force")

	explained := poplarwheel(t, questionnaire.Template(), "propose", "--answers", "-", "--platform", address, "--explain")
	require.Equal(t, ExitOK, explained.code)
	require.Contains(t, explained.stdout, "stock.availability.hedge_after_ms = 20")
	require.Contains(t, explained.stdout, "changes from revision 1:\n  none")
	status := poplarwheel(t, "", "status", "--platform", address)
	require.Contains(t, status.stdout, `"accepted_by": "ruth"`)
}
