package placement

import (
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

const (
	// pressedAfter is how long a request that can be in time waits until it shows that
	// the targets are pressed, pressedFor how long that holds.
	pressedAfter = 20 * time.Millisecond
	pressedFor   = 200 * time.Millisecond
	// recheckEvery is the pause until waiting requests look again.
	recheckEvery = 5 * time.Millisecond
)

// assign sends waiting requests to targets that are known to have room, and asks
// others.
func (p *Pool) assign(now time.Time) {
	p.recheckAt = time.Time{}
	if len(p.queue) == 0 {
		p.busySince = time.Time{}
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
	exclusion := p.exclusion(now)
	waiting := p.queue[:0]
	for _, r := range p.queue {
		if len(r.live) > 0 && !r.inTime(now) {
			// Another send would not be in time either.
			r.waiting = false
			continue
		}
		if t := p.choose(now, r, exclusion); t != nil {
			p.send(now, r, t)
			continue
		}
		waiting = append(waiting, r)
	}
	clear(p.queue[len(waiting):])
	p.queue = waiting
	if len(p.queue) == 0 {
		p.busySince = time.Time{}
		return
	}
	if p.busySince.IsZero() {
		p.busySince = now
		p.rate.reset(now)
	}
	if first := p.queue[0]; first.inTime(now) && now.Sub(first.arrived) > pressedAfter {
		p.pressedAt = now
	}
	p.ask(now, exclusion)
	p.recheckAt = now.Add(recheckEvery)
}

func (p *Pool) send(now time.Time, r *Request, t *Target) {
	if t.ends() {
		invariant.Breached(invariant.LeavingGetsNothing, "request sent to %s", t.ID)
	}
	if !r.Idempotent && (r.mayHaveRun || len(r.live) > 0) {
		invariant.Breached(invariant.DispatchedOnce, "request sent to %s", t.ID)
	}
	slowness := t.Slowness(now)
	a := &Attempt{Request: r, Target: t, Slowness: slowness, sentAt: now, doneAt: now, speed: slowness}
	r.waiting = false
	r.tried = append(r.tried, t)
	r.live = append(r.live, a)
	t.running = append(t.running, a)
	p.rate.sent(now)
	p.watch(now, a)
	p.act(Action{Kind: Send, Request: r, Attempt: a})
}
