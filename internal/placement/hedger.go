package placement

import (
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/hedging"
)

// With a limit on hedges, an attempt is also hedged if it takes longer than most recent
// responses of the service, or if a hedge would be answered clearly sooner. Such hedges give
// way to first attempts: they need a target with room that is less loaded than the first.

const (
	// hedgeRecheckInterval is the time between two decisions on an overdue attempt.
	hedgeRecheckInterval = 20 * time.Millisecond
	// maxHedgeWait is how long a hedge waits in the queue for reports of targets. It allows
	// for two rounds of probes.
	maxHedgeWait = 20 * time.Millisecond
	// hedgeTimeMargin times the expected service time is the expected time of a hedge.
	hedgeTimeMargin = 1.15
	// hedgeBudgetShare is the share of the retry budget that limited hedges may use. The rest
	// is left for retries, without which a request fails.
	hedgeBudgetShare = 0.75
)

// SetHedgeRatio limits hedges to ratio for each request of the service and enables the hedges
// of overdue attempts. With 0, hedges are limited by the retry budget alone.
func (p *Pool) SetHedgeRatio(ratio float64) {
	p.hedger = nil
	if ratio > 0 {
		p.hedger = hedging.New(ratio)
	}
}

// HedgeCounts returns the counts of hedges, or nil without a limit on hedges.
func (p *Pool) HedgeCounts() *hedging.Counts {
	if p.hedger == nil {
		return nil
	}
	return &p.hedger.Counts
}

// trackSend charges a sent hedge and schedules checks of the attempt.
func (p *Pool) trackSend(now time.Time, a *Attempt) {
	a.hedge = len(a.Request.inFlight) > 1
	if p.hedger == nil {
		p.monitor(now, a)
		return
	}
	if len(a.Request.tried) == 1 {
		p.hedger.Limit.RecordRequest()
	}
	if a.hedge {
		p.hedger.Limit.Take()
		p.budget.Take(now)
		p.hedger.Counts.Sent++
	}
	p.monitorLimited(now, a)
}

// monitorLimited schedules the checks of an attempt that may be hedged.
func (p *Pool) monitorLimited(now time.Time, a *Attempt) {
	if !a.Request.mayHedge() {
		return
	}
	a.probeAt = now.Add(firstCheckDelay(a.Request.ServiceTime))
	a.overdueAt = time.Time{}
	overdue, known := p.hedger.Times.Overdue(now)
	switch {
	case p.noReports:
		a.overdueAt = now.Add(time.Duration(overdueFactor * float64(a.Request.ServiceTime)))
	case known:
		a.overdueAt = now.Add(time.Duration(overdue * float64(a.Request.ServiceTime)))
	}
	a.scheduleCheck(p.noReports)
	p.monitored = append(p.monitored, a)
}

// scheduleCheck sets the time of the next check.
func (a *Attempt) scheduleCheck(noReports bool) {
	a.checkAt = a.probeAt
	if !a.overdueAt.IsZero() && (noReports || a.overdueAt.Before(a.probeAt)) {
		a.checkAt = a.overdueAt
	}
}

// checkLimited checks the attempts that are due.
func (p *Pool) checkLimited(now time.Time) {
	p.monitored = slices.DeleteFunc(p.monitored, func(a *Attempt) bool { return !a.hedgeable(now) })
	for _, a := range p.monitored {
		if now.Before(a.checkAt) {
			continue
		}
		if !a.overdueAt.IsZero() && !now.Before(a.overdueAt) {
			a.overdueAt = now.Add(hedgeRecheckInterval)
			p.considerHedge(now, a, hedging.Overdue)
		}
		if !now.Before(a.probeAt) {
			a.probeAt = now.Add(checkInterval)
			p.probeMonitored(now, a)
		}
		a.scheduleCheck(p.noReports)
	}
}

// probeMonitored probes the target of an attempt that can still be in time.
func (p *Pool) probeMonitored(now time.Time, a *Attempt) {
	if p.noReports || !a.Request.inTime(now) || a.Target.probing || a.Target.announced.paused(now) {
		return
	}
	p.startProbe(now, a.Target)
}

// hedgeable reports whether the attempt still runs and its request may be sent again.
func (a *Attempt) hedgeable(now time.Time) bool {
	r := a.Request
	return !r.finished && r.mayHedge() && now.Before(r.Deadline) && slices.Contains(r.inFlight, a)
}

// hedgeSlow considers hedges of the attempts at a target that is slow.
func (p *Pool) hedgeSlow(now time.Time, t *Target) {
	for _, a := range t.running {
		if a.currentSlowness > acceptableSlowness && a.hedgeable(now) {
			p.considerHedge(now, a, hedging.SlowTarget)
		}
	}
}

// considerHedge queues the request of a slow attempt for another target if that is worth it.
func (p *Pool) considerHedge(now time.Time, a *Attempt, trigger hedging.Trigger) {
	r := a.Request
	if r.retryHeld || r.queued || len(r.inFlight) != 1 {
		return
	}
	if reason := p.hedger.Decide(now, p.situation(now, a, trigger)); reason != hedging.ReasonSend {
		p.recordSuppressed(a, reason)
		return
	}
	r.queuedAsHedge = true
	r.hedgeUntil = now.Add(maxHedgeWait)
	p.enqueue(r)
}

func (p *Pool) recordSuppressed(a *Attempt, reason hedging.Reason) {
	if a.suppressed != reason {
		a.suppressed = reason
		p.hedger.Counts.RecordSuppressed(reason)
	}
}

// situation describes a slow attempt for the decision on a hedge.
func (p *Pool) situation(now time.Time, a *Attempt, trigger hedging.Trigger) hedging.Situation {
	r := a.Request
	filter := p.targetFilter(now)
	return hedging.Situation{
		Trigger:     trigger,
		Elapsed:     now.Sub(a.sentAt),
		ServiceTime: r.ServiceTime,
		Remaining:   a.remainingTime(),
		HedgeTime:   time.Duration(hedgeTimeMargin * float64(r.ServiceTime)),
		NoReports:   p.noReports,
		DueIn:       r.SoftDeadline.Sub(now),
		TimeLeft:    r.Deadline.Sub(now),
		Suspected:   r.Suspected,
		HasTarget:   p.hasHedgeTarget(now, a, filter),
		Waiting:     p.waitsSince(now.Add(-fastTargetWait)),
		Occupied:    p.occupied(now, filter),
		BudgetLeft:  p.budget.Allows(now, hedgeBudgetShare),
	}
}

// hasHedgeTarget reports whether another target is less loaded and not known to be slow.
func (p *Pool) hasHedgeTarget(now time.Time, a *Attempt, filter targetFilter) bool {
	for _, t := range p.list {
		if !filter.allows(now, t) || a.Request.hasTried(t) || !t.hasRoom(now) || t.Load(now) >= a.Target.Load(now) {
			continue
		}
		if known := p.noReports || t.hasFreshReport(now); !known || t.Slowness(now) <= acceptableSlowness {
			return true
		}
	}
	return false
}

// waitsSince reports whether a request without an attempt has been queued since the given time.
func (p *Pool) waitsSince(since time.Time) bool {
	return slices.ContainsFunc(p.queue, func(r *Request) bool {
		return r.queued && len(r.inFlight) == 0 && !r.arrived.After(since)
	})
}

// occupied returns the occupied fraction of the room of all targets.
func (p *Pool) occupied(now time.Time, filter targetFilter) float64 {
	load, room := 0, 0
	for _, t := range p.list {
		if !filter.allows(now, t) {
			continue
		}
		limit := t.requestLimit(now)
		if t.noReports {
			limit = t.permits
		}
		load += min(t.Load(now), limit)
		room += limit
	}
	return float64(load) / float64(max(room, 1))
}

// acceptsHedge reports whether a hedge is sent to its best target now.
func (p *Pool) acceptsHedge(now time.Time, r *Request, t *Target) bool {
	if t.Slowness(now) > acceptableSlowness {
		return false
	}
	if p.hedger == nil {
		return true
	}
	return t.Load(now) < r.inFlight[0].Target.Load(now) && (p.noReports || !p.waitsSince(now)) &&
		p.hedger.Limit.Allows() && p.budget.Allows(now, hedgeBudgetShare)
}

// endExpiredHedge takes a queued hedge out of the queue if it is no longer worth sending, and
// reports whether it did.
func (p *Pool) endExpiredHedge(now time.Time, r *Request) bool {
	if p.hedger == nil {
		if r.inTime(now) {
			return false
		}
		p.stopWaiting(r)
		return true
	}
	if now.Before(r.hedgeUntil) {
		return false
	}
	p.stopWaiting(r)
	p.recordSuppressed(r.inFlight[0], hedging.ReasonNoTarget)
	return true
}

// withdrawHedge takes a queued hedge out of the queue because its first attempt has ended. It
// has not been charged, so a retry must be decided on anew.
func (p *Pool) withdrawHedge(r *Request) {
	if r.queuedAsHedge {
		r.queuedAsHedge = false
		p.dequeue(r)
	}
}

// recordWinner records the response time of an attempt that was answered, and whether it
// overtook the first one.
func (p *Pool) recordWinner(now time.Time, a *Attempt) {
	if p.hedger == nil {
		return
	}
	p.hedger.Times.Record(now, now.Sub(a.sentAt), a.Request.ServiceTime)
	if !a.hedge || a.Request.finished {
		return
	}
	p.hedger.Counts.Won++
	for _, first := range a.Request.inFlight {
		p.recordOvertaken(now, first)
	}
}

// recordOvertaken records an attempt that is canceled before its response.
func (p *Pool) recordOvertaken(now time.Time, a *Attempt) {
	if p.hedger != nil && !a.hedge {
		p.hedger.Times.RecordOvertaken(now)
	}
}
