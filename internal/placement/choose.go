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

// targetFilter selects the targets that may get new requests.
type targetFilter struct {
	// lastResort selects the targets that have recently announced that they are leaving,
	// because all others are leaving for longer or paused.
	lastResort bool
	health     healthFilter
}

// targetFilter returns the strictest filter that leaves enough targets.
func (p *Pool) targetFilter(now time.Time) targetFilter {
	filter := targetFilter{lastResort: true}
	for _, t := range p.list {
		if !t.isLeaving() && !t.evacuated && !t.announced.paused(now) {
			filter.lastResort = false
			break
		}
	}
	accepting, excluded := 0, 0
	for _, t := range p.list {
		if !filter.accepts(now, t) {
			continue
		}
		accepting++
		t.health.EndExpiredEjection(now)
		if t.health.Excluded(now) {
			excluded++
		}
	}
	if excluded > outlier.MaxExcluded(accepting) {
		filter.health = skipEjected
	}
	return filter
}

// accepts reports whether a target accepts new requests, whatever its health.
func (f targetFilter) accepts(now time.Time, t *Target) bool {
	if t.isDelisted() || t.evacuated || t.announced.paused(now) {
		return false
	}
	if f.lastResort {
		return t.announced.leavingRecently(now)
	}
	return !t.announced.leaving()
}

// allows reports whether a target may get new requests.
func (f targetFilter) allows(now time.Time, t *Target) bool {
	if !f.accepts(now, t) {
		return false
	}
	if f.health == skipExcluded {
		return !t.health.Excluded(now)
	}
	return !t.health.Ejected(now)
}

// constraints restrict the choice of a target for one request at one time.
type constraints struct {
	targets targetFilter
	// allowStale allows targets without a fresh report.
	allowStale bool
	// localOnly allows only targets of the local zone.
	localOnly bool
	// ignorePermits allows targets for which the daemon holds no free permit.
	ignorePermits bool
	// coldSpacing is the minimum time between two requests to a cold target; 0 allows none.
	coldSpacing time.Duration
}

// constraintsFor returns the constraints that apply to a request now.
func (p *Pool) constraintsFor(now time.Time, r *Request, filter targetFilter) constraints {
	return constraints{
		targets:       filter,
		allowStale:    p.noReports || len(r.inFlight) == 0 && now.Sub(r.arrived) > maxReportWait && p.probes == 0,
		localOnly:     now.Before(r.crossZoneAllowedAt()) && p.hasLocalTarget(now, filter),
		ignorePermits: p.lacksPermits(now, filter),
		coldSpacing:   p.coldSpacing(now),
	}
}

// allows reports whether a daemon in the given zone may send the request to a target.
func (c constraints) allows(now time.Time, t *Target, r *Request, zone string) bool {
	switch {
	case !c.targets.allows(now, t), r.hasTried(t), !t.hasRoom(now):
		return false
	case c.localOnly && t.Zone != zone:
		return false
	case t.noReports && t.ownLoad() >= t.permits && !c.ignorePermits:
		return false
	case !t.cold.mayTake(now, c.coldSpacing):
		return false
	}
	// The rate of a cold target is limited, so its load needn't be known.
	return c.allowStale || t.hasFreshReport(now) || t.cold.isCold(now)
}

// choose returns the target to which a request is sent now, or nil if it has to wait.
func (p *Pool) choose(now time.Time, r *Request, filter targetFilter) *Target {
	constraints := p.constraintsFor(now, r, filter)
	if due := p.dueCold(now, r, constraints); due != nil {
		return due
	}
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
		return p.acceptsHedge(now, r, t)
	}
	if !r.inTime(now) && p.contended(now) && t.Load(now) >= max(1, t.requestLimit(now)-1) {
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
	return now.Add(expectedTime(r.ServiceTime, slowness)).Before(r.SoftDeadline)
}
