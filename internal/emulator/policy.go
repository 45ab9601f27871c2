package emulator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// Policy selects how targets are chosen.
type Policy string

const (
	// Random sends each request immediately to a random target.
	Random Policy = "random"
	// Placement uses the production placement code.
	Placement Policy = "placement"
	// Oracle knows the state of all targets and sends each request immediately to the
	// one with the lowest estimated execution time.
	Oracle Policy = "oracle"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Random, Placement, Oracle} }

func (p Policy) daemon(s *simulation, index int) daemon {
	switch p {
	case Placement:
		return newPoolDaemon(s, index)
	case Oracle:
		return &immediateDaemon{simulation: s, index: index, choose: s.fastest}
	}
	return &immediateDaemon{simulation: s, index: index, choose: s.any}
}

// immediateDaemon sends each request without queueing it.
type immediateDaemon struct {
	simulation *simulation
	index      int
	choose     func() *target
}

func (d *immediateDaemon) arrive(j *job) {
	s := d.simulation
	t := d.choose()
	delay := s.delay(d.index, t)
	e := &execution{job: j, remaining: s.executionTime(j)}
	e.ended = func() { s.schedule(delay, func() { s.answered(j) }) }
	s.schedule(delay, func() {
		if !t.accept(e) {
			s.schedule(delay, func() { s.refused(j, refusedRetryDelay) })
		}
	})
}

// refusedRetryDelay is how long a caller waits before it retries a request that a
// target had no room for.
const refusedRetryDelay = 200 * time.Millisecond

func (s *simulation) any() *target { return s.targets[s.rng.IntN(len(s.targets))] }

// fastest returns the target with the lowest estimated execution time for another
// request.
func (s *simulation) fastest() *target {
	best := s.targets[0]
	bestCost := 0.0
	for i, t := range s.targets {
		requests := len(t.running) + len(t.queued) + 1
		cost := t.slowness() * (1 + float64(requests))
		if float64(requests) >= s.scenario.SaturationShare*float64(s.scenario.Slots) {
			cost *= s.scenario.SaturationFactor * float64(requests)
		}
		if i == 0 || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// poolDaemon drives the production placement code.
type poolDaemon struct {
	simulation *simulation
	index      int
	pool       *placement.Pool
	wake       time.Time
}

// The retry budget of each emulated daemon.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retryFixed  = 20
)

func newPoolDaemon(s *simulation, index int) *poolDaemon {
	budget := placement.NewBudget(retryWindow, retryRatio, retryFixed)
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	p := &poolDaemon{simulation: s, index: index, pool: placement.NewPool(rng, zoneName(index%s.scenario.Zones), budget)}
	p.pool.SetHedgeRatio(s.scenario.HedgeRatio)
	s.result.pools = append(s.result.pools, p.pool)
	var infos []placement.TargetInfo
	var zones []string
	for zone := range s.scenario.Zones {
		zones = append(zones, zoneName(zone))
	}
	p.pool.SetZones(zones)
	p.pool.SetPartition(placement.Partition{Index: index / s.scenario.Zones, Of: max(s.scenario.Daemons/s.scenario.Zones, 1)})
	for i, t := range s.targets {
		infos = append(infos, placement.TargetInfo{
			ID:      strconv.Itoa(i),
			Address: strconv.Itoa(i),
			Zone:    zoneName(t.zone),
			Slots:   s.scenario.Slots,
		})
	}
	p.perform(p.pool.UpdateTargets(s.now, infos))
	return p
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }

func (p *poolDaemon) arrive(j *job) {
	s := p.simulation
	r := &placement.Request{
		Idempotent:   true,
		MaxAttempts:  2,
		SoftDeadline: j.first.Add(s.scenario.Objective),
		Deadline:     earlier(s.now.Add(s.scenario.Timeout), j.first.Add(s.scenario.CallerTimeout)),
		ServiceTime:  s.scenario.ServiceTime,
		Payload:      j,
	}
	if s.scenario.FairSharing {
		r.Flow = placement.Flow{Name: strconv.Itoa(j.workspace), Weight: 1}
	}
	s.schedule(r.Deadline.Sub(s.now), func() { p.perform(p.pool.Timeout(s.now, r)) })
	p.perform(p.pool.Submit(s.now, r))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (p *poolDaemon) perform(actions []placement.Action) {
	for _, action := range append([]placement.Action(nil), actions...) {
		switch action.Kind {
		case placement.Probe:
			p.probe(action.Target)
		case placement.Send:
			p.send(action.Attempt)
		case placement.Cancel:
			p.cancel(action.Attempt)
		case placement.Deliver:
			p.simulation.answered(action.Request.Payload.(*job))
		case placement.Refuse:
			p.simulation.refused(action.Request.Payload.(*job), action.RetryAfter)
		case placement.OutcomeUnknown:
			p.simulation.refused(action.Request.Payload.(*job), 0)
		}
	}
	p.scheduleWake()
}

// scheduleWake calls Pool.Tick at the time that the pool requests.
func (p *poolDaemon) scheduleWake() {
	at := p.pool.NextTick()
	if at.IsZero() || at.Equal(p.wake) {
		return
	}
	p.wake = at
	p.simulation.schedule(at.Sub(p.simulation.now), func() {
		if p.wake.Equal(at) {
			p.wake = time.Time{}
			p.perform(p.pool.Tick(p.simulation.now))
		}
	})
}

func (p *poolDaemon) target(t *placement.Target) *target {
	index, err := strconv.Atoi(t.ID)
	if err != nil {
		panic(err)
	}
	return p.simulation.targets[index]
}

func (p *poolDaemon) probe(probed *placement.Target) {
	s := p.simulation
	t := p.target(probed)
	delay := s.delay(p.index, t)
	s.result.Probes++
	s.schedule(delay, func() {
		if s.scenario.NoReports {
			p.probeNonReporting(probed, t, delay)
			return
		}
		report := t.report()
		s.schedule(delay, func() { p.perform(p.pool.ProbeAnswered(s.now, probed, report, true)) })
	})
}

// probeNonReporting probes a target that handles a probe like any other request.
func (p *poolDaemon) probeNonReporting(probed *placement.Target, t *target, delay time.Duration) {
	s := p.simulation
	answer := func(healthy bool) {
		s.schedule(delay, func() { p.perform(p.pool.ProbeAnswered(s.now, probed, nil, healthy)) })
	}
	if !t.accept(&execution{remaining: time.Millisecond, ended: func() { answer(true) }}) {
		answer(false)
	}
}

func (p *poolDaemon) send(a *placement.Attempt) {
	s := p.simulation
	t := p.target(a.Target)
	delay := s.delay(p.index, t)
	e := &execution{job: a.Request.Payload.(*job), remaining: s.executionTime(a.Request.Payload.(*job))}
	a.Handle = e
	s.result.recordSend(a)
	finish := func(outcome placement.Outcome) {
		report := t.report()
		s.schedule(delay, func() {
			if !e.canceled {
				p.perform(p.pool.AttemptFinished(s.now, a, placement.Result{Outcome: outcome, Report: report}))
			}
		})
	}
	e.ended = func() { finish(placement.Answered) }
	s.schedule(delay, func() {
		if !e.canceled && !t.accept(e) {
			finish(placement.NotRun)
		}
	})
}

func (p *poolDaemon) cancel(a *placement.Attempt) {
	e, sent := a.Handle.(*execution)
	if !sent {
		return
	}
	e.canceled = true
	t := p.target(a.Target)
	p.simulation.schedule(p.simulation.delay(p.index, t), func() { t.remove(e) })
}
