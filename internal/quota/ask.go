package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pace limits the rate of questions.
type pace struct {
	tokens float64
	at     time.Duration
}

// earliest returns when the next question may be sent.
func (p *pace) earliest(now time.Duration) time.Duration {
	p.tokens = min(p.tokens+asksPerSecond*(now-p.at).Seconds(), askBurst)
	p.at = now
	if p.tokens >= 1 {
		return now
	}
	return now + time.Duration((1-p.tokens)/asksPerSecond*float64(time.Second)) + time.Microsecond
}

func (n *Node) earliestAsk(now time.Duration) time.Duration {
	return max(n.asker.pace.earliest(now), n.asker.notBefore)
}

// askIfNeeded sends one question for all accounts that need permits, unless one is under way.
func (n *Node) askIfNeeded(now time.Duration) {
	if n.asker.pending != 0 || now < n.earliestAsk(now) {
		return
	}
	var ask Ask
	sent := sentAsk{sentAt: now}
	for _, a := range n.asker.accounts {
		if count := a.wanted(now); count+a.startup.unreported > 0 && len(ask.Items) < maxAskItems {
			ask.Items = append(ask.Items, AskItem{
				Workspace: a.workspace, Count: count, Rate: a.limit.Rate, Burst: a.limit.Burst, Revision: a.limit.Revision,
				Used: a.startup.unreported,
			})
			sent.accounts = append(sent.accounts, a)
			sent.counts = append(sent.counts, count)
			sent.used = append(sent.used, a.startup.unreported)
		}
	}
	if len(ask.Items) == 0 {
		return
	}
	sent.to = n.asker.locator.choose(now, n.members)
	n.asker.pace.tokens--
	n.asker.lastID++
	n.asker.pending = n.asker.lastID
	n.asker.asks[n.asker.pending] = sent
	if n.asker.unansweredSince == 0 {
		n.asker.unansweredSince = now
	}
	n.deliverAsk(now, sent.to, ask)
}

// deliverAsk sends a question, or answers it at once if it is addressed to this daemon.
func (n *Node) deliverAsk(now time.Duration, to string, ask Ask) {
	id := n.asker.pending
	if to == n.options.Self {
		n.AskReplied(now, id, n.answer(now, ask))
		return
	}
	n.send(Message{To: to, ID: id, Ask: &ask})
}

// AskReplied handles the reply to a question.
func (n *Node) AskReplied(now time.Duration, id uint64, reply AskReply) {
	sent, known := n.takeAsk(id)
	if !known {
		return
	}
	if !reply.Owner {
		n.redirected(now, sent, reply)
		return
	}
	if n.ownerIsSilent(now) {
		n.asker.recoveringUntil = now + recoveryPeriod
	}
	n.asker.unansweredSince = 0
	n.asker.ownerFound = true
	n.asker.notBefore = 0
	n.asker.locator.found(sent.to)
	n.updateDetached(now)
	for i, a := range sent.accounts {
		granted := 0
		if i < len(reply.Granted) {
			granted = reply.Granted[i]
		}
		a.startup.unreported -= sent.used[i]
		n.addGranted(now, a, sent, sent.counts[i], granted)
	}
	n.askIfNeeded(now)
}

// addGranted adds permits to the stock. They expire by the time at which they were asked for, so
// that a reply that was delayed brings none.
func (n *Node) addGranted(now time.Duration, a *account, sent sentAsk, asked, granted int) {
	a.add(granted, sent.sentAt+n.options.Bound.lifetime())
	n.serveWaiters(now, a)
	if granted >= asked {
		return
	}
	a.deniedUntil = now + deniedPause
	a.shortUntil = now + shortPeriod
	for len(a.waiters) > n.maxWaiters(now, a) {
		last := len(a.waiters) - 1
		n.decide(a.waiters[last], n.reject())
		a.waiters = slices.Delete(a.waiters, last, last+1)
	}
}

// AskFailed handles a question that could not be delivered.
func (n *Node) AskFailed(now time.Duration, id uint64) {
	if sent, known := n.takeAsk(id); known {
		n.asker.locator.suspect(now, sent.to)
		n.askIfNeeded(now)
	}
}

// takeAsk ends the wait for the reply to a question.
func (n *Node) takeAsk(id uint64) (sentAsk, bool) {
	sent, known := n.asker.asks[id]
	delete(n.asker.asks, id)
	if n.asker.pending == id {
		n.asker.pending = 0
	}
	return sent, known
}

// redirected handles the reply of a daemon that isn't the owner.
func (n *Node) redirected(now time.Duration, sent sentAsk, reply AskReply) {
	if !n.asker.locator.redirect(now, sent.to, reply) {
		n.asker.notBefore = now + electionPause
	}
	n.askIfNeeded(now)
}

// expireAsks suspects a daemon that doesn't answer and forgets old questions.
func (n *Node) expireAsks(now time.Duration) {
	for id, sent := range n.asker.asks {
		if id == n.asker.pending && now >= sent.sentAt+askTimeout {
			n.asker.pending = 0
			n.asker.locator.suspect(now, sent.to)
		}
		if now >= sent.sentAt+rememberAsk {
			delete(n.asker.asks, id)
		}
	}
}

// updateDetached records whether owners have been silent for long. Without requests nothing is
// known.
func (n *Node) updateDetached(now time.Duration) {
	if len(n.asker.accounts) == 0 {
		n.asker.unansweredSince = 0
	}
	since := n.asker.unansweredSince
	detached := since != 0 && now-since > detachedAfter
	if detached == n.asker.detached {
		return
	}
	n.asker.detached = detached
	if detached {
		n.emit(FallbackBegan)
		return
	}
	n.emit(FallbackEnded)
}

// fallbackShare returns how many requests of a workspace this daemon may admit in a window without
// an owner. The shares of all known daemons add up to Bound.fallback.
func (n *Node) fallbackShare(a *account) int {
	if !n.mayLead {
		return 0
	}
	total, members := n.options.Bound.fallback(a.limit), len(n.members)
	share := total / members
	if n.fallbackRank(a.workspace) < total%members {
		share++
	}
	return share
}

// fallbackRank returns this daemon's rank for a workspace. Different daemons rank first for
// different workspaces.
func (n *Node) fallbackRank(workspace string) int {
	own := xxhash.Sum64String(workspace + "/" + n.options.Self)
	rank := 0
	for _, member := range n.members {
		if xxhash.Sum64String(workspace+"/"+member) < own {
			rank++
		}
	}
	return rank
}
