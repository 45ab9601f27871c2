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

// assign sends queued requests to targets known to have room and starts probes for the
// rest.
func (p *Pool) assign(now time.Time) {
	p.recheckAt = time.Time{}
	if len(p.queue) == 0 {
		p.backlogSince = time.Time{}
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *Request) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		}
		return 0
	})
	filter := p.targetFilter(now)
	queued := p.queue[:0]
	for _, r := range p.queue {
		if len(r.inFlight) > 0 && !r.inTime(now) {
			// A hedge would not be answered in time either.
			r.queued = false
			continue
		}
		if t := p.choose(now, r, filter); t != nil {
			p.send(now, r, t)
			continue
		}
		if !p.hasUntriedTarget(filter, now, r) {
			r.queued = false
			if len(r.inFlight) == 0 {
				p.fail(now, r, p.unavailableReason(now))
			}
			continue
		}
		queued = append(queued, r)
	}
	clear(p.queue[len(queued):])
	p.queue = queued
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
	p.probeCandidates(now, filter)
	p.recheckAt = now.Add(recheckInterval)
}

func (p *Pool) send(now time.Time, r *Request, t *Target) {
	if t.isDelisted() || t.announced.leaving() && !t.announced.leavingRecently(now) {
		invariant.Breached(invariant.LeavingGetsNothing, "request sent to leaving target %s", t.ID)
	}
	if t.announced.paused(now) {
		invariant.Breached(invariant.PausedGetsNothing, "request sent to paused target %s", t.ID)
	}
	if !r.Idempotent && (r.mayHaveRun || len(r.inFlight) > 0) {
		invariant.Breached(invariant.DispatchedOnce, "non-idempotent request that may have run sent to %s", t.ID)
	}
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
