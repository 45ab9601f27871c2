// Package outlier detects targets that do worse than the other targets of their group, and
// says which of them should get fewer attempts, or none for a while.
//
// The package is a state machine without goroutines, clock or I/O: events and the current
// time are passed in. However many targets look bad, only a bounded part of a group is
// ejected at a time.
package outlier

import (
	"time"
)

// Reason says why a target is ejected.
type Reason string

// Reasons.
const (
	// Failing targets respond with errors or not at all, unlike the other targets.
	Failing Reason = "failing"
	// Unreachable targets accept no connections.
	Unreachable Reason = "unreachable"
	// Slow targets take several times as long as the other targets.
	Slow Reason = "slow"
)

// Failure is the kind of a failed attempt.
type Failure int

// Kinds of failures.
const (
	// ServerError is a response that reports an error of the target.
	ServerError Failure = iota
	// NoResponse is an attempt that got no complete response.
	NoResponse
	// NoConnection is a connection that could not be opened.
	NoConnection
)

const (
	// failureWeight is the weight of one attempt in the moving average of failures.
	failureWeight = 0.1
	// latencyWeight is the weight of one response in the moving average of the latency.
	latencyWeight = 0.05
	// failuresToEject is the number of consecutive failures that ejects a target.
	failuresToEject = 5
	// refusalsToEject is the number of consecutive refused connections that ejects a
	// target.
	refusalsToEject = 2
	// unansweredToEject is the number of consecutive attempts without a response that
	// ejects a target. It is low because each such attempt has used up the whole time of
	// a call.
	unansweredToEject = 2
	// slowStartUnansweredToEject is unansweredToEject for a target in slow start.
	slowStartUnansweredToEject = 1
	// slowStartFailuresToEject is failuresToEject for a target in slow start.
	slowStartFailuresToEject = 2
	// maxFailureRate is the average share of failures above which a target is ejected,
	// after minObservations.
	maxFailureRate = 0.5
	// peerFailureRate is the median failure rate of the other targets above which the
	// failures of a target don't eject it.
	peerFailureRate = 0.25
	// minObservations is the number of attempts before maxFailureRate applies.
	minObservations = 10
	// minSamples is the number of responses before the average latency is compared.
	minSamples = 20
	// slowFactor times the median latency of the other targets is the limit above which
	// a target is slow.
	slowFactor = 3
	// slowStartFactor times the median latency of the other targets is the limit up to
	// which a target may leave slow start.
	slowStartFactor = 2
	// slowMargin is how much longer than the other targets a slow target takes at least.
	slowMargin = 5 * time.Millisecond
	// slowStartResponses is the number of good responses after which the latency of a target
	// in slow start is compared and its concurrency limit grows by one.
	slowStartResponses = 5
	// baseEjection is the length of a first ejection. It doubles each time.
	baseEjection = time.Second
	// maxEjection bounds the length of an ejection.
	maxEjection = 30 * time.Second
	// maxBackOff bounds the time for which a target is excluded after one failure.
	maxBackOff = time.Second
	// unhealthyChecks is the number of consecutive failed health checks after which a
	// target is unhealthy.
	unhealthyChecks = 2
	// maxExcludedDivisor gives the part of a group that may be excluded at a time, rounded
	// up: one availability zone of three.
	maxExcludedDivisor = 3
)

// Target is the health record of one target. Its zero value is a target that is not in
// slow start and of which nothing is known.
type Target struct {
	failureRate         float64
	observations        int
	consecutiveFailures int
	// consecutiveRefusals counts consecutive refused connections.
	consecutiveRefusals int
	// consecutiveUnanswered counts consecutive attempts without a response.
	consecutiveUnanswered int
	latency               time.Duration
	samples               int
	ejections             int
	ejectedUntil          time.Time
	reason                Reason
	backOffUntil          time.Time
	// failedChecks counts consecutive failed health checks.
	failedChecks  int
	slowStart     bool
	goodResponses int
}

// Ejected reports whether the target is ejected.
func (t *Target) Ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// Reason returns why the target was last ejected.
func (t *Target) Reason() Reason { return t.reason }

// BackingOff reports whether the target is backing off: it failed less than the time of a good
// response ago. Without this, a target that fails fast would look idle and attract requests.
func (t *Target) BackingOff(now time.Time) bool { return now.Before(t.backOffUntil) }

// Unhealthy reports whether the latest health checks failed.
func (t *Target) Unhealthy() bool { return t.failedChecks >= unhealthyChecks }

// Unreachable reports whether the latest connections were refused, even if the bound on
// ejections of the group keeps the target from being ejected.
func (t *Target) Unreachable() bool { return t.consecutiveRefusals >= refusalsToEject }

// Excluded reports whether the target should get no requests, as far as MaxOut allows that.
func (t *Target) Excluded(now time.Time) bool {
	return t.Ejected(now) || t.BackingOff(now) || t.Unhealthy()
}

// OnlySlow reports whether the target is excluded only because it is slow. Unlike a
// failing target, it can still take requests.
func (t *Target) OnlySlow(now time.Time) bool {
	return t.Ejected(now) && t.reason == Slow && !t.BackingOff(now) && !t.Unhealthy()
}

// InSlowStart reports whether the target is in slow start.
func (t *Target) InSlowStart() bool { return t.slowStart }

// Latency returns the average latency of responses.
func (t *Target) Latency() time.Duration { return t.latency }

// ConcurrencyLimit returns how many concurrent attempts the target may get: full, or fewer during
// slow start.
func (t *Target) ConcurrencyLimit(full int) int {
	if !t.slowStart {
		return full
	}
	return min(full, 1+t.goodResponses/slowStartResponses)
}

// BeginSlowStart puts the target into slow start and discards what is known of its responses.
func (t *Target) BeginSlowStart() {
	*t = Target{slowStart: true, ejections: t.ejections, reason: t.reason, failedChecks: t.failedChecks}
}

// EndExpiredEjection ends an ejection that has expired. The target returns in slow start.
func (t *Target) EndExpiredEjection(now time.Time) {
	if !t.ejectedUntil.IsZero() && !t.Ejected(now) {
		t.BeginSlowStart()
	}
}

// RecordHealthCheck records the result of a health check that the target answered.
func (t *Target) RecordHealthCheck(healthy bool) {
	t.consecutiveRefusals = 0
	if healthy {
		t.failedChecks = 0
		return
	}
	t.failedChecks++
}

// countConsecutive returns the next value of a counter of consecutive events.
func countConsecutive(count int, same bool) int {
	if same {
		return count + 1
	}
	return 0
}

// RecordOverload records that the target refused an attempt because it has no room. Typical is the
// service time of a good response.
func (t *Target) RecordOverload(now time.Time, typical time.Duration) {
	t.backOffUntil = now.Add(min(typical, maxBackOff))
}

// backOff excludes the target for as long as a good response would have taken, and twice as
// long for each further consecutive failure.
func (t *Target) backOff(now time.Time, typical time.Duration) {
	length := typical << min(t.consecutiveFailures-1, failuresToEject)
	t.backOffUntil = now.Add(min(length, maxBackOff))
}

// sample adds a latency to the moving average.
func (t *Target) sample(took time.Duration) {
	t.samples++
	weight := max(latencyWeight, 1/float64(t.samples))
	t.latency += time.Duration(weight * float64(took-t.latency))
}
