// Package hedging decides whether a request is sent to a second target because its first
// attempt is slow, and limits such hedges to a fraction of the requests. It has no clock and
// no network: the time and what is known of the targets are inputs.
package hedging

import "time"

const (
	// clearlySooner is the factor by which a hedge must be expected to be faster than the rest
	// of the first attempt if that is already known to run at a slow target.
	clearlySooner = 1.5
	// minStillRunning is the minimum probability that the first attempt of an overdue request
	// outlasts the hedge. With less, most hedges would be wasted.
	minStillRunning = 0.5
	// maxOccupied is the maximum occupied fraction of the room of all targets. Above it, a
	// hedge takes the room of a request that arrives next.
	maxOccupied = 0.95
)

// Reason tells why a slow attempt was not hedged.
type Reason string

// Reasons why a slow attempt was not hedged.
const (
	// ReasonSend means that nothing prevents the hedge.
	ReasonSend Reason = ""
	// ReasonNoTime means that the hedge would not be answered before the deadline.
	ReasonNoTime Reason = "no_time"
	// ReasonNoGain means that the hedge would not be answered clearly sooner.
	ReasonNoGain Reason = "no_gain"
	// ReasonSuspected means that the request is suspected of crashing targets.
	ReasonSuspected Reason = "suspected"
	// ReasonNoRoom means that the service is short of room.
	ReasonNoRoom Reason = "no_room"
	// ReasonNoTarget means that no other target is less loaded and fast enough.
	ReasonNoTarget Reason = "no_target"
	// ReasonLimit means that the limit on hedges is used up.
	ReasonLimit Reason = "limit"
	// ReasonRetryBudget means that the retry budget is used up.
	ReasonRetryBudget Reason = "retry_budget"
)

// Trigger is the sign by which an attempt is slow.
type Trigger int

// Triggers of a hedge.
const (
	// Overdue means that the attempt has taken longer than most recent responses.
	Overdue Trigger = iota
	// SlowTarget means that the target of the attempt is known to be slow.
	SlowTarget
)

// Situation is what is known of a slow attempt and of the service.
type Situation struct {
	Trigger Trigger
	// Elapsed is the time since the attempt was sent, ServiceTime its expected execution time
	// at usual speed.
	Elapsed, ServiceTime time.Duration
	// Remaining is the expected time until the attempt is answered at a slow target. It is used
	// only for SlowTarget.
	Remaining time.Duration
	// HedgeTime is the expected time until a hedge is answered.
	HedgeTime time.Duration
	// NoReports is set if the targets don't report their load.
	NoReports bool
	// DueIn is the time until the response is late, TimeLeft that until the caller must be
	// answered.
	DueIn, TimeLeft time.Duration
	// Suspected is set if the request is suspected of crashing targets.
	Suspected bool
	// HasTarget is set if another target is suitable.
	HasTarget bool
	// Waiting is set if other requests wait for room.
	Waiting bool
	// Occupied is the occupied fraction of the room of all targets.
	Occupied float64
	// BudgetLeft is set if the retry budget allows another send.
	BudgetLeft bool
}

// Hedger decides on the hedges of one service at one daemon.
type Hedger struct {
	Times  *Times
	Limit  Limit
	Counts Counts
}

// New returns a hedger that allows ratio hedges for each request.
func New(ratio float64) *Hedger {
	return &Hedger{Times: NewTimes(), Limit: NewLimit(ratio)}
}

// Decide returns ReasonSend if the attempt is to be hedged, or else why not.
func (h *Hedger) Decide(now time.Time, s Situation) Reason {
	switch {
	case s.Suspected:
		return ReasonSuspected
	case s.HedgeTime >= s.TimeLeft:
		return ReasonNoTime
	case !h.gains(now, s):
		return ReasonNoGain
	case s.Waiting && !waivesQueue(s), s.Occupied > maxOccupied:
		return ReasonNoRoom
	case !s.HasTarget:
		return ReasonNoTarget
	case !h.Limit.Allows(), h.Limit.isLow() && !rescues(s):
		return ReasonLimit
	case !s.BudgetLeft:
		return ReasonRetryBudget
	}
	return ReasonSend
}

// gains reports whether a hedge is expected to be answered clearly before the attempt.
func (h *Hedger) gains(now time.Time, s Situation) bool {
	if s.Trigger == SlowTarget {
		return float64(s.Remaining) >= clearlySooner*float64(s.HedgeTime)
	}
	if s.NoReports && h.Limit.isPlentiful() {
		// The elapsed time is the only sign of a slow target.
		return true
	}
	return h.Times.StillRunning(now, s.Elapsed, s.HedgeTime, s.ServiceTime) >= minStillRunning
}

// waivesQueue reports whether a hedge may be sent although other requests wait for room. So it
// is for the signs of a slow target that are used without a limit on hedges too: these hedges
// prevent late responses.
func waivesQueue(s Situation) bool {
	return s.HedgeTime < s.DueIn && (s.NoReports || s.Trigger == SlowTarget && s.Remaining >= s.DueIn)
}

// rescues reports whether a hedge may prevent a late response. While the allowance is low, it
// is kept for such hedges.
func rescues(s Situation) bool {
	if s.HedgeTime >= s.DueIn {
		return false
	}
	return s.Trigger == Overdue || s.Remaining >= s.DueIn
}
