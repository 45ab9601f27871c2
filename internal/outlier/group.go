package outlier

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// Group is the targets that are judged together: those of one group that aren't
// leaving.
type Group []*Target

// MaxOut returns how many targets of a group of the given size may be out.
func MaxOut(size int) int {
	if size < 2 {
		return 0
	}
	return (size + maxOutDivisor - 1) / maxOutDivisor
}

// Good takes a good answer of a target of the group.
func (g Group) Good(now time.Time, t *Target, took time.Duration) {
	g.observe(now, t, 0)
	t.run = 0
	t.refusedRun = 0
	t.unanswered = 0
	t.good++
	t.sample(took)
	g.judgeLatency(now, t)
}

// Overtaken takes the age of an attempt that was canceled without an answer:
// a lower bound of its latency.
func (g Group) Overtaken(now time.Time, t *Target, age time.Duration) {
	if age <= t.latency {
		return
	}
	t.sample(age)
	g.judgeLatency(now, t)
}

// Failed takes a failure of a target of the group. Typical is the service time
// of a good answer.
func (g Group) Failed(now time.Time, t *Target, failure Failure, typical time.Duration) {
	g.observe(now, t, 1)
	t.run++
	t.rest(now, typical)
	t.refusedRun = continued(t.refusedRun, failure == NoConnection)
	t.unanswered = continued(t.unanswered, failure == NoAnswer)
	g.judgeFailures(now, t)
}

// observe counts an attempt; failed is 0 or 1.
func (g Group) observe(now time.Time, t *Target, failed float64) {
	t.Advance(now)
	t.observations++
	weight := max(shareWeight, 1/float64(t.observations))
	t.failures += weight * (failed - t.failures)
}

func (g Group) judgeFailures(now time.Time, t *Target) {
	switch {
	case t.refusedRun >= unreachableRun:
		g.eject(now, t, Unreachable)
	case g.peersFail(t):
	case t.run >= failingRun, t.cold && t.run >= coldRun:
		g.eject(now, t, Failing)
	case t.unanswered >= unansweredRun, t.cold && t.unanswered >= coldUnansweredRun:
		g.eject(now, t, Failing)
	case t.observations >= minObservations && t.failures > failingShare:
		g.eject(now, t, Failing)
	}
}

// judgeLatency ejects slow targets and ends the slow start of others.
func (g Group) judgeLatency(now time.Time, t *Target) {
	needed := minSamples
	if t.cold {
		needed = coldAnswers
	}
	if t.samples < needed {
		return
	}
	typical, known := g.peerLatency(t)
	if known && t.latency > typical*slowFactor && t.latency > typical+slowMargin {
		g.eject(now, t, Slow)
		return
	}
	if t.cold && t.good >= coldAnswers && (!known || t.latency <= typical*warmFactor) {
		t.cold = false
		t.ejections = max(t.ejections-1, 0)
	}
}

// eject takes a target out, unless the group's bound is reached.
func (g Group) eject(now time.Time, t *Target, reason Reason) {
	if t.Ejected(now) || g.out(now) >= MaxOut(len(g)) {
		return
	}
	length := min(baseEjection<<min(t.ejections, 10), maxEjection)
	t.ejections++
	t.reason = reason
	t.ejectedUntil = now.Add(length)
	invariant.Check(g.out(now) <= MaxOut(len(g)), invariant.EjectionBounded,
		"%d of %d targets are ejected", g.out(now), len(g))
}

// out counts the ejected targets.
func (g Group) out(now time.Time) int {
	count := 0
	for _, t := range g {
		if t.Ejected(now) {
			count++
		}
	}
	return count
}
