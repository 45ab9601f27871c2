package quota

import "time"

// locator finds the daemon to ask: the owner, or the candidate that should become it.
type locator struct {
	// owner is the daemon that was found or named last, or "".
	owner string
	// suspectedAt is when daemons last didn't answer.
	suspectedAt map[string]time.Duration
	// candidate is the daemon that tries to become the owner, since candidateSince.
	candidate      string
	candidateSince time.Duration
}

func newLocator() locator { return locator{suspectedAt: map[string]time.Duration{}} }

// choose returns the daemon to ask: the owner, else the first member that isn't suspected. If all
// are, it returns the one whose suspicion is the oldest.
func (l *locator) choose(now time.Duration, members []string) string {
	if l.owner != "" {
		return l.owner
	}
	oldest := members[0]
	for _, member := range members {
		if !l.isSuspected(now, member, suspectedFor) {
			return member
		}
		if l.suspectedAt[member] < l.suspectedAt[oldest] {
			oldest = member
		}
	}
	return oldest
}

func (l *locator) isSuspected(now time.Duration, address string, period time.Duration) bool {
	at, suspected := l.suspectedAt[address]
	return suspected && now-at < period
}

// found records that a daemon is the owner.
func (l *locator) found(address string) {
	l.owner, l.candidate = address, ""
	delete(l.suspectedAt, address)
}

// suspect records that a daemon doesn't answer or can't become the owner.
func (l *locator) suspect(now time.Duration, address string) {
	l.suspectedAt[address] = now
	if l.owner == address {
		l.owner = ""
	}
	if l.candidate == address {
		l.candidate = ""
	}
}

// redirect handles the reply of a daemon that isn't the owner. It returns true if another daemon
// can be asked at once.
func (l *locator) redirect(now time.Duration, from string, reply AskReply) bool {
	if l.owner == from {
		l.owner = ""
	}
	if reply.Holder != "" && reply.Holder != from && !l.isSuspected(now, reply.Holder, hintSuspectedFor) {
		l.owner = reply.Holder
		return true
	}
	if reply.Unable {
		l.suspect(now, from)
		return true
	}
	if l.candidate != from {
		l.candidate, l.candidateSince = from, now
	}
	if now-l.candidateSince >= candidateLimit {
		l.suspect(now, from)
	}
	return false
}
