// Package placement decides at which target of a service a request runs, when it
// waits, and when it is refused.
//
// A target's speed changes within milliseconds, so a request is placed by reports
// that are a few milliseconds old: a few candidates are asked just before. Targets
// are kept below the load at which they do less work in a second; requests that find
// none wait in the daemon, by their priority and the time they are due, and are
// refused at once if they would be late by waiting.
//
// Pool is a plain state machine. Events and time are passed in, and each event
// returns the actions that the driver has to carry out. It is not safe for
// concurrent use: an event loop owns it.
package placement

import (
	"math/rand/v2"
	"time"

	xrate "golang.org/x/time/rate"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

const (
	// goodSlowness is the slowness up to which a target is taken at once.
	goodSlowness = 1.3
	// maxQueued bounds the requests that wait for a target.
	maxQueued = 1000
	// patience is how long a request looks for a target at its usual speed before
	// it takes a slow one that can still be in time.
	patience = 15 * time.Millisecond
	// blindAfter is how long a request waits for reports before it does without.
	blindAfter = 60 * time.Millisecond
	// busyAfter is how long requests have to wait without a break before the targets
	// count as full.
	busyAfter = 100 * time.Millisecond
	// lateWait bounds the wait of a request that can't be in time any more, and so
	// does its time left divided by lateShare.
	lateWait  = 60 * time.Millisecond
	lateShare = 4
)

// Pool places the requests of one service.
type Pool struct {
	rng  *rand.Rand
	zone string
	// zones are the availability zones of the deployment, part is this daemon's part of
	// its zone's places.
	zones   []string
	part    Part
	budget  Budget
	targets map[string]*Target
	list    []*Target
	group   outlier.Group
	queue   []*Request
	actions []Action
	rate    rate
	// checked holds the attempts that are looked at while they run.
	checked []*Attempt
	// limiter bounds the probes to probeRate a second and target; nil without bound.
	limiter   *xrate.Limiter
	probeRate float64
	// probes counts those under way.
	probes int
	// busySince is when the queue was last empty; zero while it is.
	busySince time.Time
	// pressedAt is when a request that can be in time last had to wait.
	pressedAt time.Time
	// recheckAt is when waiting requests look again; zero while none waits.
	recheckAt time.Time
	// mute is set while the targets' answers bear no reports: asking is of no use.
	mute bool
}

// NewPool returns a pool without targets for a daemon of the given availability
// zone.
func NewPool(rng *rand.Rand, zone string, budget Budget) *Pool {
	return &Pool{rng: rng, zone: zone, budget: budget, targets: map[string]*Target{}}
}

// SetFixedBudget sets the daemon's part of the fixed allowance of retries.
func (p *Pool) SetFixedBudget(fixed float64) { p.budget.SetFixed(fixed) }

// SetZones sets the availability zones of the deployment.
func (p *Pool) SetZones(zones []string) { p.zones = zones }

// SetPart sets the daemon's part of the places of its availability zone.
func (p *Pool) SetPart(part Part) {
	if p.part != part {
		p.part = part
		p.deal()
	}
}

// Targets returns the targets for inspection.
func (p *Pool) Targets() []*Target { return p.list }

// Queued returns the number of requests that wait.
func (p *Pool) Queued() int { return len(p.queue) }

// Update takes the listed targets. The actions are valid until the next event.
func (p *Pool) Update(now time.Time, entries []Entry) []Action {
	p.begin()
	next := make(map[string]*Target, len(entries))
	p.list = p.list[:0]
	for _, entry := range entries {
		t := p.targets[entry.ID]
		if t == nil || t.Born != entry.Born || t.Address != entry.Address {
			p.retire(t)
			t = &Target{coldUntil: now.Add(entry.ColdFor)}
		}
		t.Entry = entry
		t.mute = p.mute
		next[entry.ID] = t
		p.list = append(p.list, t)
	}
	for id, t := range p.targets {
		if next[id] == nil {
			p.retire(t)
		}
	}
	p.targets = next
	p.limitProbes(now)
	p.regroup()
	p.deal()
	p.assign(now)
	return p.actions
}

// retire marks a target that isn't listed any more.
func (p *Pool) retire(t *Target) {
	if t != nil {
		t.leaving = true
	}
}

// regroup collects the targets that are judged together.
func (p *Pool) regroup() {
	p.group = p.group[:0]
	for _, t := range p.list {
		if !t.ends() {
			p.group = append(p.group, &t.health)
		}
	}
}

func (p *Pool) begin() { p.actions = p.actions[:0] }

func (p *Pool) act(action Action) { p.actions = append(p.actions, action) }

// Arrive takes a new request. The actions are valid until the next event.
func (p *Pool) Arrive(now time.Time, r *Request) []Action {
	p.begin()
	r.arrived = now
	p.budget.Arrived(now)
	if len(p.group) == 0 {
		p.refuse(now, r, ReasonNoTarget)
		return p.actions
	}
	if len(p.queue) >= maxQueued || p.wouldBeLate(now, r) {
		p.refuse(now, r, ReasonOverload)
		return p.actions
	}
	p.enqueue(r)
	p.assign(now)
	return p.actions
}

func (p *Pool) enqueue(r *Request) {
	r.waiting = true
	p.queue = append(p.queue, r)
	if len(p.queue) > 2*maxQueued {
		invariant.Breached(invariant.QueueBounded, "%d requests wait", len(p.queue))
	}
}

// Probed takes a target's answer to a probe. The actions are valid until the next
// event.
func (p *Pool) Probed(now time.Time, t *Target, report *Report, healthy bool) []Action {
	p.begin()
	p.probeOver(now, t)
	t.health.Check(healthy)
	if healthy {
		p.setMute(report == nil)
	}
	if report == nil {
		report = &Report{Running: t.own(), Slots: t.Slots, Slowness: 1}
	}
	p.observe(now, t, *report, 0)
	p.assign(now)
	return p.actions
}

// ProbeFailed takes the end of a probe without an answer. Refused is set if the
// target took no connection. The actions are valid until the next event.
func (p *Pool) ProbeFailed(now time.Time, t *Target, refused bool) []Action {
	p.begin()
	p.probeOver(now, t)
	if refused {
		p.group.Failed(now, &t.health, outlier.NoConnection, probeRest)
	} else {
		t.health.Check(false)
	}
	p.assign(now)
	return p.actions
}

// Misplaced takes word that another target has the address of this one.
func (p *Pool) Misplaced(now time.Time, t *Target) []Action {
	p.begin()
	p.probeOver(now, t)
	t.leaving = true
	p.regroup()
	p.assign(now)
	return p.actions
}

// observe takes a report and looks at the requests at its target.
func (p *Pool) observe(now time.Time, t *Target, report Report, finished int) {
	t.observe(now, report, finished)
	for _, a := range t.running {
		a.progress(now)
		a.speed = t.Slowness(now)
	}
	p.rescue(now, t)
}

func (p *Pool) probeOver(now time.Time, t *Target) {
	if t.probing {
		p.probes--
	}
	t.probing = false
	t.probedAt = now
}

func (p *Pool) unqueue(r *Request) {
	if !r.waiting {
		return
	}
	r.waiting = false
	p.queue = remove(p.queue, r)
}

// Expire refuses requests that have waited too long and looks for targets again.
// The actions are valid until the next event.
func (p *Pool) Expire(now time.Time) []Action {
	p.begin()
	for i := 0; i < len(p.queue); {
		r := p.queue[i]
		if now.Before(p.latestStart(r)) || r.mayHaveRun || len(r.tried) > 0 {
			i++
			continue
		}
		p.unqueue(r)
		p.refuse(now, r, ReasonOverload)
	}
	p.check(now)
	p.assign(now)
	return p.actions
}

// NextWake returns when Expire has to be called next; zero means never.
func (p *Pool) NextWake() time.Time {
	next := p.recheckAt
	for _, a := range p.checked {
		if next.IsZero() || a.checkAt.Before(next) {
			next = a.checkAt
		}
	}
	return next
}
