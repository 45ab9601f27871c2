package quota

import (
	"maps"
	"slices"
	"time"
)

// asker gets permits for the requests that this daemon receives.
type asker struct {
	startedAt time.Duration
	accounts  map[string]*account
	// waiting are the accounts with waiting requests, and maybe some that had.
	waiting map[*account]struct{}
	locator locator
	pace    pace
	// asks are the last questions without a reply, pending is the ID of the one that is waited
	// for, or 0.
	asks    map[uint64]sentAsk
	pending uint64
	lastID  uint64
	// notBefore is the earliest time of the next question.
	notBefore time.Duration
	// unansweredSince is when the first question was sent since an owner last answered; zero if
	// the last one was answered.
	unansweredSince time.Duration
	detached        bool
	// ownerFound is set once an owner has answered.
	ownerFound bool
	// recoveringUntil is when requests wait as usual again after an owner was silent.
	recoveringUntil time.Duration
	// nextSweep is when unused accounts are forgotten.
	nextSweep time.Duration
}

// sentAsk is a question on its way.
type sentAsk struct {
	to       string
	sentAt   time.Duration
	accounts []*account
	counts   []int
	// used are the requests admitted without a permit that the question reports.
	used []int
}

func newAsker(now time.Duration) asker {
	return asker{
		startedAt: now,
		accounts:  map[string]*account{},
		waiting:   map[*account]struct{}{},
		locator:   newLocator(),
		pace:      pace{tokens: askBurst, at: now},
		asks:      map[uint64]sentAsk{},
	}
}

// Admit decides on a request of a workspace, or lets it wait for a Decision. Payload identifies
// the request then.
func (n *Node) Admit(now time.Duration, workspace string, limit Limit, payload any) (Verdict, *Waiter) {
	a := n.account(workspace, limit)
	a.usedAt = now
	a.demand.add(now)
	if permit, ok := a.take(now); ok {
		n.counts.Admitted++
		if a.wanted(now) > 0 {
			n.askIfNeeded(now)
		}
		return Verdict{Outcome: Admitted, Permit: permit}, nil
	}
	if n.admitsAtStart(now, a) {
		n.counts.Admitted++
		n.counts.Startup++
		n.askIfNeeded(now)
		return Verdict{Outcome: Admitted, Permit: Permit{workspace: a.workspace}}, nil
	}
	if now < a.deniedUntil && len(a.waiters) >= n.maxWaiters(now, a) {
		return n.reject(), nil
	}
	w := &Waiter{Payload: payload, account: a, arrived: now}
	a.waiters = append(a.waiters, w)
	n.asker.waiting[a] = struct{}{}
	n.askIfNeeded(now)
	return Verdict{Outcome: Waiting}, w
}

// RejectLate rejects a request that can't be answered in time any more, if its workspace asks for more
// than its quota: the permit serves a caller who can be. It returns false if the request isn't
// rejected.
func (n *Node) RejectLate(now time.Duration, workspace string) (Verdict, bool) {
	a := n.asker.accounts[workspace]
	if a == nil || now >= a.shortUntil {
		return Verdict{}, false
	}
	return n.reject(), true
}

// patience returns how long a request waits for a permit.
func (n *Node) patience(now time.Duration) time.Duration {
	switch {
	case now-n.asker.startedAt < startupPeriod:
		return startupWait
	case n.asker.detached:
		return detachedWait
	case n.ownerIsSilent(now), now < n.asker.recoveringUntil:
		return ownerlessWait
	}
	return maxWait
}

// maxWaiters is the number of requests that may keep waiting while the owner's bucket is empty:
// those that its refill in a short time allows. The bucket of a new owner starts nearly empty, so
// that the requests that have waited for it may keep waiting.
func (n *Node) maxWaiters(now time.Duration, a *account) int {
	period := deniedPause
	if now < n.asker.recoveringUntil {
		period = ownerlessWait
	}
	return max(int(a.limit.Rate*period.Seconds()), 1)
}

// ownerIsSilent reports whether a question was not answered by an owner in time.
func (n *Node) ownerIsSilent(now time.Duration) bool {
	since := n.asker.unansweredSince
	return since != 0 && now-since >= askTimeout
}

func (n *Node) account(workspace string, limit Limit) *account {
	a := n.asker.accounts[workspace]
	if a == nil {
		a = &account{workspace: workspace, limit: limit}
		n.asker.accounts[workspace] = a
	}
	if limit.Revision > a.limit.Revision {
		a.limit = limit
	}
	return a
}

func (n *Node) reject() Verdict {
	n.counts.Rejected++
	spread := float64(maxRetryAfter - minRetryAfter)
	return Verdict{Outcome: Rejected, RetryAfter: minRetryAfter + time.Duration(n.options.Random()*spread)}
}

// Cancel ends the wait of a request whose caller has left.
func (n *Node) Cancel(w *Waiter) { w.account.remove(w) }

// Return gives back the permit of a request that was not sent to a target. It is used again if it
// is still valid. An expired one isn't given back to the owner: the requests of all permits that
// wait in queues could then run in one window.
func (n *Node) Return(now time.Duration, permit Permit) {
	a := n.asker.accounts[permit.workspace]
	if a == nil || now >= permit.expires {
		return
	}
	a.add(1, permit.expires)
	n.serveWaiters(now, a)
}

// serveWaiters admits waiting requests for which there are permits.
func (n *Node) serveWaiters(now time.Duration, a *account) {
	for len(a.waiters) > 0 {
		permit, ok := a.take(now)
		if !ok {
			return
		}
		n.counts.Admitted++
		n.decide(a.waiters[0], Verdict{Outcome: Admitted, Permit: permit})
		a.waiters = slices.Delete(a.waiters, 0, 1)
	}
}

func (n *Node) decide(w *Waiter, verdict Verdict) {
	n.output.Decisions = append(n.output.Decisions, Decision{Waiter: w, Verdict: verdict})
}

// tickAsker ends waits that took too long, suspects daemons that don't answer and forgets unused
// accounts.
func (n *Node) tickAsker(now time.Duration) {
	n.expireAsks(now)
	for a := range n.asker.waiting {
		for len(a.waiters) > 0 && now >= a.waiters[0].arrived+n.patience(now) {
			n.decide(a.waiters[0], n.withoutPermit(now, a))
			a.waiters = slices.Delete(a.waiters, 0, 1)
		}
		if len(a.waiters) == 0 {
			delete(n.asker.waiting, a)
		}
	}
	if now >= n.asker.nextSweep {
		n.asker.nextSweep = now + forgetAfter
		maps.DeleteFunc(n.asker.accounts, func(_ string, a *account) bool {
			return len(a.waiters) == 0 && now-a.usedAt > forgetAfter
		})
	}
	n.updateDetached(now)
	n.askIfNeeded(now)
}

// withoutPermit decides on a request that has got no permit in time. Without an owner the
// fallback may admit it.
func (n *Node) withoutPermit(now time.Duration, a *account) Verdict {
	if !n.ownerIsSilent(now) || now-n.asker.startedAt < n.options.Bound.Window {
		return n.reject()
	}
	if !a.takeFallback(now, n.options.Bound.Window, n.fallbackShare(a)) {
		return n.reject()
	}
	n.counts.Admitted++
	n.counts.Fallback++
	return Verdict{Outcome: Admitted, Permit: Permit{workspace: a.workspace}}
}

// nextAskerTick returns when tickAsker has something to do, and false if it hasn't.
func (n *Node) nextAskerTick(now time.Duration) (time.Duration, bool) {
	next, due := time.Duration(0), false
	consider := func(at time.Duration) {
		if !due || at < next {
			next, due = at, true
		}
	}
	if sent, ok := n.asker.asks[n.asker.pending]; ok {
		consider(sent.sentAt + askTimeout)
	}
	for a := range n.asker.waiting {
		if len(a.waiters) == 0 {
			continue
		}
		consider(a.waiters[0].arrived + n.patience(now))
		if n.asker.pending == 0 {
			consider(max(a.deniedUntil, n.earliestAsk(now)))
		}
	}
	if len(n.asker.accounts) > 0 {
		consider(n.asker.nextSweep)
	}
	return next, due
}
