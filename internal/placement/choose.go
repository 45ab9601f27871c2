package placement

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

// healthFilter selects the targets that get no new requests because of their health.
type healthFilter int

const (
	// skipExcluded skips targets that are ejected, backing off or unhealthy.
	skipExcluded healthFilter = iota
	// skipEjected skips only ejected targets. It applies when so many targets look bad
	// that the signal is not credible.
	skipEjected
)

// healthFilter returns the strictest filter that leaves enough targets.
func (p *Pool) healthFilter(now time.Time) healthFilter {
	excluded := 0
	for _, health := range p.group {
		health.Advance(now)
		if health.Out(now) {
			excluded++
		}
	}
	if excluded <= outlier.MaxOut(len(p.group)) {
		return skipExcluded
	}
	return skipEjected
}

// allows reports whether a target may get new requests.
func (f healthFilter) allows(now time.Time, t *Target) bool {
	if t.isLeaving() {
		return false
	}
	if f == skipExcluded {
		return !t.health.Out(now)
	}
	return !t.health.Ejected(now)
}

// constraints restrict the choice of a target for one request at one time.
type constraints struct {
	healthFilter healthFilter
	// allowStale allows targets without a fresh report.
	allowStale bool
	// localOnly allows only targets of the local zone.
	localOnly bool
	// ignorePermits allows targets for which the daemon holds no free permit.
	ignorePermits bool
}

// constraintsFor returns the constraints that apply to a request now.
func (p *Pool) constraintsFor(now time.Time, r *Request, healthFilter healthFilter) constraints {
	return constraints{
		healthFilter:  healthFilter,
		allowStale:    p.noReports || len(r.inFlight) == 0 && now.Sub(r.arrived) > maxReportWait && p.probes == 0,
		localOnly:     now.Before(r.crossZoneAllowedAt()) && p.hasLocalTarget(now, healthFilter),
		ignorePermits: p.lacksPermits(now, healthFilter),
	}
}

// allows reports whether a daemon in the given zone may send the request to a target.
func (c constraints) allows(now time.Time, t *Target, r *Request, zone string) bool {
	switch {
	case !c.healthFilter.allows(now, t), r.hasTried(t), !t.hasRoom(now):
		return false
	case c.localOnly && t.Zone != zone:
		return false
	case t.noReports && t.ownLoad() >= t.permits && !c.ignorePermits:
		return false
	}
	return c.allowStale || t.hasFreshReport(now)
}

// choose returns the target to which a request is sent now, or nil if it has to wait.
func (p *Pool) choose(now time.Time, r *Request, healthFilter healthFilter) *Target {
	constraints := p.constraintsFor(now, r, healthFilter)
	var best *Target
	bestCost := 0.0
	for _, t := range p.list {
		if !constraints.allows(now, t, r, p.zone) {
			continue
		}
		if cost := t.cost(now, r, p.zone); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best == nil || !p.accepts(now, r, best) {
		return nil
	}
	return best
}

// contended reports whether requests that could still be in time have recently waited
// for room.
func (p *Pool) contended(now time.Time) bool { return now.Sub(p.contendedAt) < contentionPeriod }

// accepts reports whether a request is sent to its best target now instead of waiting
// for a better one.
func (p *Pool) accepts(now time.Time, r *Request, t *Target) bool {
	slowness := t.Slowness(now)
	if len(r.inFlight) > 0 {
		return slowness <= acceptableSlowness
	}
	if !r.inTime(now) && p.contended(now) && t.Load(now) >= max(1, t.requestLimit()-1) {
		// A late request must not take room from requests that can still be in time.
		return false
	}
	if slowness <= acceptableSlowness {
		return true
	}
	if now.Sub(r.arrived) < fastTargetWait {
		return false
	}
	if !r.inTime(now) {
		return !p.contended(now)
	}
	return now.Add(expectedTime(r.Work, slowness)).Before(r.Due)
}
