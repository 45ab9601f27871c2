package outlier

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// Group is the targets that are compared with one another: all of one group that aren't
// leaving.
type Group []*Target

// MaxExcluded returns how many targets of a group of the given size may be excluded at a time.
func MaxExcluded(size int) int {
	if size < 2 {
		return 0
	}
	return (size + maxExcludedDivisor - 1) / maxExcludedDivisor
}

// RecordSuccess records a good response of a target of the group.
func (g Group) RecordSuccess(now time.Time, t *Target, took time.Duration) {
	g.observe(now, t, 0)
	t.consecutiveFailures = 0
	t.consecutiveRefusals = 0
	t.consecutiveUnanswered = 0
	t.goodResponses++
	t.sample(took)
	g.evaluateLatency(now, t)
}

// RecordCanceled records that an attempt was canceled without a response. Its age is a lower
// bound of its latency, so it counts only if it is above the target's average.
func (g Group) RecordCanceled(now time.Time, t *Target, age time.Duration) {
	if age <= t.latency {
		return
	}
	t.sample(age)
	g.evaluateLatency(now, t)
}

// RecordFailure records a failed attempt at a target of the group. Typical is the service time
// of a good response.
func (g Group) RecordFailure(now time.Time, t *Target, failure Failure, typical time.Duration) {
	g.observe(now, t, 1)
	t.consecutiveFailures++
	t.backOff(now, typical)
	t.consecutiveRefusals = countConsecutive(t.consecutiveRefusals, failure == NoConnection)
	t.consecutiveUnanswered = countConsecutive(t.consecutiveUnanswered, failure == NoResponse)
	g.evaluateFailures(now, t)
}

// observe adds an attempt to the moving average of failures; failed is 0 or 1.
func (g Group) observe(now time.Time, t *Target, failed float64) {
	t.EndExpiredEjection(now)
	t.observations++
	weight := max(failureWeight, 1/float64(t.observations))
	t.failureRate += weight * (failed - t.failureRate)
}

// evaluateFailures ejects a target that fails too often. Failures that the other targets
// show too are taken for an effect of the requests, except refused connections.
func (g Group) evaluateFailures(now time.Time, t *Target) {
	switch {
	case t.consecutiveRefusals >= refusalsToEject:
		g.eject(now, t, Unreachable)
	case g.peersFail(t):
	case t.consecutiveFailures >= failuresToEject, t.slowStart && t.consecutiveFailures >= slowStartFailuresToEject:
		g.eject(now, t, Failing)
	case t.consecutiveUnanswered >= unansweredToEject, t.slowStart && t.consecutiveUnanswered >= slowStartUnansweredToEject:
		g.eject(now, t, Failing)
	case t.observations >= minObservations && t.failureRate > maxFailureRate:
		g.eject(now, t, Failing)
	}
}

// evaluateLatency ejects a slow target and ends the slow start of one that isn't slow.
func (g Group) evaluateLatency(now time.Time, t *Target) {
	needed := minSamples
	if t.slowStart {
		needed = slowStartResponses
	}
	if t.samples < needed {
		return
	}
	typical, known := g.peerLatency(t)
	if known && t.latency > typical*slowFactor && t.latency > typical+slowMargin {
		g.eject(now, t, Slow)
		return
	}
	if t.slowStart && t.goodResponses >= slowStartResponses && (!known || t.latency <= typical*slowStartFactor) {
		t.slowStart = false
		t.ejections = max(t.ejections-1, 0)
	}
}

// eject ejects a target, unless as many targets of the group are ejected as may be.
func (g Group) eject(now time.Time, t *Target, reason Reason) {
	if t.Ejected(now) || g.ejected(now) >= MaxExcluded(len(g)) {
		return
	}
	length := min(baseEjection<<min(t.ejections, 10), maxEjection)
	t.ejections++
	t.reason = reason
	t.ejectedUntil = now.Add(length)
	invariant.Check(g.ejected(now) <= MaxExcluded(len(g)), invariant.EjectionBounded,
		"%d of %d targets are ejected", g.ejected(now), len(g))
}

// ejected returns the number of ejected targets.
func (g Group) ejected(now time.Time) int {
	count := 0
	for _, t := range g {
		if t.Ejected(now) {
			count++
		}
	}
	return count
}
