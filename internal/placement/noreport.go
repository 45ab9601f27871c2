package placement

import (
	"math"
	"time"
)

// A target that does not report its load is judged by this daemon's own requests to it:
// the time its last response took, and requests that are overdue.

const (
	// estimateDecay is the time constant with which a slowness estimate from a response
	// time decays to the usual slowness of 1.
	estimateDecay = 100 * time.Millisecond
	// A request that has taken longer than overdueFactor times its expected service
	// time shows that its target is slow.
	overdueFactor = 1.3
	// sparePermits is the number of requests that a daemon may have at a target for
	// which it holds no permits, while its own permits are unusable.
	sparePermits = 1
)

// speedEstimate is the slowness of a non-reporting target as seen from its last
// response.
type speedEstimate struct {
	slowness float64
	at       time.Time
}

// record sets the estimate from the response time of a request and its expected service
// time.
func (e *speedEstimate) record(now time.Time, took, serviceTime time.Duration) {
	e.slowness = max(float64(took)/float64(max(serviceTime, time.Millisecond)), 1)
	e.at = now
}

// estimate returns the slowness to expect now.
func (e *speedEstimate) estimate(now time.Time) float64 {
	if e.at.IsZero() {
		return 1
	}
	return decay(e.slowness, 1, now.Sub(e.at), estimateDecay)
}

// decay returns a value that decays exponentially from seen to usual. After one time
// constant, about a third of the difference is left.
func decay(seen, usual float64, age, timeConstant time.Duration) float64 {
	return usual + math.Exp(-age.Seconds()/timeConstant.Seconds())*(seen-usual)
}

// estimatedSlowness estimates the slowness of a non-reporting target from its last
// response and from overdue requests.
func (t *Target) estimatedSlowness(now time.Time) float64 {
	slowness := t.speedEstimate.estimate(now)
	for _, a := range t.running {
		waited := float64(now.Sub(a.sentAt)) / float64(max(a.Request.ServiceTime, time.Millisecond))
		if waited > overdueFactor {
			slowness = max(slowness, waited)
		}
	}
	return slowness
}

// lacksPermits reports whether at least half of the daemon's permits are unusable
// because their targets are excluded, or whether it has none.
func (p *Pool) lacksPermits(now time.Time, filter targetFilter) bool {
	if !p.noReports {
		return false
	}
	assigned, usable := 0, 0
	for _, t := range p.list {
		assigned += t.permits
		if filter.allows(now, t) {
			usable += t.permits
		}
	}
	return 2*usable <= assigned
}

// setNoReports records whether the service's targets report their load.
func (p *Pool) setNoReports(noReports bool) {
	if p.noReports == noReports {
		return
	}
	p.noReports = noReports
	for _, t := range p.list {
		t.noReports = noReports
	}
	p.assignPermits()
}
