package placement

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

// Finished takes the end of an attempt. The actions are valid until the next event.
func (p *Pool) Finished(now time.Time, a *Attempt, result Result) []Action {
	p.begin()
	r := a.Request
	r.held = false
	p.release(a)
	p.learn(now, a, result)
	if !r.over {
		p.conclude(now, r, result)
	}
	p.assign(now)
	return p.actions
}

// Hold keeps a request from being sent beside an attempt whose end is about to be told.
func (p *Pool) Hold(a *Attempt) {
	a.Request.held = true
	p.unqueue(a.Request)
}

// release takes an attempt away from its target.
func (p *Pool) release(a *Attempt) {
	a.Request.live = remove(a.Request.live, a)
	a.Target.release(a)
}

// learn takes what the end of an attempt tells of its target.
func (p *Pool) learn(now time.Time, a *Attempt, result Result) {
	t := a.Target
	work := a.Request.Work
	if result.Report != nil {
		p.observe(now, t, *result.Report, 1)
	}
	switch result.Outcome {
	case Answered:
		p.setMute(result.Report == nil)
		t.guess.answered(now, now.Sub(a.sentAt), work)
		p.group.Good(now, &t.health, now.Sub(a.sentAt))
	case Failed:
		p.group.Failed(now, &t.health, outlier.ServerError, work)
	case Lost:
		p.group.Failed(now, &t.health, outlier.NoAnswer, work)
	case NotSent:
		p.group.Failed(now, &t.health, outlier.NoConnection, work)
	case NotRun:
		if result.Report == nil || result.Report.Running >= t.Slots {
			t.health.Shed(now, work/4)
		}
	case Wrong:
		t.leaving = true
		p.regroup()
	}
}

// conclude goes on with a request after the end of an attempt.
func (p *Pool) conclude(now time.Time, r *Request, result Result) {
	switch result.Outcome {
	case Answered:
		p.finish(Action{Kind: Deliver, Request: r, Answer: result.Answer})
		return
	case Failed:
		r.failure = result.Answer
		r.mayHaveRun = true
	case Lost:
		r.mayHaveRun = true
	}
	if len(r.live) > 0 || r.waiting {
		return
	}
	if result.Quarantined {
		p.giveUp(now, r, ReasonQuarantined)
		return
	}
	if reason, ok := p.mayRetry(now, r, result.Outcome); !ok {
		p.giveUp(now, r, reason)
		return
	}
	p.enqueue(r)
}

// mayRetry reports whether a request may be sent to another target, and why not.
func (p *Pool) mayRetry(now time.Time, r *Request, outcome Outcome) (Reason, bool) {
	switch {
	case r.mayHaveRun && !r.Idempotent:
		return ReasonLost, false
	case len(r.tried) >= r.MaxAttempts && outcome != NotSent:
		return ReasonAttempts, false
	case !now.Add(r.Work / 2).Before(r.Deadline):
		return ReasonTimeout, false
	case !p.untried(r):
		return ReasonNoTarget, false
	case outcome != NotSent && !p.budget.Take(now):
		return ReasonBudget, false
	}
	if outcome == NotSent {
		// The target has nothing of the request: it doesn't count as an attempt.
		r.MaxAttempts++
	}
	return "", true
}

// untried reports whether the request has a target left.
func (p *Pool) untried(r *Request) bool {
	for _, t := range p.list {
		if !t.ends() && !r.hasTried(t) {
			return true
		}
	}
	return false
}

// Timeout ends a request whose caller has to be answered now. The actions are valid
// until the next event.
func (p *Pool) Timeout(now time.Time, r *Request) []Action {
	p.begin()
	if r.over {
		return p.actions
	}
	for _, a := range r.live {
		if now.Sub(a.sentAt) > overdue*r.Work {
			p.group.Failed(now, &a.Target.health, outlier.NoAnswer, r.Work)
		}
	}
	p.stop(r)
	p.giveUp(now, r, ReasonTimeout)
	p.assign(now)
	return p.actions
}

// Abandon ends a request whose caller is gone. The actions are valid until the next
// event.
func (p *Pool) Abandon(now time.Time, r *Request) []Action {
	p.begin()
	if r.over {
		return p.actions
	}
	r.over = true
	if len(r.live) > 0 && !r.Idempotent {
		// It goes on, so that its work isn't left half done.
		return p.actions
	}
	p.stop(r)
	p.assign(now)
	return p.actions
}

// stop takes a request out of the queue and away from its targets.
func (p *Pool) stop(r *Request) {
	p.unqueue(r)
	for len(r.live) > 0 {
		a := r.live[0]
		p.release(a)
		a.canceled = true
		r.mayHaveRun = true
		p.act(Action{Kind: Cancel, Request: r, Attempt: a})
	}
}

// giveUp ends a request without a good answer.
func (p *Pool) giveUp(now time.Time, r *Request, reason Reason) {
	switch {
	case r.failure != nil:
		p.finish(Action{Kind: Deliver, Request: r, Answer: r.failure})
	case r.mayHaveRun:
		p.finish(Action{Kind: Unknown, Request: r, Reason: reason})
	default:
		p.refuse(now, r, reason)
	}
}

// finish answers a request and cancels what is still under way.
func (p *Pool) finish(action Action) {
	p.stop(action.Request)
	action.Request.over = true
	p.act(action)
}
