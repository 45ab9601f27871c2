package quota

import (
	"slices"
	"time"
)

// election acquires and renews the lease of the owner.
type election struct {
	self        string
	incarnation uint64
	bound       Bound
	random      func() float64

	// wantedAt is when another daemon or this one last asked for permits; wanted is set once one
	// has.
	wantedAt time.Duration
	wanted   bool
	// round is the current or last round of votes.
	round  round
	number uint64
	// nextRound is the earliest time of the next round.
	nextRound time.Duration
	// lease is nil unless this daemon is the owner.
	lease *lease
	// unreached counts the rounds in a row in which no majority replied.
	unreached int
	// holder is the owner that refusing voters have named.
	holder string
}

// lease is this daemon's right to grant permits.
type lease struct {
	until   time.Duration
	buckets buckets
	// voters have granted the last round. The renewals go to these, and to all daemons after a
	// round that failed.
	voters []string
}

// round is one round of votes.
type round struct {
	open    bool
	started time.Duration
	asked   []string
	granted []string
	refused int
	// vetoed is set if a voter has named another daemon that holds its vote. That daemon may be
	// the owner by a majority of fewer daemons, if it doesn't know all of them yet.
	vetoed bool
	// electorate is the largest number of daemons that this one or a voter knows.
	electorate int
	// freeSince is a time from which certainly no other lease was valid.
	freeSince time.Duration
	// left is the longest time until a refusing voter's vote ends.
	left time.Duration
}

// leads reports whether this daemon is the owner.
func (e *election) leads(now time.Duration) bool { return e.lease != nil && now < e.lease.until }

// want records that permits are wanted.
func (e *election) want(now time.Duration) { e.wantedAt, e.wanted = now, true }

// wantedWithin reports whether permits were wanted in the last period.
func (e *election) wantedWithin(now, period time.Duration) bool {
	return e.wanted && now-e.wantedAt < period
}

// begin starts a round. It returns the daemons to ask for their votes, this one not included.
func (e *election) begin(now time.Duration, members []string) []string {
	e.number++
	e.holder = ""
	voters := members
	if e.lease != nil && e.round.succeeded() {
		voters = renewalVoters(e.lease.voters, max(len(members), e.round.electorate))
	}
	e.round = round{open: true, started: now, asked: voters, electorate: len(members)}
	e.nextRound = now + renewInterval
	return slices.DeleteFunc(slices.Clone(voters), func(v string) bool { return v == e.self })
}

// renewalVoters returns the voters that are asked for a renewal: enough for a majority, with some
// to spare. Asking all would cost nearly twice as many messages.
func renewalVoters(granted []string, electorate int) []string {
	needed := electorate/2 + 1
	return granted[:min(len(granted), needed+electorate/10+1)]
}

// request returns the request for votes of the current round.
func (e *election) request() VoteRequest {
	return VoteRequest{Candidate: e.self, Incarnation: e.incarnation, Round: e.number}
}

// count counts the reply of a voter. It returns true if this daemon has become the owner by it.
func (e *election) count(now time.Duration, number uint64, from string, reply VoteReply) bool {
	if number != e.number || !e.round.open {
		return false
	}
	r := &e.round
	r.electorate = max(r.electorate, reply.Known)
	if !reply.Granted {
		r.refused++
		r.vetoed = r.vetoed || reply.Holder != ""
		if left := time.Duration(reply.LeftMillis) * time.Millisecond; left > r.left {
			r.left = left
			e.holder = reply.Holder
		}
		return false
	}
	if slices.Contains(r.granted, from) {
		return false
	}
	r.granted = append(r.granted, from)
	r.freeSince = max(r.freeSince, now-time.Duration(reply.FreeMillis)*time.Millisecond)
	return e.conclude(now)
}

// conclude ends a round that has succeeded. A new owner waits for all replies, or settleTime, for a
// veto. It returns true if this daemon has become the owner by it.
func (e *election) conclude(now time.Duration) bool {
	r := &e.round
	if !r.open || !r.succeeded() {
		return false
	}
	if e.lease == nil && (r.vetoed || !r.everyoneReplied() && now < r.started+settleTime) {
		return false
	}
	return e.succeed(now)
}

// reached reports whether as many daemons replied as can grant the lease.
func (r *round) reached() bool { return 2*(len(r.granted)+r.refused) > r.electorate }

// everyoneReplied reports whether no reply is missing.
func (r *round) everyoneReplied() bool { return len(r.granted)+r.refused >= len(r.asked) }

// succeeded reports whether more than half of the daemons have granted their votes.
func (r *round) succeeded() bool { return 2*len(r.granted) > r.electorate }

// succeed acquires or extends the lease.
func (e *election) succeed(now time.Duration) bool {
	until := e.round.started + leaseDuration - leaseMargin
	if until <= now {
		return false
	}
	if e.lease != nil {
		e.lease.until = max(e.lease.until, until)
		e.lease.voters = e.round.granted
		return false
	}
	e.lease = &lease{
		until:   until,
		voters:  e.round.granted,
		buckets: buckets{bound: e.bound, freeSince: e.round.freeSince, byWorkspace: map[string]*bucket{}},
	}
	return true
}

// expire ends a lease that is over. It returns true if there was one.
func (e *election) expire(now time.Duration) bool {
	if e.lease == nil || now < e.lease.until {
		return false
	}
	e.lease = nil
	return true
}

// failed reports whether the current round can't give this daemon the lease anymore.
func (e *election) failed(now time.Duration) bool {
	if !e.round.open || e.lease != nil {
		return false
	}
	return e.round.vetoed || e.round.everyoneReplied() || now >= e.round.started+roundTimeout
}

// fail closes a failed round and chooses the time of the next one.
func (e *election) fail(now time.Duration) {
	e.round.open = false
	pause := max(e.round.left, minBackoff)
	if pause > maxLeft {
		pause = maxBackoff
	}
	if e.round.reached() {
		e.unreached = 0
	} else {
		pause = min(maxBackoff<<e.unreached, maxUnreachedBackoff)
		e.unreached = min(e.unreached+1, maxUnreached)
	}
	e.nextRound = now + pause + time.Duration(e.random()*float64(backoffSpread))
}

// release returns the message that gives back all votes.
func (e *election) release() Release {
	return Release{Candidate: e.self, Incarnation: e.incarnation, Round: e.number}
}
