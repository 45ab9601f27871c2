package proxy

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/probe"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// headerOverheadBytes is what a header line takes besides name and value.
const headerOverheadBytes = len(": \r\n")

// Measuring is what a daemon has spent on measuring since its start.
type Measuring struct {
	// Probes counts load reports asked for.
	Probes uint64 `json:"probes"`
	// ProbeBytes counts the bytes of probes and their answers.
	ProbeBytes uint64 `json:"probe_bytes"`
	// FailedProbes counts probes without a usable answer.
	FailedProbes uint64 `json:"failed_probes"`
	// ReportBytes counts the bytes of load reports carried on answers.
	ReportBytes uint64 `json:"report_bytes"`
	// HealthChecks counts health checks. They have a limit of their own and are
	// no part of the measuring budget.
	HealthChecks uint64 `json:"health_checks"`
}

// measuring counts the cost of measuring.
type measuring struct {
	probes      atomic.Uint64
	probeBytes  atomic.Uint64
	failed      atomic.Uint64
	reportBytes atomic.Uint64
	checks      atomic.Uint64
	entryVMs    atomic.Int64
}

// Measuring returns what the daemon has spent on measuring.
func (p *Proxy) Measuring() Measuring {
	return Measuring{
		Probes:       p.measuring.probes.Load(),
		ProbeBytes:   p.measuring.probeBytes.Load(),
		FailedProbes: p.measuring.failed.Load(),
		ReportBytes:  p.measuring.reportBytes.Load(),
		HealthChecks: p.measuring.checks.Load(),
	}
}

// SetEntryVMs tells how many entry VMs the daemon sees, in any state.
func (p *Proxy) SetEntryVMs(count int) { p.measuring.entryVMs.Store(int64(count)) }

// loadOf returns the load report on an answer.
func (p *Proxy) loadOf(response *fasthttp.Response) balancer.Report {
	value := response.Header.Peek(wire.HeaderInFlight)
	if len(value) == 0 {
		return balancer.Report{}
	}
	p.measuring.reportBytes.Add(uint64(len(wire.HeaderInFlight) + len(value) + headerOverheadBytes))
	count, err := fasthttp.ParseUint(value)
	return balancer.Report{Known: err == nil, InFlight: count}
}

// share returns the daemon's share of a service's measuring budget.
func (p *Proxy) share(service *config.Service) float64 {
	return probe.Share(service.ProbesPerSecond, service.EntryVMs(), int(p.measuring.entryVMs.Load()))
}

// measure sends a probe if the budget allows it and a target is worth one.
func (s *shard) measure() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return
	}
	s.budget.SetShare(now, s.proxy.share(s.service))
	if s.budget.Lanes() == 0 {
		return
	}
	target := s.scheduler.ProbeTarget(now)
	if target == nil {
		return
	}
	if ticket, ok := s.budget.Start(now); ok {
		target.Probing = true
		go s.probe(target, ticket)
	}
}

func (s *shard) probe(target *balancer.Target, ticket probe.Ticket) {
	counts := &s.proxy.measuring
	report, size, err := s.proxy.probes.Fetch(target.Address)
	counts.probes.Add(1)
	counts.probeBytes.Add(uint64(size))
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	target.Probing = false
	s.budget.Done(now, ticket)
	if err != nil {
		counts.failed.Add(1)
		return
	}
	if report.Leaving {
		s.scheduler.SetLeavingByReport(target)
	}
	s.scheduler.Probed(now, target, balancer.Probe{
		InFlight: report.InFlight,
		Latency:  time.Duration(report.LatencyMs * float64(time.Millisecond)),
	})
}
