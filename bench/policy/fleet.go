package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/settings"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
)

// settleLimit bounds the wait for the daemons.
const settleLimit = 20 * time.Second

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

func (f *fleet) bootstrap() []string {
	var addresses []string
	for _, s := range f.settings {
		addresses = append(addresses, s.CallerAddress())
	}
	return addresses
}
