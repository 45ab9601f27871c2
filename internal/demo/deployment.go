package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/settings"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const (
	// entryCount is the number of entry VMs of each deployment.
	entryCount = 5
	// keepSeconds is how long callers keep the list of entry VMs.
	keepSeconds = 1
	// platformTimeout bounds a call to the platform.
	platformTimeout = time.Second
	// settleTimeout bounds the wait for a configuration to be in force.
	settleTimeout = 20 * time.Second
	// settlePoll is the pause between two looks at the daemons.
	settlePoll = 20 * time.Millisecond

	platformHost    = 1
	firstEntryHost  = 10
	firstTargetHost = 100
	platformPort    = 7000
)

// deployment is one user's platform, targets and entry VMs.
type deployment struct {
	name   string
	region string
	subnet string
	// token is the administrators' token.
	token           string
	answers         *questionnaire.Answers
	platform        *platformd.Server
	platformAddress string
	entries         []*entryVM
	targets         []*targetVM
	leftEntries     []*entryVM
	left            *leave
	streams         []*stream
	revision        uint64
	// inForceAfter is how long a change took to be in force everywhere; 0 means
	// that there was none.
	inForceAfter time.Duration
	reviseErr    error
	stopOnce     sync.Once
}

// entryVM is one entry daemon.
type entryVM struct {
	settings *settings.Settings
	daemon   *daemon.Daemon
	cancel   context.CancelFunc
	done     chan error
}

// targetVM is one target stand-in.
type targetVM struct {
	service string
	vm      platform.VM
	target  *targetd.Target
}

// NotInForceError reports daemons that haven't applied a configuration in time.
type NotInForceError struct {
	Deployment string
	Revision   uint64
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("demo: revision %d is not in force on every entry VM of %s after %s", e.Revision, e.Deployment, settleTimeout)
}

// startDeployment starts a deployment. After an error, the parts that run are in
// the returned deployment.
func startDeployment(answers []byte, subnet, token string, options Options) (*deployment, error) {
	parsed, err := questionnaire.Parse(answers)
	if err != nil {
		return nil, &StartError{Part: "questionnaire", Cause: err}
	}
	d := &deployment{name: parsed.Team, region: parsed.Team, subnet: subnet, token: token, answers: parsed, platform: platformd.NewServer()}
	d.platformAddress = address(subnet, platformHost, platformPort)
	if err := serve(d.platformAddress, d.platform.Serve); err != nil {
		return nil, &StartError{Part: "platform", Cause: err}
	}
	if err := d.startTargets(subnet, options.Seed); err != nil {
		return d, err
	}
	d.startEntries(options)
	d.revision, err = d.accept()
	if err != nil {
		return d, &StartError{Part: "configuration", Cause: err}
	}
	if !d.inForce(settleTimeout) {
		return d, &NotInForceError{Deployment: d.name, Revision: d.revision}
	}
	d.streams = newStreams(d, options.Seed)
	return d, nil
}

func serve(address string, serve func(net.Listener) error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = serve(listener) }()
	return nil
}

func address(subnet string, host, port int) string {
	return net.JoinHostPort(subnet+strconv.Itoa(host), strconv.Itoa(port))
}

// startTargets starts a stand-in for each server of the answers and puts its
// loopback address into them.
func (d *deployment) startTargets(subnet string, seed uint64) error {
	host := firstTargetHost
	for i := range d.answers.Services {
		service := &d.answers.Services[i]
		for j := range service.Servers {
			server := &service.Servers[j]
			server.IP = subnet + strconv.Itoa(host)
			vm := platform.VM{Name: server.Name, IP: server.IP, Region: d.region, Zone: server.Zone, Role: platform.RoleTarget, State: platform.VMLive}
			target := targetd.New(targetOptions(service, server.Name, seed+uint64(host)))
			if err := serve(address(subnet, host, server.Port), target.Serve); err != nil {
				return &StartError{Part: server.Name, Cause: err}
			}
			d.platform.Store().SetVM(vm)
			d.targets = append(d.targets, &targetVM{service: service.Name, vm: vm, target: target})
			host++
		}
	}
	return nil
}

func targetOptions(service *questionnaire.Service, name string, seed uint64) targetd.Options {
	return targetd.Options{
		Name:           name,
		Slots:          service.SlotsPerServer,
		MaxConnections: service.ConnectionsPerServer,
		MeanService:    time.Duration(service.TypicalMs) * time.Millisecond,
		Noise:          targetd.Noise{Every: 200 * time.Millisecond, For: 20 * time.Millisecond, Factor: 4},
		ReportLag:      20 * time.Millisecond,
		Seed:           seed,
	}
}

// entrySettings returns the settings of entry VM i.
func (d *deployment) entrySettings(i int) *settings.Settings {
	zones := d.zones()
	s := settings.Default()
	s.Name = fmt.Sprintf("%s-entry-%d", d.name, i+1)
	s.IP = d.subnet + strconv.Itoa(firstEntryHost+i)
	s.Region = d.region
	s.Zone = zones[i%len(zones)]
	s.Platform = d.platformAddress
	s.PeerKey = "key of the demo's entry daemons"
	s.EventLoops = 1
	s.KeepSeconds = keepSeconds
	hash := sha256.Sum256([]byte(d.token))
	s.APIAdminTokenSHA256 = hex.EncodeToString(hash[:])
	return s
}

func (d *deployment) startEntries(options Options) {
	for i := range entryCount {
		s := d.entrySettings(i)
		d.platform.Store().SetVM(entryState(s, platform.VMLive))
		ctx, cancel := context.WithCancel(context.Background())
		entry := &entryVM{settings: s, daemon: daemon.New(s, options.Log), cancel: cancel, done: make(chan error, 1)}
		go func() { entry.done <- entry.daemon.Run(ctx) }()
		d.entries = append(d.entries, entry)
	}
}

func entryState(s *settings.Settings, state platform.VMState) platform.VM {
	return platform.VM{Name: s.Name, IP: s.IP, Region: s.Region, Zone: s.Zone, Role: platform.RoleEntry, State: state}
}

// zones returns the availability zones of the servers, in their order.
func (d *deployment) zones() []string {
	var zones []string
	seen := map[string]bool{}
	for _, target := range d.targets {
		if !seen[target.vm.Zone] {
			seen[target.vm.Zone] = true
			zones = append(zones, target.vm.Zone)
		}
	}
	return zones
}

// accept derives a configuration from the answers and accepts it.
func (d *deployment) accept() (uint64, error) {
	proposal, err := questionnaire.Propose(d.answers)
	if err != nil {
		return 0, err
	}
	return rollout.AcceptOnLatest(platform.NewClient(d.platformAddress, platformTimeout), proposal.Services, "demo")
}

// inForce waits until every running daemon has applied the revision and sees the
// other entry VMs.
func (d *deployment) inForce(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if d.agree() {
			return true
		}
		time.Sleep(settlePoll)
	}
	return false
}

func (d *deployment) agree() bool {
	for _, entry := range d.entries {
		dump := entry.daemon.Dump()
		if dump.Revision != d.revision || len(dump.Members) < len(d.entries) {
			return false
		}
	}
	return true
}

func (d *deployment) stop() {
	d.stopOnce.Do(func() {
		for _, entry := range d.entries {
			entry.cancel()
		}
		for _, entry := range append(d.leftEntries, d.entries...) {
			<-entry.done
		}
		for _, target := range d.targets {
			_ = target.target.Close()
		}
		_ = d.platform.Close()
	})
}
