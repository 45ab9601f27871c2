// Package fleet starts the whole system as separate processes on loopback, for
// tests and measurements: a platform stand-in, target stand-ins and entry
// daemons, each at an IP of its own.
package fleet

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/loopback"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// Ports of all processes of a kind.
const (
	CallerPort   = 8080
	PeerPort     = 7946
	AdminPort    = 9090
	APIPort      = 9091
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
	*Processes
}

// Start starts the processes and registers the VMs with the platform. The targets accept
// connections when it returns.
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
		Processes: NewProcesses(options.Binary, options.Dir),
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
	return f.awaitTargets()
}

// awaitTargets waits until every target accepts connections.
func (f *Fleet) awaitTargets() error {
	for i := range f.options.Targets {
		if err := Await(TargetName(i), func() bool { return listening(f.TargetAddress(i)) }); err != nil {
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

		"api_admin_token_sha256": adminTokenSHA256(),
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
