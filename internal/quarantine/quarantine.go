// Package quarantine stops requests that crash the targets which run them.
//
// Tracker counts, per request content, the targets that died while they ran it. When
// the count reaches a small limit, the content is quarantined: it is not run until the
// quarantine expires or an operator lifts it. Daemons inform one another of deaths and
// lifts, so the limit holds for the whole system.
//
// All requests that were at a target when it died become suspects. Their retries run
// one content at a time, so that the next death identifies the cause. A suspect that a
// target answers is cleared.
//
// Tracker is a state machine without goroutines, clock or I/O: events and the current
// time are passed in.
package quarantine

import (
	"sort"
	"time"
)

const (
	// DeathLimit is the number of target deaths at which content is quarantined, if no other
	// suspect was present at all of them. Otherwise one more death is needed to tell the
	// suspects apart.
	DeathLimit = 2
	// Expiry is how long a death counts and a quarantine lasts.
	Expiry = 10 * time.Minute

	// queueWindow is the time after the first failed request at a target within which
	// further failed requests there join the same retry queue.
	queueWindow = time.Second
	// turnTimeout bounds the time for which the retry of one suspect holds up the others.
	turnTimeout = 2 * time.Second
	// maxSuspects bounds the suspects that a tracker stores.
	maxSuspects = 4096
)

// Content is a fingerprint that identifies the content of a request.
type Content uint64

// FailedRequest is a request whose target died while running it.
type FailedRequest struct {
	Content Content
	// ByCaller is that of Identity.
	ByCaller Content
	Service  string
	Type     string
	// Target is the name of the target that died.
	Target string
	// SentAt is when the request was sent to the target.
	SentAt time.Time
	// HoldsClaim is set if the request was sent by a claim, see Coordinator.Claim.
	HoldsClaim bool
	// Resume is supplied by the caller of the package. It is called once, with true if
	// the request may be retried.
	Resume func(allowed bool)
}

// Tracker holds the suspects that one daemon knows. It is not safe for concurrent use.
type Tracker struct {
	suspects map[Content]*Suspect
	queues   []*retryQueue
	// lifted is when contents were lifted, at least those of the last liftMemory.
	lifted map[Content]time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[Content]*Suspect{}, lifted: map[Content]time.Time{}}
}

// Quarantined reports whether content must not be run.
func (t *Tracker) Quarantined(now time.Time, content Content) bool {
	suspect := t.find(now, content)
	return suspect != nil && t.causedDeaths(suspect)
}

// causedDeaths reports whether the suspect has reached the limit of deaths and no other
// suspect explains all of them.
func (t *Tracker) causedDeaths(suspect *Suspect) bool {
	deaths := t.trueDeaths(suspect)
	count := independentDeaths(deaths)
	if count != DeathLimit {
		return count > DeathLimit
	}
	for _, other := range t.suspects {
		if !other.isRelated(suspect) && other.presentAtAll(deaths) {
			return false
		}
	}
	return true
}

// trueDeaths returns the deaths of a suspect without those at targets that were dead already when
// the request was sent.
func (t *Tracker) trueDeaths(suspect *Suspect) []Death {
	if len(suspect.Deaths) < DeathLimit {
		return suspect.Deaths
	}
	var deaths []Death
	for _, death := range suspect.Deaths {
		if !t.sentToDead(death) {
			deaths = append(deaths, death)
		}
	}
	return deaths
}

// sentToDead reports whether the request of a death was sent to a target that was dead already.
func (t *Tracker) sentToDead(death Death) bool {
	for _, other := range t.suspects {
		for _, earlier := range other.Deaths {
			if death.sentToDead(earlier) {
				return true
			}
		}
	}
	return false
}

// Suspected reports whether content was at a target that died.
func (t *Tracker) Suspected(now time.Time, content Content) bool { return t.find(now, content) != nil }

// find returns the suspect with the given content, or nil. It deletes an expired one.
func (t *Tracker) find(now time.Time, content Content) *Suspect {
	suspect := t.suspects[content]
	if suspect != nil && suspect.Expired(now) {
		delete(t.suspects, content)
		return nil
	}
	return suspect
}

// RecordDeath records that a request ended by the death of its target and returns the
// suspect to announce to other daemons. It does not queue a retry: callers use it when
// they retry the requests of a dead target at different targets.
func (t *Tracker) RecordDeath(now time.Time, failed *FailedRequest) Suspect {
	return t.record(now, Suspect{Content: failed.Content, Service: failed.Service, Type: failed.Type}, failed)
}

// RecordDeathByCaller is RecordDeath for the content together with its caller.
func (t *Tracker) RecordDeathByCaller(now time.Time, failed *FailedRequest) Suspect {
	return t.record(now, Suspect{Content: failed.ByCaller, Of: failed.Content, Service: failed.Service, Type: failed.Type}, failed)
}

func (t *Tracker) record(now time.Time, described Suspect, failed *FailedRequest) Suspect {
	delete(t.lifted, described.Content)
	suspect := t.findOrAdd(now, described)
	suspect.add(Death{Target: failed.Target, SentAt: failed.SentAt, At: now})
	return t.copy(now, suspect)
}

// findOrAdd returns the suspect with the content of the described one, which it adds without deaths
// if there is none.
func (t *Tracker) findOrAdd(now time.Time, described Suspect) *Suspect {
	suspect := t.find(now, described.Content)
	if suspect == nil {
		t.makeRoom()
		suspect = &Suspect{Content: described.Content, Of: described.Of, Service: described.Service, Type: described.Type}
		t.suspects[described.Content] = suspect
	}
	return suspect
}

// makeRoom deletes the suspect with the least recent last death if the tracker is full.
func (t *Tracker) makeRoom() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest *Suspect
	for _, suspect := range t.suspects {
		if oldest == nil || suspect.lastDeath().Before(oldest.lastDeath()) {
			oldest = suspect
		}
	}
	delete(t.suspects, oldest.Content)
}

// copy returns a deep copy of a suspect with Quarantined and ToldAt set.
func (t *Tracker) copy(now time.Time, s *Suspect) Suspect {
	copied := *s
	copied.Deaths = append([]Death(nil), s.Deaths...)
	copied.Quarantined = t.causedDeaths(s)
	copied.ToldAt = now
	return copied
}

// Merge adds the deaths of suspects received from another daemon and returns the retries
// that they decide.
func (t *Tracker) Merge(now time.Time, suspects []Suspect) []RetryDecision {
	var decisions []RetryDecision
	for _, received := range suspects {
		received = received.adjusted(now)
		if len(received.Deaths) == 0 || received.Expired(now) || t.liftedLately(now, received.Content) {
			continue
		}
		suspect := t.findOrAdd(now, received)
		before := t.causedDeaths(suspect)
		for _, death := range received.Deaths {
			suspect.add(death)
		}
		if t.causedDeaths(suspect) && !before {
			decisions = append(decisions, t.releaseQueuesOf(received.Content)...)
		}
	}
	return decisions
}

// Lookup returns this tracker's suspects that have the same content as the given ones, or that
// were at a target when it died under one of the given ones and so may explain its death.
func (t *Tracker) Lookup(now time.Time, suspects []Suspect) []Suspect {
	var known []Suspect
	for content := range t.suspects {
		suspect := t.find(now, content)
		if suspect != nil && concerns(suspect, suspects) {
			known = append(known, t.copy(now, suspect))
		}
	}
	return known
}

// concerns reports whether a suspect is related to given ones or has one of their deaths.
func concerns(suspect *Suspect, given []Suspect) bool {
	for i := range given {
		if suspect.isRelated(&given[i]) || suspect.sharesDeath(&given[i]) {
			return true
		}
	}
	return false
}

// contested reports whether content has reached the limit of deaths, while another suspect was
// at some of them.
func (t *Tracker) contested(content Content) bool {
	suspect := t.suspects[content]
	if suspect == nil || independentDeaths(t.trueDeaths(suspect)) != DeathLimit {
		return false
	}
	for _, other := range t.suspects {
		if !other.isRelated(suspect) && other.sharesDeath(suspect) {
			return true
		}
	}
	return false
}

// Expire ends retry turns that have timed out and deletes expired suspects.
func (t *Tracker) Expire(now time.Time) []RetryDecision {
	var decisions []RetryDecision
	var left []*retryQueue
	for _, queue := range t.queues {
		if queue.inTurn && !now.Before(queue.turnEnd) {
			queue.inTurn = false
			decisions = append(decisions, t.nextTurn(now, queue)...)
		}
		if queue.inTurn || now.Sub(queue.createdAt) < turnTimeout {
			left = append(left, queue)
		}
	}
	t.queues = left
	for content := range t.suspects {
		t.find(now, content)
	}
	return decisions
}

// Suspects returns all suspects, the quarantined ones first.
func (t *Tracker) Suspects(now time.Time) []Suspect {
	var suspects []Suspect
	for content := range t.suspects {
		if suspect := t.find(now, content); suspect != nil {
			suspects = append(suspects, t.copy(now, suspect))
		}
	}
	sort.Slice(suspects, func(i, j int) bool {
		if suspects[i].Quarantined != suspects[j].Quarantined {
			return suspects[i].Quarantined
		}
		return suspects[i].Content < suspects[j].Content
	})
	return suspects
}
