// Package placement decides to which target of a service a request is sent, when it is
// queued, and when it is refused.
//
// The speed of a target changes within milliseconds, so a request is placed by load
// reports that are a few milliseconds old: some candidate targets are probed
// immediately before. Targets are kept below their saturation point, beyond which their
// throughput falls. Requests that find no suitable target wait in the daemon's queue,
// ordered by priority and soft deadline, and are refused immediately if waiting would
// make them late.
//
// A request is in time if it is answered before its soft deadline. The slowness of a
// target is its execution time relative to the usual; 1 is usual.
//
// Pool is a pure state machine. It takes events and the current time, and each event
// returns the actions that the driver has to carry out. It is not safe for concurrent
// use: it is owned by one event loop.
package placement

import (
	"math/rand/v2"
	"time"

	xrate "golang.org/x/time/rate"

	"github.com/poplarwheel/poplarwheel/internal/hedging"
	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

const (
	// A target whose slowness is at most acceptableSlowness is chosen without waiting
	// for a faster one.
	acceptableSlowness = 1.3
	// maxQueued limits the queued requests.
	maxQueued = 1000
	// fastTargetWait is how long a request waits for a target of acceptable slowness
	// before it accepts a slow one that can still answer in time.
	fastTargetWait = 15 * time.Millisecond
	// maxReportWait is how long a request waits for load reports before it is sent
	// without.
	maxReportWait = 60 * time.Millisecond
	// The targets count as full once the queue has been non-empty for minBacklogAge.
	minBacklogAge = 100 * time.Millisecond
	// A request that can no longer be in time waits at most maxLateWait, and at most
	// its remaining time divided by lateWaitDivisor.
	maxLateWait     = 60 * time.Millisecond
	lateWaitDivisor = 4
)

// Pool places the requests of one service.
type Pool struct {
	rng  *rand.Rand
	zone string
	// zones are the availability zones of the deployment, partition is this daemon's
	// share of its zone's permits.
	zones     []string
	partition Partition
	budget    Budget
	targets   map[string]*Target
	list      []*Target
	// announcements outlives the targets' entries in the list.
	announcements announcements
	cold          coldLimiter
	// evacuated are the availability zones whose targets get no requests.
	evacuated []string
	group     outlier.Group
	queue     []*Request
	fair      fairShares
	actions   []Action
	sendRate  sendRate
	// monitored holds the attempts that are checked for slowness while they run.
	monitored []*Attempt
	// probeLimiter limits the probes to probeRate a second and target; nil means no
	// limit.
	probeLimiter *xrate.Limiter
	probeRate    float64
	// probes is the number of probes in flight.
	probes int
	// backlogSince is the time since which the queue has not been empty; zero if it is
	// empty.
	backlogSince time.Time
	// contendedAt is when a request that could still be in time last had to wait.
	contendedAt time.Time
	// recheckAt is when the queue is processed next; zero if it is empty.
	recheckAt time.Time
	// noReports is set while responses of the targets carry no load reports, which
	// makes probes useless.
	noReports bool
	// hedger limits hedges; nil if only the retry budget does.
	hedger *hedging.Hedger
}

// NewPool returns a pool without targets for a daemon in the given availability zone.
func NewPool(rng *rand.Rand, zone string, budget Budget) *Pool {
	return &Pool{rng: rng, zone: zone, budget: budget, targets: map[string]*Target{}, announcements: announcements{}}
}

// SetFixedBudget sets the daemon's share of the fixed retry allowance.
func (p *Pool) SetFixedBudget(fixed float64) { p.budget.SetFixed(fixed) }

// SetZones sets the availability zones of the deployment.
func (p *Pool) SetZones(zones []string) { p.zones = zones }

// SetPartition sets the daemon's share of the permits of its availability zone.
func (p *Pool) SetPartition(partition Partition) {
	if p.partition != partition {
		p.partition = partition
		p.assignPermits()
	}
}

// Targets returns the targets for inspection.
func (p *Pool) Targets() []*Target { return p.list }

// Queued returns the number of queued requests.
func (p *Pool) Queued() int { return len(p.queue) }

// UpdateTargets sets the list of targets. The returned actions are valid until the next
// event.
func (p *Pool) UpdateTargets(now time.Time, listed []TargetInfo) []Action {
	p.resetActions()
	next := make(map[string]*Target, len(listed))
	p.list = p.list[:0]
	for _, info := range listed {
		t := p.targets[info.ID]
		announced := p.announcements.of(now, info)
		if t == nil || t.Incarnation != info.Incarnation || t.Address != info.Address {
			p.markGone(t)
			t = &Target{slowStartUntil: now.Add(info.SlowStartFor), announced: announced}
		}
		t.TargetInfo = info
		t.noReports = p.noReports
		t.evacuated = p.isEvacuated(t.Zone)
		p.trackCold(now, t)
		next[info.ID] = t
		p.list = append(p.list, t)
	}
	for id, t := range p.targets {
		if next[id] == nil {
			p.markGone(t)
			t.announced.listedAt = now
		}
	}
	p.targets = next
	p.cold.listed = true
	p.announcements.forgetUnlisted(now)
	p.forgetCold(now)
	p.updateProbeLimiter(now)
	p.rebuildGroup()
	p.assignPermits()
	p.assign(now)
	return p.actions
}

// markGone marks a target that is no longer listed.
func (p *Pool) markGone(t *Target) {
	if t != nil {
		t.gone = true
	}
}

// rebuildGroup collects the targets among which outliers are detected.
func (p *Pool) rebuildGroup() {
	p.group = p.group[:0]
	for _, t := range p.list {
		if !t.isLeaving() {
			p.group = append(p.group, &t.health)
		}
	}
}

func (p *Pool) resetActions() { p.actions = p.actions[:0] }

func (p *Pool) emit(action Action) { p.actions = append(p.actions, action) }

// Submit handles a new request. The returned actions are valid until the next event.
func (p *Pool) Submit(now time.Time, r *Request) []Action {
	p.resetActions()
	r.arrived = now
	p.fair.join(r)
	p.budget.RecordRequest(now)
	if len(p.queue) >= maxQueued || p.wouldBeLate(now, r) {
		p.refuse(now, r, ReasonOverload)
		return p.actions
	}
	p.enqueue(r)
	p.assign(now)
	return p.actions
}

// ProbeAnswered handles the response to a probe. The returned actions are valid until
// the next event.
func (p *Pool) ProbeAnswered(now time.Time, t *Target, report *Report, healthy bool) []Action {
	p.resetActions()
	p.endProbe(now, t)
	t.health.RecordHealthCheck(healthy)
	if healthy {
		p.setNoReports(report == nil)
	}
	if report == nil {
		report = &Report{Running: t.ownLoad(), Slots: t.Slots, Slowness: 1}
	}
	p.observe(now, t, *report, 0)
	p.assign(now)
	return p.actions
}

// ProbeFailed handles a probe without a response. refused is set if the target did not
// accept a connection. The returned actions are valid until the next event.
func (p *Pool) ProbeFailed(now time.Time, t *Target, refused bool) []Action {
	p.resetActions()
	p.endProbe(now, t)
	if refused {
		p.group.RecordFailure(now, &t.health, outlier.NoConnection, refusedProbeBackoff)
	} else {
		t.health.RecordHealthCheck(false)
	}
	p.assign(now)
	return p.actions
}

// ProbeReachedOtherTarget handles a probe which shows that another target now has this
// target's address. The returned actions are valid until the next event.
func (p *Pool) ProbeReachedOtherTarget(now time.Time, t *Target) []Action {
	p.resetActions()
	p.endProbe(now, t)
	t.gone = true
	p.rebuildGroup()
	p.assign(now)
	return p.actions
}

// observe records a load report and hedges the target's requests that would be late.
func (p *Pool) observe(now time.Time, t *Target, report Report, finished int) {
	t.observe(now, report, finished)
	for _, a := range t.running {
		a.updateProgress(now)
		a.currentSlowness = t.Slowness(now)
	}
	p.hedgeLate(now, t)
}

func (p *Pool) endProbe(now time.Time, t *Target) {
	if t.probing {
		p.probes--
	}
	t.probing = false
	t.probedAt = now
}

// Tick refuses requests that have waited too long, checks attempts in flight and
// processes the queue. The returned actions are valid until the next event.
func (p *Pool) Tick(now time.Time) []Action {
	p.resetActions()
	for i := 0; i < len(p.queue); {
		r := p.queue[i]
		if now.Before(p.latestStart(r)) || r.mayHaveRun || len(r.tried) > 0 {
			i++
			continue
		}
		p.dequeue(r)
		p.refuse(now, r, ReasonOverload)
	}
	p.checkMonitored(now)
	p.assign(now)
	return p.actions
}

// NextTick returns when Tick has to be called next; zero means never.
func (p *Pool) NextTick() time.Time {
	next := p.recheckAt
	for _, a := range p.monitored {
		if next.IsZero() || a.checkAt.Before(next) {
			next = a.checkAt
		}
	}
	return next
}
