package placement

import (
	"slices"
	"time"
)

// A request whose target turns slow under it is sent once more, to a target that is
// known to be fast, if that brings the answer in time. The first answer counts.

const (
	// checkShare is the part of a request's work after which its target is asked
	// whether it has become slow.
	checkShare = 4
	// checkEvery is the pause between two looks at an attempt, and the least time before
	// the first.
	checkEvery = 40 * time.Millisecond
	// slowLasts is how long a target is expected to stay slow.
	slowLasts = 200 * time.Millisecond
	// overdue times its work is when a request is taken to be stuck.
	overdue = 2
)

// progress brings the attempt's work up to date.
func (a *Attempt) progress(now time.Time) {
	a.done += time.Duration(float64(now.Sub(a.doneAt)) / max(a.speed, 1))
	a.doneAt = now
}

// remaining estimates the time until the attempt's answer.
func (a *Attempt) remaining() time.Duration {
	return expectedTime(max(a.Request.Work-a.done, a.Request.Work/10), a.speed)
}

// expectedTime estimates how long work takes at a target that is slow now. It won't
// be for long.
func expectedTime(work time.Duration, slowness float64) time.Duration {
	slow := time.Duration(float64(work) * max(slowness, 1))
	if slowness <= goodSlowness || slow <= slowLasts {
		return slow
	}
	return slowLasts + work - time.Duration(float64(slowLasts)/slowness)
}

// firstLook is when a request's target is first asked whether it has become slow, after
// the request was sent.
func firstLook(work time.Duration) time.Duration { return max(work/checkShare, checkEvery) }

// watch makes the pool look at an attempt while it runs.
func (p *Pool) watch(now time.Time, a *Attempt) {
	if !a.Request.maySendBeside() {
		return
	}
	a.checkAt = now.Add(firstLook(a.Request.Work))
	if p.mute {
		a.checkAt = now.Add(time.Duration(overdueShare * float64(a.Request.Work)))
	}
	p.checked = append(p.checked, a)
}

// check looks at the attempts that are due: it asks their targets.
func (p *Pool) check(now time.Time) {
	p.checked = slices.DeleteFunc(p.checked, func(a *Attempt) bool { return !a.worthChecking(now) })
	for _, a := range p.checked {
		if now.Before(a.checkAt) {
			continue
		}
		a.checkAt = now.Add(checkEvery)
		switch {
		case p.mute:
			p.sendBeside(now, a)
		case !a.Target.probing:
			p.startProbe(now, a.Target)
		}
	}
}

// worthChecking reports whether another send could still bring the answer in time.
func (a *Attempt) worthChecking(now time.Time) bool {
	r := a.Request
	return !r.over && !r.held && len(r.live) == 1 && r.live[0] == a && !r.waiting && r.inTime(now)
}

// rescue lets the requests at a target wait for another one if they would be late
// where they are.
func (p *Pool) rescue(now time.Time, t *Target) {
	for _, a := range t.running {
		r := a.Request
		if !r.maySendBeside() || !a.worthChecking(now) {
			continue
		}
		if now.Add(a.remaining()).After(r.Due) {
			p.sendBeside(now, a)
		}
	}
}

// sendBeside lets the request of an attempt wait for another target, if the budget
// allows it.
func (p *Pool) sendBeside(now time.Time, a *Attempt) {
	if p.budget.Take(now) {
		p.enqueue(a.Request)
	}
}
