package quota

import "time"

// voter gives the daemon's vote to one candidate at a time, for leaseDuration.
type voter struct {
	// quietUntil is the time until which a daemon that has started doesn't vote: it doesn't know
	// whom its earlier incarnation has voted for.
	quietUntil time.Duration
	holder     string
	// incarnation and round are those of the holder's last request.
	incarnation, round uint64
	// until is when the last vote ends.
	until time.Duration
}

func newVoter(now time.Duration) voter {
	return voter{quietUntil: now + leaseDuration, until: now + leaseDuration}
}

// handle decides on a request for the vote. The same address with another incarnation is a
// daemon that has restarted, so its earlier lease isn't in use.
func (v *voter) handle(now time.Duration, request VoteRequest, known int) VoteReply {
	if now < v.quietUntil {
		return VoteReply{LeftMillis: millisUp(v.quietUntil - now), Known: known}
	}
	if v.heldByOther(now, request.Candidate) {
		return VoteReply{Holder: v.holder, LeftMillis: millisUp(v.until - now), Known: known}
	}
	if v.isLate(request.Candidate, request.Incarnation, request.Round) {
		return VoteReply{Known: known}
	}
	free := max(now-v.until, 0)
	v.holder, v.incarnation, v.round = request.Candidate, request.Incarnation, request.Round
	v.until = now + leaseDuration
	return VoteReply{Granted: true, FreeMillis: free.Milliseconds(), Known: known}
}

// heldByOther reports whether the vote belongs to another daemon.
func (v *voter) heldByOther(now time.Duration, candidate string) bool {
	return v.holder != "" && v.holder != candidate && now < v.until
}

// isLate reports whether a message belongs to a round before the last one.
func (v *voter) isLate(candidate string, incarnation, round uint64) bool {
	return v.holder == candidate && v.incarnation == incarnation && round < v.round
}

// release ends the vote for a candidate. A later round of the candidate keeps it, and requests of
// the released rounds that arrive afterwards are late.
func (v *voter) release(now time.Duration, release Release) {
	if v.holder != release.Candidate || v.incarnation != release.Incarnation || release.Round < v.round {
		return
	}
	v.round = release.Round + 1
	v.until = min(v.until, now)
}

// millisUp converts a duration to milliseconds, rounded up.
func millisUp(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// endOfOther returns when the vote for another daemon ends, or now without one.
func (v *voter) endOfOther(now time.Duration, candidate string) time.Duration {
	if v.heldByOther(now, candidate) {
		return v.until
	}
	return now
}
