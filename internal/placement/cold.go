package placement

import (
	"math/rand/v2"
	"time"
)

// A target is cold for some time after its start, and may become cold again. A cold target runs
// slowly and fails if it receives too many requests per second. All daemons together send it at
// most the service's cold rate: each has a share of the rate and keeps a minimum time between two
// requests to a cold target, so that no share allows a burst.

const (
	// coldMargin is the fraction of the cold rate that is used. The rest covers requests whose
	// arrivals are closer together than their sends.
	coldMargin = 0.9
	// coldWindow is the time within which the requests to a cold target are counted. What was
	// sent to a target just before it was known to be cold counts, too.
	coldWindow = time.Second
	// coldRamp is the time after the cold time during which the load of a target rises to the
	// usual limit.
	coldRamp = 2 * time.Second
	// coldTrickle is the interval at which a cold target gets a request although faster targets
	// have room, so that a target that joins is in use from the beginning.
	coldTrickle = time.Second
	// coldCheckInterval is the time after the last health check of a target at which a request to
	// it is accompanied by another one. Targets whose responses show their load need no health
	// checks otherwise, and only these show that a target has become cold.
	coldCheckInterval = 200 * time.Millisecond
	// coldShareExpiry is how long a share holds without being set again. A daemon that was frozen
	// must not use the share that it had before.
	coldShareExpiry = 2 * time.Second
)

// ColdLimit limits the requests to cold targets of a service.
type ColdLimit struct {
	// Rate is the number of requests per second that a cold target may get from all daemons
	// together. 0 means no limit.
	Rate float64
	// Share is the fraction of Rate that this daemon may use. The shares of all daemons must not
	// add up to more than 1.
	Share float64
	// Start is how long a target that has restarted is cold if its entry does not tell.
	Start time.Duration
}

// coldLimiter applies a ColdLimit to the targets of a pool.
type coldLimiter struct {
	limit ColdLimit
	// setAt is when the limit was last set.
	setAt time.Time
	// targets holds the states of the targets by ID. It is nil without a limit.
	targets map[string]*coldState
	// listed is set once the pool has had a list of targets.
	listed bool
}

// coldState is what is known of the cold times of a target. It outlives restarts of the target.
type coldState struct {
	incarnation int64
	// until is the end of the last cold time; zero if there was none.
	until time.Time
	// learnedAt is when until was last extended.
	learnedAt time.Time
	// assumed is set if the cold time is only possible: a health check tells whether the target is
	// cold.
	assumed bool
	// listed is the cold time that was taken last from the target's entry.
	listed listedCold
	// sentAt is when this daemon last sent the target a request.
	sentAt time.Time
	// earliest is the time before which the cold target gets no request from this daemon.
	earliest time.Time
	// seenAt is when the target was last listed.
	seenAt time.Time
}

// listedCold identifies a version of a target's entry that says that the target is cold.
type listedCold struct {
	remaining time.Duration
	revision  uint64
}

// SetColdLimit sets the limit for cold targets. It has to be repeated within coldShareExpiry.
// Without that the daemon sends cold targets nothing.
func (p *Pool) SetColdLimit(now time.Time, limit ColdLimit) {
	p.cold.limit, p.cold.setAt = limit, now
	switch {
	case limit.Rate <= 0:
		p.cold.targets = nil
	case p.cold.targets == nil:
		p.cold.targets = map[string]*coldState{}
	default:
		return
	}
	for _, t := range p.list {
		t.cold = p.coldStateOf(now, t)
		if t.cold == nil {
			continue
		}
		t.cold.listed = t.listedCold()
		if now.Before(t.slowStartUntil) {
			p.assumeCold(now, t, t.slowStartUntil.Sub(now))
		}
	}
}

// trackCold connects a listed target with its cold state, and applies its entry.
func (p *Pool) trackCold(now time.Time, t *Target) {
	state := p.coldStateOf(now, t)
	t.cold = state
	if state == nil || t.Incarnation < state.incarnation {
		// Requests to cold targets are not limited, or the list is outdated.
		return
	}
	restarted := t.Incarnation > state.incarnation
	state.incarnation = t.Incarnation
	listed := t.listedCold()
	switch {
	case t.SlowStartFor > 0 && !p.cold.listed:
		// The entry may be as old as the target.
		p.assumeCold(now, t, t.SlowStartFor)
	case t.SlowStartFor > 0 && (restarted || listed != state.listed):
		p.beginCold(now, t, t.SlowStartFor)
	case t.SlowStartFor <= 0 && restarted:
		p.beginCold(now, t, p.cold.limit.Start)
	}
	state.listed = listed
}

// coldStateOf returns the cold state of a listed target, or nil without a limit.
func (p *Pool) coldStateOf(now time.Time, t *Target) *coldState {
	if p.cold.targets == nil {
		return nil
	}
	state := p.cold.targets[t.ID]
	if state == nil {
		state = &coldState{incarnation: t.Incarnation}
		p.cold.targets[t.ID] = state
	}
	state.seenAt = now
	return state
}

// listedCold returns the version of the target's entry.
func (t *Target) listedCold() listedCold {
	return listedCold{remaining: t.SlowStartFor, revision: t.EntryRevision}
}

// forgetCold drops the states of targets that have not been listed for long.
func (p *Pool) forgetCold(now time.Time) {
	for id, state := range p.cold.targets {
		if now.Sub(state.seenAt) > announcementMemory {
			delete(p.cold.targets, id)
		}
	}
}

// beginCold records that a target is cold for at least the remaining time.
func (p *Pool) beginCold(now time.Time, t *Target, remaining time.Duration) {
	state := t.cold
	if !state.isCold(now) {
		state.earliest = state.firstSend(now, p.coldSpacing(now), p.rng)
	}
	if until := now.Add(remaining); until.After(state.until) {
		state.until = until
	}
	state.learnedAt = now
	state.assumed = false
}

// assumeCold treats a target as cold for a time, until a health check tells whether it is. Requests
// wait for that.
func (p *Pool) assumeCold(now time.Time, t *Target, remaining time.Duration) {
	if t.cold != nil && !t.cold.isCold(now) {
		p.beginCold(now, t, remaining)
		t.cold.assumed = true
	}
}

// firstSend returns the time of the first request to a target that has just become cold. It is
// random, so that the daemons don't send theirs at once.
func (c *coldState) firstSend(now time.Time, spacing time.Duration, rng *rand.Rand) time.Time {
	first := now
	if now.Sub(c.sentAt) < coldWindow {
		first = c.sentAt.Add(coldWindow)
	}
	if jitter := min(spacing, coldWindow); jitter > 0 {
		first = first.Add(time.Duration(rng.Int64N(int64(jitter))))
	}
	return first
}

// RecordColdTime handles what the response to a health check of a target says of its cold time.
// told is set if it says anything: the responses of cold targets do. A remaining time replaces
// what was known before the check.
func (p *Pool) RecordColdTime(now time.Time, t *Target, remaining time.Duration, told bool) {
	state := t.cold
	sentSince := state != nil && t.probing && !t.probedAt.Before(state.learnedAt)
	switch {
	case state == nil || t.Incarnation < state.incarnation:
	case told && remaining > 0 && !state.isCold(now):
		p.beginCold(now, t, remaining)
	case remaining <= 0 && state.assumed && sentSince:
		// It has not been cold, so its load needn't rise gradually.
		state.until, state.assumed = time.Time{}, false
	case told && sentSince && remaining <= 0:
		state.until, state.assumed = earlier(state.until, now), false
	case told && sentSince:
		state.until, state.assumed = now.Add(remaining), false
	case told && remaining > 0:
		p.beginCold(now, t, remaining)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// isCold reports whether the target is cold.
func (c *coldState) isCold(now time.Time) bool { return c != nil && now.Before(c.until) }

// Cold reports whether the target is cold and the requests to it are limited.
func (t *Target) Cold(now time.Time) bool { return t.cold.isCold(now) }

// isStarting reports whether the target is slow because it is cold or has just started.
func (t *Target) isStarting(now time.Time) bool {
	if t.cold != nil {
		return t.cold.isCold(now)
	}
	return now.Before(t.slowStartUntil)
}

// startingSlowness returns the slowness to expect of a starting target.
func (t *Target) startingSlowness(slowness float64) float64 {
	if t.cold != nil {
		// The reports of a cold target include that it is slow.
		return max(slowness, slowStartFactor)
	}
	return slowness * slowStartFactor
}

// rampLimit lowers a limit of concurrent requests during the time after the target was cold or its
// zone evacuated.
func (t *Target) rampLimit(now time.Time, limit int) int {
	from := t.rampFrom
	if t.cold != nil && t.cold.until.After(from) {
		from = t.cold.until
	}
	if from.IsZero() || now.Before(from) || now.Sub(from) >= coldRamp {
		return limit
	}
	return max(1, int(float64(limit)*float64(now.Sub(from))/float64(coldRamp)))
}
