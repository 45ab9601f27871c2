package placement

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// coldSpacing returns the minimum time between two requests to a cold target; 0 means that the
// daemon sends it none.
func (p *Pool) coldSpacing(now time.Time) time.Duration {
	rate := coldMargin * p.cold.limit.Rate * p.cold.limit.Share
	if rate <= 0 || now.Sub(p.cold.setAt) > coldShareExpiry {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// nextSend returns when this daemon may send the cold target a request; spacing is the minimum time
// between two.
func (c *coldState) nextSend(spacing time.Duration) time.Time {
	if next := c.sentAt.Add(spacing); next.After(c.earliest) {
		return next
	}
	return c.earliest
}

// mayTake reports whether the target isn't cold, or may get a request at the given spacing.
func (c *coldState) mayTake(now time.Time, spacing time.Duration) bool {
	return !c.isCold(now) || spacing > 0 && !now.Before(c.nextSend(spacing))
}

// sendsUntil returns the number of requests that the cold target may get until a time.
func (c *coldState) sendsUntil(now, until time.Time, spacing time.Duration) int {
	next := c.nextSend(spacing)
	if next.Before(now) {
		next = now
	}
	if spacing <= 0 || next.After(until) {
		return 0
	}
	return 1 + int(until.Sub(next)/spacing)
}

// recordColdSend records the send of a request to a target.
func (p *Pool) recordColdSend(now time.Time, t *Target) {
	if t.cold == nil {
		return
	}
	if !t.cold.mayTake(now, p.coldSpacing(now)) {
		invariant.Breached(invariant.ColdRate, "request sent to cold target %s beyond the daemon's share", t.ID)
	}
	t.cold.sentAt = now
}

// dueCold returns a cold target that has not got a request for coldTrickle and can answer the
// request in time, or nil.
func (p *Pool) dueCold(now time.Time, r *Request, constraints constraints) *Target {
	expected := time.Duration(slowStartFactor * serviceTimeMargin * float64(r.ServiceTime))
	if constraints.coldSpacing <= 0 || len(r.tried) > 0 || !now.Add(expected).Before(r.SoftDeadline) {
		return nil
	}
	var due *Target
	for _, t := range p.list {
		if !t.cold.isCold(now) || now.Sub(t.cold.sentAt) < coldTrickle || !constraints.allows(now, t, r, p.zone) {
			continue
		}
		if due == nil || t.cold.sentAt.Before(due.cold.sentAt) {
			due = t
		}
	}
	return due
}

// coldExhausted reports whether only cold targets can take a request, and their rate is used up by
// the given number of requests ahead of it until it would be too late. A target that is only
// assumed to be cold may take it after a health check.
func (p *Pool) coldExhausted(now time.Time, r *Request, filter targetFilter, ahead int) bool {
	if p.cold.targets == nil {
		return false
	}
	spacing, until := p.coldSpacing(now), p.latestStart(r)
	found, sends := false, 0
	for _, t := range p.list {
		if !filter.allows(now, t) || r.hasTried(t) {
			continue
		}
		if !t.cold.isCold(now) || t.cold.assumed && !p.noReports {
			// The target may take the request, now or after a health check.
			return false
		}
		found = true
		sends += t.cold.sendsUntil(now, until, spacing)
	}
	return found && sends <= ahead
}

// onlyColdLeft reports whether all targets are cold that could take the request and have not. Cold
// targets get no hedges, because they are slow.
func (p *Pool) onlyColdLeft(now time.Time, r *Request) bool {
	if p.cold.targets == nil {
		return false
	}
	filter := p.targetFilter(now)
	for _, t := range p.list {
		if filter.allows(now, t) && !r.hasTried(t) && !t.cold.isCold(now) {
			return false
		}
	}
	return true
}

// checkCold probes a target that gets a request, unless it was probed lately, so that the daemon learns
// when the target becomes cold.
func (p *Pool) checkCold(now time.Time, t *Target) {
	if t.cold == nil || p.noReports || t.probing || now.Sub(t.probedAt) < coldCheckInterval {
		return
	}
	p.emitProbe(now, t)
}

// lacksProbes reports whether the probes that are left are kept for checkCold: one for each target, if
// requests to cold targets are limited.
func (p *Pool) lacksProbes(now time.Time) bool {
	reserve := float64(len(p.cold.targets))
	return reserve > 0 && p.probeLimiter.TokensAt(now) < 1+reserve
}
