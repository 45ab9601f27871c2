package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/settings"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const (
	requestType = "query"
	// settleLimit bounds the wait for the daemons.
	settleLimit = 20 * time.Second
	// maxRepeats bounds the repetitions of a pass.
	maxRepeats = 2
	// firstPort is the port of the targets of the first row; each row takes
	// the next one.
	firstPort = 8000
)

// NotSettledError reports daemons that don't apply a configuration.
type NotSettledError struct{ Revision uint64 }

// Error implements error.
func (e *NotSettledError) Error() string {
	return fmt.Sprintf("policy: revision %d is not in force everywhere", e.Revision)
}

// fleet is one deployment: platform stand-in and entry daemons.
type fleet struct {
	deployment deployment
	subnet     string
	platform   *platformd.Server
	store      platform.Store
	daemons    []*daemon.Daemon
	settings   []*settings.Settings
	stop       context.CancelFunc
	revision   uint64
	// accepted names the services of the running row.
	accepted []string
	oracle   sync.Map
	runs     int
	// repeated counts the passes that were run again.
	repeated int
}

var fleets int

func startFleet(d deployment) (*fleet, error) {
	fleets++
	f := &fleet{deployment: d, subnet: fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%200, 100+fleets), platform: platformd.NewServer()}
	balancer.Register(policyOracle, func() balancer.Policy { return oracle{targets: &f.oracle} })
	address := f.subnet + "1:7000"
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = f.platform.Serve(listener) }()
	f.store = platform.NewClient(address, time.Second)
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for i := range d.entryVMs {
		f.startEntry(ctx, i, address)
	}
	return f, nil
}

func (f *fleet) startEntry(ctx context.Context, i int, platformAddress string) {
	s := settings.Default()
	s.Name = fmt.Sprintf("entry-%d", i)
	s.IP = f.subnet + strconv.Itoa(10+i)
	s.Region = "bench"
	s.Zone = zone(i)
	s.Platform = platformAddress
	s.PeerKey = "policy bench peer key"
	s.KeepSeconds = 1
	s.EventLoops = 1
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	d := daemon.New(s, log)
	go func() { _ = d.Run(ctx) }()
	f.daemons = append(f.daemons, d)
	f.settings = append(f.settings, s)
	f.platform.Store().SetVM(platform.VM{Name: s.Name, IP: s.IP, Region: s.Region, Zone: s.Zone, Role: platform.RoleEntry, State: platform.VMLive})
}

func zone(i int) string { return string(rune('a' + i%3)) }

func (f *fleet) close() {
	f.stop()
	_ = f.platform.Close()
}

// service is one service of a running row.
type service struct {
	size    size
	targets []*targetd.Target
	config  *config.Service
}

// measureQuiet repeats a pass, a few times at most, in which the host held up the
// generator itself.
func (f *fleet) measureQuiet(r row, seed uint64, duration time.Duration) (result, error) {
	measured, err := f.measure(r, seed, duration)
	for i := 0; i < maxRepeats && err == nil && measured.disturbed(r.times.maxLag); i++ {
		f.repeated++
		measured, err = f.measure(r, seed, duration)
	}
	return measured, err
}

// measure runs one row on fresh targets.
func (f *fleet) measure(r row, seed uint64, duration time.Duration) (result, error) {
	f.runs++
	var services []*service
	for _, size := range f.deployment.services {
		s, err := f.startService(size, r, seed)
		if err != nil {
			return result{}, err
		}
		defer s.close()
		services = append(services, s)
	}
	if err := f.accept(services); err != nil {
		return result{}, err
	}
	return f.load(services, r, seed, duration), nil
}

func (f *fleet) startService(size size, r row, seed uint64) (*service, error) {
	s := &service{size: size}
	group := config.TargetGroup{Name: "main", Slots: slots, MaxConnections: f.deployment.maxConnections}
	for i := range size.targets {
		name := fmt.Sprintf("%s-%d-run-%d", size.name, i, f.runs)
		address := net.JoinHostPort(f.subnet+strconv.Itoa(100+i), strconv.Itoa(firstPort+f.runs*10+len(size.name)))
		target := targetd.New(targetd.Options{
			Name:           name,
			Slots:          slots,
			MaxConnections: f.deployment.maxConnections,
			MeanService:    r.times.service,
			Noise:          r.faults.noise,
			ReportLag:      r.faults.reportLag,
			Seed:           seed*1000 + uint64(i),
		})
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		go func() { _ = target.Serve(listener) }()
		f.oracle.Store(name, target)
		s.targets = append(s.targets, target)
		group.Targets = append(group.Targets, config.Target{Name: name, Address: address, Zone: zone(i)})
	}
	s.config = serviceConfig(size, r, group, f.deployment)
	s.config.Name = fmt.Sprintf("%s-%d", size.name, f.runs)
	return s, nil
}

func serviceConfig(size size, r row, group config.TargetGroup, d deployment) *config.Service {
	s := &config.Service{
		Name:            size.name,
		Team:            d.name,
		EntrySetSize:    r.k,
		Policy:          r.policy,
		ProbesPerSecond: r.probes * rate(size, r) * float64(config.DefaultEntryVMLimit) / float64(r.k),
		RetryShare:      retryShare,
		Groups:          []config.TargetGroup{group},
		RequestTypes: []config.RequestType{{
			Name:         requestType,
			DeadlineMs:   int(r.times.deadline.Milliseconds()),
			Idempotent:   true,
			MaxAttempts:  3,
			PlatformDown: config.OutageServe,
		}},
	}
	if r.queue {
		s.RequestTypes[0].QueueMs = int(r.times.queueLimit.Milliseconds())
	}
	if r.hedgeAfter > 0 {
		s.HedgeShare = hedgeShare
		s.RequestTypes[0].HedgeAfterMs = int(r.hedgeAfter.Milliseconds())
	}
	return s
}

// rate is the number of calls a second that load the targets as the row asks.
func rate(size size, r row) float64 {
	nominal := float64(size.targets*slots) / r.times.service.Seconds()
	return nominal * r.faults.capacityShare(size.targets) * r.load
}

func (s *service) close() {
	for _, target := range s.targets {
		_ = target.Close()
	}
}

// accept brings the services into force and waits for all daemons.
func (f *fleet) accept(services []*service) error {
	change := rollout.Acceptance{Base: f.revision, Removed: f.accepted, By: "bench", At: time.Now(), ID: strconv.Itoa(f.runs)}
	f.accepted = nil
	for _, s := range services {
		change.Services = append(change.Services, s.config)
		f.accepted = append(f.accepted, s.config.Name)
	}
	revision, err := rollout.Accept(f.store, change)
	if err != nil {
		return err
	}
	f.revision = revision
	deadline := time.Now().Add(settleLimit)
	for !f.settled() {
		if time.Now().After(deadline) {
			return &NotSettledError{Revision: revision}
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (f *fleet) settled() bool {
	for _, d := range f.daemons {
		dump := d.Dump()
		if dump.Revision < f.revision || len(dump.Members) < len(f.daemons) {
			return false
		}
	}
	return true
}

// load sends the calls of a row and counts what they cost.
func (f *fleet) load(services []*service, r row, seed uint64, duration time.Duration) result {
	stop := make(chan struct{})
	results := newTally(r.times.deadline)
	occupied := f.observe(services, samplePause*time.Duration(r.scale), r.k, stop)
	cpu := cpuTime()
	before := f.measuring()
	start := time.Now().Add(10 * time.Millisecond)
	record := start.Add(r.times.warmUp)
	var running sync.WaitGroup
	var sent []*generator
	for i, s := range services {
		go r.faults.disturb(s.targets, seed, stop)
		g := newGenerator(s.config.Name, f.bootstrap(), rate(s.size, r), seed*100+uint64(i), results)
		g.heavy = r.heavy
		sent = append(sent, g)
		running.Go(func() { g.run(start, record, record.Add(duration)) })
	}
	running.Wait()
	close(stop)
	measured := result{tally: results, occupied: <-occupied, cpu: cpuTime() - cpu}
	for _, g := range sent {
		measured.sent += g.sent
	}
	for _, s := range services {
		s.count(&measured)
	}
	after := f.measuring()
	measured.probeBytes = after.ProbeBytes - before.ProbeBytes
	measured.reportBytes = after.ReportBytes - before.ReportBytes
	return measured
}

func (s *service) count(measured *result) {
	for _, target := range s.targets {
		counts := target.Counts()
		measured.requests += counts.Requests
		measured.probes += counts.Probes + counts.Checks
	}
}

// measuring sums what the daemons have spent on measuring.
func (f *fleet) measuring() proxy.MeasuringCosts {
	var sum proxy.MeasuringCosts
	for _, d := range f.daemons {
		spent := d.Dump().Measuring
		sum.ProbeBytes += spent.ProbeBytes
		sum.ReportBytes += spent.ReportBytes
	}
	return sum
}

func (f *fleet) bootstrap() []string {
	var addresses []string
	for _, s := range f.settings {
		addresses = append(addresses, s.CallerAddress())
	}
	return addresses
}

// cpuTime is the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
