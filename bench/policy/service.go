package main

import (
	"fmt"
	"net"
	"strconv"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const (
	requestType = "query"
	// firstPort is the port of the targets of the first row; each row takes
	// the next one.
	firstPort = 8000
)

// service is one service of a running row.
type service struct {
	size    size
	targets []*targetd.Target
	config  *config.Service
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

func (s *service) count(measured *result) {
	for _, target := range s.targets {
		counts := target.Counts()
		measured.requests += counts.Requests
		measured.probes += counts.Probes + counts.Checks
	}
}
