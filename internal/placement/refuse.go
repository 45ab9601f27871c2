package placement

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

const (
	// refusedProbeBackoff is the initial backoff of a target that refuses a probe's
	// connection.
	refusedProbeBackoff = 50 * time.Millisecond
	// shortRetryAfter is the minimum Retry-After, and its maximum jitter, for requests
	// that were declined by targets with room.
	shortRetryAfter = 10 * time.Millisecond
	// minRetryAfter is the minimum Retry-After of other refused requests.
	minRetryAfter = 150 * time.Millisecond
	// retryAfterJitter is the maximum random addition, so that callers do not all
	// return at once.
	retryAfterJitter = 300 * time.Millisecond
	// maxRetryAfterWait caps the estimated queueing time included in Retry-After.
	maxRetryAfterWait = 500 * time.Millisecond
)

// wouldBeLate reports whether the requests ahead in the queue would delay a new one
// beyond its latest start.
func (p *Pool) wouldBeLate(now time.Time, r *Request) bool {
	if p.backlogSince.IsZero() || now.Sub(p.backlogSince) < minBacklogAge {
		// The requests ahead are only waiting for load reports, not for room.
		return false
	}
	ahead := 0
	for _, other := range p.queue {
		if other.before(r, now) {
			ahead++
		}
	}
	if ahead == 0 {
		return false
	}
	return now.Add(p.sendRate.timeToSend(now, ahead)).After(p.latestStart(r))
}

// latestStart returns the time at which a request that is still queued is refused.
func (p *Pool) latestStart(r *Request) time.Time {
	if r.inTime(r.arrived) {
		return r.latestInTimeStart()
	}
	return r.arrived.Add(min(r.Deadline.Sub(r.arrived)/lateWaitDivisor, maxLateWait))
}

// refuse tells the caller that its request has not run, and when to retry.
func (p *Pool) refuse(now time.Time, r *Request, reason Reason) {
	if r.mayHaveRun || len(r.inFlight) > 0 {
		invariant.Breached(invariant.NotRunIsTrue, "request that may have run refused for %s", reason)
	}
	p.complete(Action{Kind: Refuse, Request: r, Reason: reason, RetryAfter: p.retryAfter(now, reason)})
}

// retryAfter estimates when a refused caller finds room. The time is short if targets
// declined the request without being full. If all have asked for a pause, it is the time
// until the first of them resumes.
func (p *Pool) retryAfter(now time.Time, reason Reason) time.Duration {
	if left, paused := p.pauseLeft(now); paused {
		return left + p.jitter(retryAfterJitter)
	}
	if reason.mayBeShort() && p.backlogSince.IsZero() {
		return shortRetryAfter + p.jitter(shortRetryAfter)
	}
	wait := p.sendRate.timeToSend(now, len(p.queue)+1)
	return min(wait, maxRetryAfterWait) + minRetryAfter + p.jitter(retryAfterJitter)
}

// mayBeShort reports whether a caller refused for the reason finds room soon.
func (r Reason) mayBeShort() bool {
	switch r {
	case ReasonOverload, ReasonNoTarget, ReasonCold, ReasonEvacuated:
		return false
	}
	return true
}

func (p *Pool) jitter(limit time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(limit)))
}
