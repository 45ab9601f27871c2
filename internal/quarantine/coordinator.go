package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

// expireInterval is the interval at which Run expires retry turns and suspects.
const expireInterval = 100 * time.Millisecond

// settleTime is how much later than this daemon another one may notice the death of a target
// that ran requests of both.
const settleTime = 150 * time.Millisecond

// Peers sends messages to the other daemons.
type Peers interface {
	// Announce announces a suspect and calls done once, when the other daemons have answered
	// or after a timeout.
	Announce(suspect Suspect, done func(Answers))
	// Lift announces that content isn't suspected anymore. It doesn't block.
	Lift(content Content)
}

// Coordinator serializes access to a Tracker, announces its changes to other daemons and
// resumes requests. It is safe for concurrent use.
type Coordinator struct {
	peers Peers
	// now is the clock, which tests replace.
	now func() time.Time
	// suspectCount lets HasSuspects skip the lock.
	suspectCount atomic.Int64

	mu      sync.Mutex
	tracker *Tracker
	claims  claims
}

// NewCoordinator returns a Coordinator with an empty tracker.
func NewCoordinator(peers Peers) *Coordinator {
	return &Coordinator{tracker: NewTracker(), claims: newClaims(), peers: peers, now: time.Now}
}

// HasSuspects reports whether any content is suspected or undecided. It takes no lock, so that it can be
// called for every request.
func (c *Coordinator) HasSuspects() bool { return c.suspectCount.Load() > 0 }

// Quarantined reports whether content must not be run.
func (c *Coordinator) Quarantined(now time.Time, content Content) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Quarantined(now, content)
}

// QueueRetry records that a request ended by the death of its target and queues its retry.
// FailedRequest.Resume is called once the other daemons have been informed and it is the turn
// of the request.
func (c *Coordinator) QueueRetry(now time.Time, failed *FailedRequest) {
	var suspect Suspect
	decisions := c.update(func() []RetryDecision {
		recorded, decisions := c.tracker.QueueRetry(now, failed)
		suspect = recorded
		return decisions
	})
	c.peers.Announce(suspect, func(Answers) {
		c.announceQuarantine(suspect)
		c.settle(decisions)
	})
}

// settle rechecks decisions after the other daemons have answered, and resumes the requests. A
// request whose content shares some of its deaths with another suspect is forbidden only after
// settleTime: the daemon that ran the other one may not have noticed the same death yet.
func (c *Coordinator) settle(decisions []RetryDecision) {
	var settled, open []RetryDecision
	for _, decision := range c.recheck(decisions) {
		if !decision.Allowed && c.contested(decision.FailedRequest.Content) {
			open = append(open, decision)
			continue
		}
		settled = append(settled, decision)
	}
	if len(open) > 0 {
		time.AfterFunc(settleTime, func() { resume(c.recheck(open)) })
	}
	resume(settled)
}

// contested reports whether another suspect may turn out to explain the deaths of content.
func (c *Coordinator) contested(content Content) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.contested(content)
}

// RecordDeath is QueueRetry without the retry queue, for callers that retry the requests of a
// dead target at different targets. Now is when the target closed the connection. A retry is
// allowed by a claim, see Claim, which the request keeps if it holds it already.
func (c *Coordinator) RecordDeath(now time.Time, failed *FailedRequest) {
	var suspect, byCaller Suspect
	claimed := false
	toldAt := c.now()
	c.update(func() []RetryDecision {
		suspect = c.tracker.RecordDeath(now, failed)
		if failed.ByCaller != 0 {
			byCaller = c.tracker.RecordDeathByCaller(now, failed)
		}
		claimed = failed.HoldsClaim || c.claims.acquire(toldAt, failed.Content)
		return nil
	})
	if failed.ByCaller != 0 {
		byCaller.ToldAt = toldAt
		// One quarantine is enough to be stored.
		byCaller.Quarantined = byCaller.Quarantined && !suspect.Quarantined
		c.peers.Announce(byCaller, func(Answers) {})
	}
	suspect.ToldAt = toldAt
	c.peers.Announce(suspect, func(answers Answers) {
		c.announceQuarantine(suspect)
		failed.Resume(claimed && c.confirm(failed.identity(), answers))
	})
}

// announceQuarantine announces a suspect once more if the answers to its announcement have quarantined
// it: daemons store only what is announced as quarantined, and none of them may have known all deaths.
func (c *Coordinator) announceQuarantine(announced Suspect) {
	if announced.Quarantined {
		return
	}
	var suspect Suspect
	c.update(func() []RetryDecision {
		suspect = c.tracker.describe(c.now(), Identity{Content: announced.Content})
		return nil
	})
	if suspect.Quarantined {
		c.peers.Announce(suspect, func(Answers) {})
	}
}

// recheck decides again, by the deaths that other daemons have told since.
func (c *Coordinator) recheck(decisions []RetryDecision) []RetryDecision {
	return c.update(func() []RetryDecision {
		now := c.now()
		for i, decision := range decisions {
			decisions[i].Allowed = !c.tracker.Quarantined(now, decision.FailedRequest.Content)
		}
		return decisions
	})
}

// RecordEnd records the end of a request whose content may be suspected. Answered is true if
// a target answered it.
func (c *Coordinator) RecordEnd(now time.Time, content Content, answered bool) {
	cleared := false
	decisions := c.update(func() []RetryDecision {
		lifted, decisions := c.tracker.RecordEnd(now, content, answered)
		cleared = lifted
		return decisions
	})
	if cleared {
		c.peers.Lift(content)
	}
	resume(decisions)
}

// Merge merges suspects received from another daemon.
func (c *Coordinator) Merge(now time.Time, suspects []Suspect) {
	resume(c.update(func() []RetryDecision { return c.tracker.Merge(now, suspects) }))
}

// Lookup returns this daemon's suspects that have the same content as the given ones or were at
// one of their targets when it died, and whether one of the given contents is claimed or
// undecided here.
func (c *Coordinator) Lookup(now time.Time, suspects []Suspect) (known []Suspect, claimed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, suspect := range suspects {
		claimed = claimed || c.claims.blocks(now, suspect.shared())
	}
	return c.tracker.Lookup(now, suspects), claimed
}

// Lift deletes the suspect with the given content. It returns false if this daemon has
// none. It doesn't inform other daemons.
func (c *Coordinator) Lift(content Content) bool {
	known := false
	c.update(func() []RetryDecision {
		known = c.tracker.Lift(c.now(), content)
		return nil
	})
	return known
}

// Suspects returns all suspects, the quarantined ones first.
func (c *Coordinator) Suspects(now time.Time) []Suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Suspects(now)
}

// Run expires retry turns and suspects until stop is closed.
func (c *Coordinator) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			resume(c.update(func() []RetryDecision { return c.tracker.Expire(now) }))
		}
	}
}

// update runs apply with the tracker locked and refreshes suspectCount.
func (c *Coordinator) update(apply func() []RetryDecision) []RetryDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	decisions := apply()
	c.suspectCount.Store(int64(len(c.tracker.suspects) + c.claims.size()))
	return decisions
}

// resume calls FailedRequest.Resume for each decided retry. The tracker must not be locked.
func resume(decisions []RetryDecision) {
	for _, decision := range decisions {
		decision.FailedRequest.Resume(decision.Allowed)
	}
}
