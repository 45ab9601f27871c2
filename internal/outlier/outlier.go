// Package outlier judges targets by their answers in comparison with their
// peers, and says which of them get fewer attempts or none for a while.
//
// The judgements are plain code: time is passed in. They are bounded: whatever
// the signs say, only a share of a group is ejected.
package outlier

import (
	"time"
)

// Reason says why a target is ejected.
type Reason string

// Reasons.
const (
	// Failing targets answer with failures or lose answers while peers don't.
	Failing Reason = "failing"
	// Unreachable targets accept no connections.
	Unreachable Reason = "unreachable"
	// Slow targets take several times as long as their peers.
	Slow Reason = "slow"
)

// Failure is the kind of a failed attempt.
type Failure int

// Kinds of failures.
const (
	// ServerError is an answer that reports a failure.
	ServerError Failure = iota
	// NoAnswer is an attempt without a whole answer.
	NoAnswer
	// NoConnection is a connection that could not be opened.
	NoConnection
)

const (
	// shareWeight is the weight of one attempt in the share of failures.
	shareWeight = 0.1
	// latencyWeight is the weight of one answer in the mean latency.
	latencyWeight = 0.05
	// failingRun is the number of consecutive failures that ejects a target.
	failingRun = 5
	// unreachableRun is the number of consecutive refused connections that ejects
	// a target.
	unreachableRun = 2
	// unansweredRun is the number of consecutive attempts without an answer that
	// ejects a target: each of them has cost a call its whole time.
	unansweredRun = 2
	// coldUnansweredRun is the same for a cold target.
	coldUnansweredRun = 1
	// coldRun is the number of consecutive failures that ejects a cold target.
	coldRun = 2
	// failingShare is the share of failures that ejects a target, after
	// minObservations.
	failingShare = 0.5
	// peerShare is the median share of the peers' failures above which failures
	// aren't held against a target.
	peerShare = 0.25
	// minObservations is the number of attempts before a share counts.
	minObservations = 10
	// minSamples is the number of answers before a mean latency counts.
	minSamples = 20
	// slowFactor times the peers' median latency is slow.
	slowFactor = 3
	// warmFactor times the peers' median latency is warm.
	warmFactor = 2
	// slowMargin is the least difference to the peers that is slow.
	slowMargin = 5 * time.Millisecond
	// coldAnswers is the number of good answers after which a cold target is
	// judged, and gets one more attempt at a time.
	coldAnswers = 5
	// baseEjection is the length of a first ejection. It doubles each time.
	baseEjection = time.Second
	// maxEjection bounds the length of an ejection.
	maxEjection = 30 * time.Second
	// maxRest bounds the rest after a failure.
	maxRest = time.Second
	// unhealthyRun is the number of consecutive unhealthy checks that counts.
	unhealthyRun = 2
	// maxOutDivisor gives the part of a group that may be out at a time, rounded
	// up: one availability zone of three.
	maxOutDivisor = 3
)

// Target is the record of one target. Its zero value is a warm target of which
// nothing is known.
type Target struct {
	failures     float64
	observations int
	run          int
	refusedRun   int
	// unanswered counts consecutive attempts without an answer.
	unanswered   int
	latency      time.Duration
	samples      int
	ejections    int
	ejectedUntil time.Time
	reason       Reason
	restUntil    time.Time
	unhealthy    int
	cold         bool
	good         int
}

// Ejected reports whether the target is ejected.
func (t *Target) Ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// Reason returns why the target was last ejected.
func (t *Target) Reason() Reason { return t.reason }

// Resting reports whether the target has failed so recently that it would still
// be at work on a good answer. A target that fails fast looks idle otherwise.
func (t *Target) Resting(now time.Time) bool { return now.Before(t.restUntil) }

// Unhealthy reports whether the latest health checks say so.
func (t *Target) Unhealthy() bool { return t.unhealthy >= unhealthyRun }

// Unreachable reports whether the latest connections were refused, also while the
// group's bound keeps the target from being ejected.
func (t *Target) Unreachable() bool { return t.refusedRun >= unreachableRun }

// Out reports whether the target should get nothing while the group's bound
// allows it.
func (t *Target) Out(now time.Time) bool {
	return t.Ejected(now) || t.Resting(now) || t.Unhealthy()
}

// MerelySlow reports whether the target is out for its slowness alone: it is still
// capacity, unlike one that fails.
func (t *Target) MerelySlow(now time.Time) bool {
	return t.Ejected(now) && t.reason == Slow && !t.Resting(now) && !t.Unhealthy()
}

// Cold reports whether the target is in slow start.
func (t *Target) Cold() bool { return t.cold }

// Latency returns the mean latency of good answers.
func (t *Target) Latency() time.Duration { return t.latency }

// Limit bounds the attempts at the target during slow start.
func (t *Target) Limit(full int) int {
	if !t.cold {
		return full
	}
	return min(full, 1+t.good/coldAnswers)
}

// Restart makes the target cold and forgets its answers so far.
func (t *Target) Restart() {
	*t = Target{cold: true, ejections: t.ejections, reason: t.reason, unhealthy: t.unhealthy}
}

// Advance ends an ejection whose time is over: the target returns cold.
func (t *Target) Advance(now time.Time) {
	if !t.ejectedUntil.IsZero() && !t.Ejected(now) {
		t.Restart()
	}
}

// Check takes the result of a health check that was answered.
func (t *Target) Check(healthy bool) {
	t.refusedRun = 0
	if healthy {
		t.unhealthy = 0
		return
	}
	t.unhealthy++
}

// continued returns the length of a run after another observation.
func continued(run int, same bool) int {
	if same {
		return run + 1
	}
	return 0
}

// Shed takes a refusal because the target has no room. Typical is the service time
// of a good answer.
func (t *Target) Shed(now time.Time, typical time.Duration) {
	t.restUntil = now.Add(min(typical, maxRest))
}

// rest takes the target out for as long as good answers would have taken; twice
// as long for each further failure in a row.
func (t *Target) rest(now time.Time, typical time.Duration) {
	length := typical << min(t.run-1, failingRun)
	t.restUntil = now.Add(min(length, maxRest))
}

func (t *Target) sample(took time.Duration) {
	t.samples++
	weight := max(latencyWeight, 1/float64(t.samples))
	t.latency += time.Duration(weight * float64(took-t.latency))
}
