// Package fleet starts the whole system as separate processes on loopback, for
// tests and measurements: a platform stand-in, target stand-ins and entry
// daemons, each at an IP of its own.
package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/loopback"
	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

// Ports of all processes of a kind.
const (
	CallerPort   = 8080
	PeerPort     = 7946
	AdminPort    = 9090
	PlatformPort = 7000
	TargetPort   = 8000
)

const (
	// callTimeout bounds a control call to a process.
	callTimeout = 2 * time.Second
	// pollInterval is the pause between two looks at a condition.
	pollInterval = 20 * time.Millisecond
	// zones is the number of availability zones.
	zones = 3
	// region is the region of every VM.
	region = "perth"
	// peerKey authenticates the entry daemons to each other.
	peerKey = "fleet test peer key"
)

// Options say what to start.
type Options struct {
	// Binary is the path of the poplarwheel binary.
	Binary string
	// Dir holds settings files and logs.
	Dir string
	// Entries is the number of entry VMs.
	Entries int
	// Targets is the number of target VMs.
	Targets int
	// TargetArgs are added to the arguments of target i. It may be nil.
	TargetArgs func(i int) []string
	// Settings are added to the settings of each entry daemon. It may be nil.
	Settings map[string]any
}

// Fleet is a running system.
type Fleet struct {
	options  Options
	subnet   string
	Platform string
	*processes
}

// TimeoutError reports a condition that didn't come true.
type TimeoutError struct{ Waiting string }

// Error implements error.
func (e *TimeoutError) Error() string { return "fleet: timed out waiting for " + e.Waiting }

// Start starts the processes and registers the VMs with the platform.
func Start(options Options) (*Fleet, error) {
	reserved, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	subnet := reserved.Prefix
	f := &Fleet{
		options:   options,
		subnet:    subnet,
		Platform:  net.JoinHostPort(subnet+"1", strconv.Itoa(PlatformPort)),
		processes: newProcesses(options.Binary, options.Dir),
	}
	if err := f.startAll(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	if err := f.StartProcess("platform", "standin", "platform", "--listen", f.Platform); err != nil {
		return err
	}
	if err := Await("platform", func() bool { return listening(f.Platform) }); err != nil {
		return err
	}
	for i := range f.options.Targets {
		if err := f.StartTarget(i); err != nil {
			return err
		}
	}
	for i := range f.options.Entries {
		if err := f.StartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// StartTarget starts target i and registers its VM.
func (f *Fleet) StartTarget(i int) error {
	name := TargetName(i)
	args := []string{"standin", "target", "--listen", f.TargetAddress(i), "--name", name, "--seed", strconv.Itoa(i + 1)}
	if f.options.TargetArgs != nil {
		args = append(args, f.options.TargetArgs(i)...)
	}
	if err := f.SetVM(f.targetVM(i, platform.VMLive)); err != nil {
		return err
	}
	return f.StartProcess(name, args...)
}

// StartEntry starts entry daemon i and registers its VM.
func (f *Fleet) StartEntry(i int) error {
	name := EntryName(i)
	settings := map[string]any{
		"name":     name,
		"ip":       f.entryIP(i),
		"region":   region,
		"zone":     Zone(i),
		"platform": f.Platform,
		"peer_key": peerKey,
		"peers":    f.seeds(),
	}
	for field, value := range f.options.Settings {
		settings[field] = value
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(f.options.Dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	if err := f.SetVM(f.entryVM(i, platform.VMLive)); err != nil {
		return err
	}
	return f.StartProcess(name, "entry", "--settings", path)
}

// seedCount is the number of entry VMs that settings name as peers.
const seedCount = 3

// seeds returns the IPs of the first entry VMs.
func (f *Fleet) seeds() []string {
	var ips []string
	for i := range min(seedCount, f.options.Entries) {
		ips = append(ips, f.entryIP(i))
	}
	return ips
}

// EntryName returns the VM name of entry daemon i.
func EntryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// TargetName returns the VM name of target i.
func TargetName(i int) string { return fmt.Sprintf("target-%d", i) }

// Zone returns the availability zone of the VM with index i.
func Zone(i int) string { return string(rune('a' + i%zones)) }

func (f *Fleet) entryIP(i int) string { return f.subnet + strconv.Itoa(10+i) }

// TargetIP returns the IP of target i.
func (f *Fleet) TargetIP(i int) string { return f.subnet + strconv.Itoa(100+i) }

// EntryAddress returns the "ip:port" that serves callers of entry daemon i.
func (f *Fleet) EntryAddress(i int) string {
	return net.JoinHostPort(f.entryIP(i), strconv.Itoa(CallerPort))
}

// AdminAddress returns the "ip:port" that serves operators of entry daemon i.
func (f *Fleet) AdminAddress(i int) string {
	return net.JoinHostPort(f.entryIP(i), strconv.Itoa(AdminPort))
}

// TargetAddress returns the "ip:port" of target i.
func (f *Fleet) TargetAddress(i int) string {
	return net.JoinHostPort(f.TargetIP(i), strconv.Itoa(TargetPort))
}

// EntryAddresses returns the caller addresses of all entry daemons.
func (f *Fleet) EntryAddresses() []string {
	addresses := make([]string, f.options.Entries)
	for i := range addresses {
		addresses[i] = f.EntryAddress(i)
	}
	return addresses
}

func (f *Fleet) entryVM(i int, state platform.VMState) platform.VM {
	return platform.VM{Name: EntryName(i), IP: f.entryIP(i), Region: region, Zone: Zone(i), Role: platform.RoleEntry, State: state}
}

func (f *Fleet) targetVM(i int, state platform.VMState) platform.VM {
	return platform.VM{Name: TargetName(i), IP: f.TargetIP(i), Region: region, Zone: Zone(i), Role: platform.RoleTarget, State: state}
}

// SetVM adds or replaces a VM in the platform's list.
func (f *Fleet) SetVM(vm platform.VM) error {
	return put("http://"+f.Platform+platformd.PathControlVMs, vm)
}

// SetTargetState changes the platform's view of target i.
func (f *Fleet) SetTargetState(i int, state platform.VMState) error {
	return f.SetVM(f.targetVM(i, state))
}

// SetEntryState changes the platform's view of entry VM i.
func (f *Fleet) SetEntryState(i int, state platform.VMState) error {
	return f.SetVM(f.entryVM(i, state))
}

// SetPlatformFaults replaces the platform's faults.
func (f *Fleet) SetPlatformFaults(faults platformd.Faults) error {
	return put("http://"+f.Platform+platformd.PathControlFaults, faults)
}

// SetTargetFaults replaces the faults of target i.
func (f *Fleet) SetTargetFaults(i int, faults targetd.Faults) error {
	return put("http://"+f.TargetAddress(i)+targetd.PathFaults, faults)
}

// Dump returns the state of entry daemon i.
func (f *Fleet) Dump(i int) (daemon.Dump, error) {
	var dump daemon.Dump
	err := get("http://"+f.AdminAddress(i)+daemon.PathDump, &dump)
	return dump, err
}

// Journal returns what target i ran since its start.
func (f *Fleet) Journal(i int) ([]targetd.Run, error) {
	var runs []targetd.Run
	err := get("http://"+f.TargetAddress(i)+targetd.PathJournal, &runs)
	return runs, err
}

// Counts returns the messages that target i has received.
func (f *Fleet) Counts(i int) (targetd.Counts, error) {
	var counts targetd.Counts
	err := get("http://"+f.TargetAddress(i)+targetd.PathCounts, &counts)
	return counts, err
}

// AwaitRevision waits until every entry daemon has applied a revision and sees
// every entry VM live.
func (f *Fleet) AwaitRevision(revision uint64) error {
	for i := range f.options.Entries {
		err := Await(fmt.Sprintf("revision %d at %s", revision, EntryName(i)), func() bool {
			dump, err := f.Dump(i)
			return err == nil && dump.Revision >= revision && liveMembers(dump) >= f.options.Entries
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func liveMembers(dump daemon.Dump) int {
	live := 0
	for _, member := range dump.Members {
		if member.State == membership.Live {
			live++
		}
	}
	return live
}

// PlatformCounts returns the calls that the platform received.
func (f *Fleet) PlatformCounts() (platformd.Counts, error) {
	var counts platformd.Counts
	err := get("http://"+f.Platform+platformd.PathControlCounts, &counts)
	return counts, err
}

// settleTimeout bounds every wait for a condition.
const settleTimeout = 30 * time.Second

// Await polls until done returns true. The error is a *TimeoutError.
func Await(waiting string, done func() bool) error {
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		if done() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return &TimeoutError{Waiting: waiting}
}

func listening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

func put(url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI(url)
	request.SetBody(body)
	return fasthttp.DoTimeout(request, response, callTimeout)
}

func get(url string, value any) error {
	_, body, err := fasthttp.GetTimeout(nil, url, callTimeout)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, value)
}

// Ready returns the revision that entry daemon i has in force.
func (f *Fleet) Ready(i int) (daemon.Ready, error) {
	var ready daemon.Ready
	err := get("http://"+f.AdminAddress(i)+daemon.PathReady, &ready)
	return ready, err
}
