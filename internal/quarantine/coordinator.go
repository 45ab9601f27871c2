package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

// expireInterval is the interval at which Run expires retry turns and suspects.
const expireInterval = 100 * time.Millisecond

// Peers sends messages to the other daemons.
type Peers interface {
	// Announce announces a suspect and calls done once, when the other daemons have answered
	// or after a timeout.
	Announce(suspect Suspect, done func())
	// Lift announces that content isn't suspected anymore. It doesn't block.
	Lift(content Content)
}

// Coordinator serializes access to a Tracker, announces its changes to other daemons and
// resumes requests. It is safe for concurrent use.
type Coordinator struct {
	peers Peers
	// suspectCount lets Active skip the lock.
	suspectCount atomic.Int64

	mu      sync.Mutex
	tracker *Tracker
}

// NewCoordinator returns a Keeper with an empty tracker.
func NewCoordinator(peers Peers) *Coordinator {
	return &Coordinator{tracker: NewTracker(), peers: peers}
}

// HasSuspects reports whether any content is suspected. It takes no lock, so that it can be
// called for every request.
func (k *Coordinator) HasSuspects() bool { return k.suspectCount.Load() > 0 }

// Quarantined reports whether content must not be run.
func (k *Coordinator) Quarantined(now time.Time, content Content) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Quarantined(now, content)
}

// QueueRetry records that a request ended by the death of its target and queues its retry.
// Run.Resume is called once the other daemons have been informed and it is the turn of
// the request.
func (k *Coordinator) QueueRetry(now time.Time, run *FailedRequest) {
	var suspect Suspect
	decisions := k.update(func() []RetryDecision {
		recorded, decisions := k.tracker.QueueRetry(now, run)
		suspect = recorded
		return decisions
	})
	k.peers.Announce(suspect, func() { resume(k.recheck(decisions)) })
}

// RecordDeath is Died without the retry queue, for callers that retry the requests of a dead
// target at different targets.
func (k *Coordinator) RecordDeath(now time.Time, run *FailedRequest) {
	var suspect Suspect
	k.update(func() []RetryDecision {
		suspect = k.tracker.RecordDeath(now, run)
		return nil
	})
	k.peers.Announce(suspect, func() { resume(k.recheck([]RetryDecision{{FailedRequest: run, Allowed: true}})) })
}

// recheck forbids the retries whose content was quarantined after they were allowed.
func (k *Coordinator) recheck(decisions []RetryDecision) []RetryDecision {
	return k.update(func() []RetryDecision {
		now := time.Now()
		for i, decision := range decisions {
			decisions[i].Allowed = decision.Allowed && !k.tracker.Quarantined(now, decision.FailedRequest.Content)
		}
		return decisions
	})
}

// RecordEnd records the end of a request whose content may be suspected. Answered is true if
// a target answered it.
func (k *Coordinator) RecordEnd(now time.Time, content Content, answered bool) {
	cleared := false
	decisions := k.update(func() []RetryDecision {
		lifted, decisions := k.tracker.RecordEnd(now, content, answered)
		cleared = lifted
		return decisions
	})
	if cleared {
		k.peers.Lift(content)
	}
	resume(decisions)
}

// Merge merges suspects received from another daemon.
func (k *Coordinator) Merge(now time.Time, suspects []Suspect) {
	resume(k.update(func() []RetryDecision { return k.tracker.Merge(now, suspects) }))
}

// Lookup returns this daemon's suspects that have the same content as the given ones.
func (k *Coordinator) Lookup(now time.Time, suspects []Suspect) []Suspect {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Lookup(now, suspects)
}

// Lift deletes the suspect with the given content. It returns false if this daemon has
// none. It doesn't inform other daemons.
func (k *Coordinator) Lift(content Content) bool {
	known := false
	k.update(func() []RetryDecision {
		known = k.tracker.Lift(content)
		return nil
	})
	return known
}

// Suspects returns all suspects, the quarantined ones first.
func (k *Coordinator) Suspects(now time.Time) []Suspect {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Suspects(now)
}

// Run expires retry turns and suspects until stop is closed.
func (k *Coordinator) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			resume(k.update(func() []RetryDecision { return k.tracker.Expire(now) }))
		}
	}
}

// update runs apply with the tracker locked and refreshes suspectCount.
func (k *Coordinator) update(apply func() []RetryDecision) []RetryDecision {
	k.mu.Lock()
	defer k.mu.Unlock()
	decisions := apply()
	k.suspectCount.Store(int64(len(k.tracker.suspects)))
	return decisions
}

// resume calls Run.Resume for each decided retry. The tracker must not be locked.
func resume(decisions []RetryDecision) {
	for _, decision := range decisions {
		decision.FailedRequest.Resume(decision.Allowed)
	}
}
