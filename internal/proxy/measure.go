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

// headerOverheadBytes is the size of a header line without its name and value.
const headerOverheadBytes = len(": \r\n")

// MeasuringCosts counts what a daemon has spent on measuring the load of targets since
// its start.
type MeasuringCosts struct {
	// Probes counts probes, that is, requests for a load report.
	Probes uint64 `json:"probes"`
	// ProbeBytes counts the bytes of probes and their responses.
	ProbeBytes uint64 `json:"probe_bytes"`
	// FailedProbes counts probes without a usable response.
	FailedProbes uint64 `json:"failed_probes"`
	// ReportBytes counts the bytes of load reports in the headers of responses to attempts.
	ReportBytes uint64 `json:"report_bytes"`
	// HealthChecks counts health checks. They have their own limit and don't count towards
	// the measuring budget.
	HealthChecks uint64 `json:"health_checks"`
}

// measuring holds the counters of MeasuringCosts and the number of entry VMs.
type measuring struct {
	probes      atomic.Uint64
	probeBytes  atomic.Uint64
	failed      atomic.Uint64
	reportBytes atomic.Uint64
	checks      atomic.Uint64
	entryVMs    atomic.Int64
}

// MeasuringCosts returns what the daemon has spent on measuring since its start.
func (p *Proxy) MeasuringCosts() MeasuringCosts {
	return MeasuringCosts{
		Probes:       p.measuring.probes.Load(),
		ProbeBytes:   p.measuring.probeBytes.Load(),
		FailedProbes: p.measuring.failed.Load(),
		ReportBytes:  p.measuring.reportBytes.Load(),
		HealthChecks: p.measuring.checks.Load(),
	}
}

// SetEntryVMs sets the number of entry VMs that the daemon sees, whatever their state.
func (p *Proxy) SetEntryVMs(count int) { p.measuring.entryVMs.Store(int64(count)) }

// loadReport returns the load report in the headers of a response.
func (p *Proxy) loadReport(response *fasthttp.Response) balancer.LoadReport {
	value := response.Header.Peek(wire.HeaderInFlight)
	if len(value) == 0 {
		return balancer.LoadReport{}
	}
	p.measuring.reportBytes.Add(uint64(len(wire.HeaderInFlight) + len(value) + headerOverheadBytes))
	count, err := fasthttp.ParseUint(value)
	return balancer.LoadReport{Known: err == nil, InFlight: count}
}

// probeShare returns the daemon's share of the measuring budget of a service.
func (p *Proxy) probeShare(service *config.Service) float64 {
	return probe.Share(service.ProbesPerSecond, service.EntryVMs(), int(p.measuring.entryVMs.Load()))
}

// startProbe starts a probe if the measuring budget allows one and the scheduler wants a
// target probed. The lock is held.
func (s *shard) startProbe(now time.Time) {
	s.budget.SetShare(now, s.proxy.probeShare(s.service.Load()))
	if !s.budget.Ready(now) {
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

// probe probes a target and passes the load report to the scheduler.
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
		s.scheduler.SetLeavingByTarget(target)
	}
	s.scheduler.RecordProbe(now, target, balancer.Probe{
		InFlight: report.InFlight,
		Latency:  time.Duration(report.LatencyMs * float64(time.Millisecond)),
	})
}
