package quota

import "time"

// HandleAsk answers a question of another daemon for permits. A daemon that isn't the owner names
// the owner, or tries to become it.
func (n *Node) HandleAsk(now time.Duration, ask Ask) AskReply {
	n.Tick(now)
	return n.answer(now, ask)
}

// answer grants permits if this daemon is the owner.
func (n *Node) answer(now time.Duration, ask Ask) AskReply {
	n.election.want(now)
	if n.election.expire(now) {
		n.emit(LostOwnership)
	}
	if !n.election.leads(now) {
		n.runElection(now)
	}
	if !n.election.leads(now) {
		return AskReply{Holder: n.knownHolder(now), Unable: !n.mayLead || n.resigned}
	}
	reply := AskReply{Owner: true, Granted: make([]int, len(ask.Items))}
	for i, item := range ask.Items {
		reply.Granted[i] = n.election.lease.buckets.grant(now, item)
		n.counts.Granted += uint64(reply.Granted[i])
	}
	return reply
}

// knownHolder returns the address of the owner if this daemon knows another one.
func (n *Node) knownHolder(now time.Duration) string {
	if n.voter.heldByOther(now, n.options.Self) {
		return n.voter.holder
	}
	return n.election.holder
}

// HandleVote answers a candidate.
func (n *Node) HandleVote(now time.Duration, request VoteRequest) VoteReply {
	return n.voter.handle(now, request, len(n.members))
}

// HandleRelease takes back this daemon's vote.
func (n *Node) HandleRelease(now time.Duration, release Release) { n.voter.release(now, release) }

// VoteReplied counts the reply to a request for a vote of a round. A voter that can't be reached
// has no reply. A lease that has ended meanwhile ends first: another daemon may have granted permits
// since then, so it must not be extended.
func (n *Node) VoteReplied(now time.Duration, number uint64, from string, reply VoteReply) {
	n.Tick(now)
	n.countVote(now, number, from, reply)
	n.endFailedRound(now)
}

func (n *Node) countVote(now time.Duration, number uint64, from string, reply VoteReply) {
	if n.election.count(now, number, from, reply) {
		n.becameOwner()
	}
}

func (n *Node) becameOwner() {
	n.emit(BecameOwner)
	n.election.holder = ""
}

// runElection starts a round of votes if permits are wanted, nobody else is known to be the owner
// and no round is under way.
func (n *Node) runElection(now time.Duration) {
	e := &n.election
	switch {
	case !n.mayLead || n.resigned || now < e.nextRound:
		return
	case e.lease == nil && e.round.open:
		return
	case e.lease == nil && n.voter.heldByOther(now, n.options.Self):
		return
	case e.lease == nil && !e.wantedWithin(now, candidateFor):
		return
	}
	if e.lease != nil {
		e.lease.buckets.prune(now)
	}
	for _, to := range e.begin(now, n.members) {
		request := e.request()
		n.send(Message{To: to, Vote: &request})
	}
	n.countVote(now, e.number, n.options.Self, n.HandleVote(now, e.request()))
	n.endFailedRound(now)
}

// endFailedRound gives back the votes of a round that has failed.
func (n *Node) endFailedRound(now time.Duration) {
	if !n.election.failed(now) {
		return
	}
	n.releaseVotes(now, n.election.round.asked)
	n.election.fail(now)
}

// releaseVotes gives back votes. Voters whose reply is still under way get the message, too.
func (n *Node) releaseVotes(now time.Duration, voters []string) {
	release := n.election.release()
	n.voter.release(now, release)
	for _, to := range voters {
		if to != n.options.Self {
			n.send(Message{To: to, Release: &release})
		}
	}
}

// tickOwner ends a lease that is over or unused, and renews it otherwise.
func (n *Node) tickOwner(now time.Duration) {
	if n.election.expire(now) {
		n.emit(LostOwnership)
	}
	if n.election.lease == nil && n.election.conclude(now) {
		n.becameOwner()
	}
	n.endFailedRound(now)
	if n.election.lease != nil && !n.election.wantedWithin(now, ownerIdle) {
		n.giveUpLease(now)
	}
	n.runElection(now)
}

// giveUpLease ends the lease before its time, so that another daemon can acquire one at once.
func (n *Node) giveUpLease(now time.Duration) {
	n.election.lease = nil
	n.election.round.open = false
	n.releaseVotes(now, n.members)
	n.emit(LostOwnership)
}

// Resign gives up the lease of a daemon that ends soon, and lets it not acquire another one.
func (n *Node) Resign(now time.Duration) {
	n.resigned = true
	if n.election.lease != nil {
		n.giveUpLease(now)
	}
}

// nextOwnerTick returns when tickOwner has something to do, and false if it hasn't.
func (n *Node) nextOwnerTick(now time.Duration) (time.Duration, bool) {
	e := &n.election
	switch {
	case e.lease != nil:
		return min(e.nextRound, e.lease.until), true
	case e.round.open && e.round.succeeded():
		return e.round.started + settleTime, true
	case e.round.open:
		return e.round.started + roundTimeout, true
	case n.mayLead && !n.resigned && e.wantedWithin(now, candidateFor):
		return max(e.nextRound, n.voter.endOfOther(now, n.options.Self)), true
	}
	return 0, false
}
