package placement

import (
	"slices"
	"time"
)

// A request whose target becomes slow while running it is sent again to a fast target
// if that can still bring a response in time. The first response wins.

const (
	// An attempt is first checked after its expected service time divided by
	// checkDivisor.
	checkDivisor = 4
	// checkInterval is the time between two checks of an attempt, and the minimum
	// before the first.
	checkInterval = 40 * time.Millisecond
	// slowPeriod is how long a target is expected to stay slow.
	slowPeriod = 200 * time.Millisecond
	// A request that has taken longer than stuckFactor times its expected service time
	// when its deadline comes counts as a failure of the target.
	stuckFactor = 2
)

// updateProgress brings workDone up to date.
func (a *Attempt) updateProgress(now time.Time) {
	a.workDone += time.Duration(float64(now.Sub(a.workDoneAt)) / max(a.currentSlowness, 1))
	a.workDoneAt = now
}

// remainingTime estimates the time until the response to the attempt.
func (a *Attempt) remainingTime() time.Duration {
	return expectedTime(max(a.Request.ServiceTime-a.workDone, a.Request.ServiceTime/10), a.currentSlowness)
}

// expectedTime estimates the execution time of work, given in time at usual speed, at a
// target with the given slowness. It assumes that the target is back to its usual speed
// after slowPeriod.
func expectedTime(work time.Duration, slowness float64) time.Duration {
	slow := time.Duration(float64(work) * max(slowness, 1))
	if slowness <= acceptableSlowness || slow <= slowPeriod {
		return slow
	}
	return slowPeriod + work - time.Duration(float64(slowPeriod)/slowness)
}

// firstCheckDelay returns the time from the send of a request to the first check of its
// target's slowness.
func firstCheckDelay(work time.Duration) time.Duration { return max(work/checkDivisor, checkInterval) }

// monitor schedules checks of an attempt that may be hedged.
func (p *Pool) monitor(now time.Time, a *Attempt) {
	if !a.Request.mayHedge() {
		return
	}
	a.checkAt = now.Add(firstCheckDelay(a.Request.ServiceTime))
	if p.noReports {
		a.checkAt = now.Add(time.Duration(overdueFactor * float64(a.Request.ServiceTime)))
	}
	p.monitored = append(p.monitored, a)
}

// checkMonitored checks the attempts that are due. It probes their targets, or hedges
// immediately if targets do not report their load.
func (p *Pool) checkMonitored(now time.Time) {
	if p.hedger != nil {
		p.checkLimited(now)
		return
	}
	p.monitored = slices.DeleteFunc(p.monitored, func(a *Attempt) bool { return !a.worthHedging(now) })
	for _, a := range p.monitored {
		if now.Before(a.checkAt) {
			continue
		}
		a.checkAt = now.Add(checkInterval)
		switch {
		case p.noReports:
			p.hedge(now, a)
		case !a.Target.probing && !a.Target.announced.paused(now):
			p.startProbe(now, a.Target)
		}
	}
}

// worthHedging reports whether a hedge could still be answered in time.
func (a *Attempt) worthHedging(now time.Time) bool {
	r := a.Request
	return !r.finished && !r.retryHeld && len(r.inFlight) == 1 && r.inFlight[0] == a && !r.queued && r.inTime(now)
}

// hedgeLate hedges the requests at a target that would be late there.
func (p *Pool) hedgeLate(now time.Time, t *Target) {
	if p.hedger != nil {
		p.hedgeSlow(now, t)
		return
	}
	for _, a := range t.running {
		r := a.Request
		if !r.mayHedge() || !a.worthHedging(now) {
			continue
		}
		if now.Add(a.remainingTime()).After(r.SoftDeadline) {
			p.hedge(now, a)
		}
	}
}

// hedge queues the request of an attempt for another target if there is one and the retry
// budget allows it.
func (p *Pool) hedge(now time.Time, a *Attempt) {
	if p.hasUntriedTarget(now, a.Request, p.targetFilter(now)) && !p.onlyColdLeft(now, a.Request) && p.budget.Take(now) {
		p.enqueue(a.Request)
	}
}
