package quarantine

import "time"

// Standing says whether a request may be sent, judged by its content.
type Standing int

const (
	// Unsuspected content may be sent.
	Unsuspected Standing = iota
	// Suspected content may be sent with a claim only.
	Suspected
	// Undecided content must not be sent now: a target that may have died is being checked,
	// or another request with the content holds the claim.
	Undecided
	// Quarantined content must not be sent.
	Quarantined
)

// Answers sum up what the other daemons answered to an announcement.
type Answers struct {
	// Complete is set if all daemons that serve callers have answered. Otherwise deaths that
	// this daemon doesn't know may have occurred.
	Complete bool
	// Claimed is set if another daemon holds a claim for the content, or checks a target for
	// it.
	Claimed bool
}

// claims holds the contents that must not be sent by other requests at present. It is not
// safe for concurrent use.
type claims struct {
	// held are the contents of which one request holds the claim, with the time since which it
	// does.
	held map[Content]time.Time
	// checks counts the targets that are being checked, by the content that they ran.
	checks map[Content]int
}

func newClaims() claims { return claims{held: map[Content]time.Time{}, checks: map[Content]int{}} }

// claimTimeout is how long a claim lasts at most. No request is in progress for longer.
const claimTimeout = time.Minute

// isHeld reports whether a request holds the claim of a content.
func (c *claims) isHeld(now time.Time, content Content) bool {
	since, held := c.held[content]
	return held && now.Sub(since) < claimTimeout
}

// acquire claims a content and returns false if it is claimed already.
func (c *claims) acquire(now time.Time, content Content) bool {
	if c.isHeld(now, content) {
		return false
	}
	c.held[content] = now
	return true
}

// endCheck records the end of a check.
func (c *claims) endCheck(content Content) {
	c.checks[content]--
	if c.checks[content] <= 0 {
		delete(c.checks, content)
	}
}

// isChecked reports whether a target that ran a content is being checked.
func (c *claims) isChecked(content Content) bool { return c.checks[content] > 0 }

// blocks reports whether a request that holds no claim must not be sent.
func (c *claims) blocks(now time.Time, content Content) bool {
	return c.isHeld(now, content) || c.isChecked(content)
}

// size returns the number of contents with a claim or a check.
func (c *claims) size() int { return len(c.held) + len(c.checks) }

// BeginCheck records that a target may have died while it ran a request, which a health check
// is about to tell. Until EndCheck, requests with the same content are Undecided on this
// daemon, and other daemons get no claim for it.
func (c *Coordinator) BeginCheck(content Content) {
	c.update(func() []RetryDecision {
		c.claims.checks[content]++
		return nil
	})
}

// EndCheck ends a check that BeginCheck began.
func (c *Coordinator) EndCheck(content Content) {
	c.update(func() []RetryDecision {
		c.claims.endCheck(content)
		return nil
	})
}

// Standing returns whether a request may be sent.
func (c *Coordinator) Standing(now time.Time, id Identity) Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.tracker.quarantinedEither(now, id):
		return Quarantined
	case c.claims.blocks(now, id.Content):
		return Undecided
	case c.tracker.Suspected(now, id.Content), c.tracker.Suspected(now, id.ByCaller):
		return Suspected
	}
	return Unsuspected
}

// Claim asks the other daemons whether a suspected request may be sent. It calls resume once,
// with true if its number of deaths is known to be below the limit and no other request with
// the content is being sent by a claim. The caller must then call Release with the content when
// the request has ended at its targets.
func (c *Coordinator) Claim(now time.Time, id Identity, resume func(granted bool)) {
	var suspect Suspect
	claimed := false
	c.update(func() []RetryDecision {
		suspect = c.tracker.describe(now, id)
		claimed = len(suspect.Deaths) > 0 && !c.claims.isChecked(id.Content) && c.claims.acquire(now, id.Content)
		return nil
	})
	if !claimed {
		resume(false)
		return
	}
	c.peers.Announce(suspect, func(answers Answers) { resume(c.confirm(id, answers)) })
}

// Release ends a claim.
func (c *Coordinator) Release(content Content) {
	c.update(func() []RetryDecision {
		delete(c.claims.held, content)
		return nil
	})
}

// confirm decides whether the holder of a claim may send, by the answers of the other daemons.
// It releases the claim if not.
func (c *Coordinator) confirm(id Identity, answers Answers) bool {
	granted := false
	c.update(func() []RetryDecision {
		granted = answers.Complete && !answers.Claimed && !c.tracker.quarantinedEither(c.now(), id)
		if !granted {
			delete(c.claims.held, id.Content)
		}
		return nil
	})
	return granted
}

// Holder is the state of one request's claim, which several attempts of the request may change.
// The zero value holds none. It is not safe for concurrent use.
type Holder struct{ holds bool }

// Holds reports whether the request holds the claim.
func (h *Holder) Holds() bool { return h.holds }

// Granted records the result of Coordinator.Claim.
func (h *Holder) Granted(granted bool) { h.holds = granted }

// Resumed records whether a failed attempt may be retried. An attempt that was refused a claim
// doesn't end that of another attempt.
func (h *Holder) Resumed(failed *FailedRequest, allowed bool) {
	if allowed || failed.HoldsClaim {
		h.holds = allowed
	}
}

// TakeRelease returns true once if the claim is held, which the caller must then release.
func (h *Holder) TakeRelease() bool {
	held := h.holds
	h.holds = false
	return held
}
