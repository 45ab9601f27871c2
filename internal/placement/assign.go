package placement

import (
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

const (
	// The targets count as contended for contentionPeriod after a request that can
	// still be in time has waited for longer than contentionWait.
	contentionWait   = 20 * time.Millisecond
	contentionPeriod = 200 * time.Millisecond
	// recheckInterval is the interval at which queued requests are matched with targets
	// again.
	recheckInterval = 5 * time.Millisecond
)

// assign sends queued requests to targets known to have room, ends those that no target
// can take, and starts probes for the rest.
func (p *Pool) assign(now time.Time) {
	p.recheckAt = time.Time{}
	if len(p.queue) == 0 {
		p.backlogSince = time.Time{}
		return
	}
	p.sortQueue(now)
	filter := p.targetFilter(now)
	waiting := p.queue[:0]
	for _, r := range p.queue {
		if !p.place(now, r, filter, len(waiting)) {
			waiting = append(waiting, r)
		}
	}
	clear(p.queue[len(waiting):])
	p.queue = waiting
	p.trackBacklog(now)
	if len(p.queue) == 0 {
		return
	}
	p.probeCandidates(now, filter)
	p.recheckAt = now.Add(recheckInterval)
}

func (p *Pool) sortQueue(now time.Time) {
	slices.SortStableFunc(p.queue, func(a, b *Request) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		}
		return 0
	})
}

// place sends a queued request to a target, or ends its wait because no target can take
// it. It returns false if the request has to wait, like the given number ahead of it.
func (p *Pool) place(now time.Time, r *Request, filter targetFilter, ahead int) bool {
	if len(r.inFlight) > 0 && !r.inTime(now) {
		// A hedge would not be answered in time either.
		r.queued = false
		return true
	}
	if t := p.choose(now, r, filter); t != nil {
		p.send(now, r, t)
		return true
	}
	reason := ReasonCold
	if !p.coldExhausted(now, r, filter, ahead) {
		if p.hasUntriedTarget(now, r, filter) {
			return false
		}
		reason = p.unavailableReason(now)
	}
	r.queued = false
	if len(r.inFlight) == 0 {
		p.fail(now, r, reason)
	}
	return true
}

// trackBacklog records since when requests have waited and whether they compete for room.
func (p *Pool) trackBacklog(now time.Time) {
	if len(p.queue) == 0 {
		p.backlogSince = time.Time{}
		return
	}
	if p.backlogSince.IsZero() {
		p.backlogSince = now
		p.sendRate.reset(now)
	}
	if first := p.queue[0]; first.inTime(now) && now.Sub(first.arrived) > contentionWait {
		p.contendedAt = now
	}
}

func (p *Pool) send(now time.Time, r *Request, t *Target) {
	if t.isDelisted() || t.announced.leaving() && !t.announced.leavingRecently(now) {
		invariant.Breached(invariant.LeavingGetsNothing, "request sent to leaving target %s", t.ID)
	}
	if t.evacuated {
		invariant.Breached(invariant.EvacuatedGetsNothing, "request sent to target %s of an evacuated zone", t.ID)
	}
	if t.announced.paused(now) {
		invariant.Breached(invariant.PausedGetsNothing, "request sent to paused target %s", t.ID)
	}
	if !r.Idempotent && (r.mayHaveRun || len(r.inFlight) > 0) {
		invariant.Breached(invariant.DispatchedOnce, "non-idempotent request that may have run sent to %s", t.ID)
	}
	p.recordColdSend(now, t)
	p.checkCold(now, t)
	slowness := t.Slowness(now)
	a := &Attempt{Request: r, Target: t, Slowness: slowness, sentAt: now, workDoneAt: now, currentSlowness: slowness}
	r.queued = false
	r.tried = append(r.tried, t)
	r.inFlight = append(r.inFlight, a)
	t.running = append(t.running, a)
	p.sendRate.recordSend(now)
	p.monitor(now, a)
	p.emit(Action{Kind: Send, Request: r, Attempt: a})
}
