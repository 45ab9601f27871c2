package idempotency

import "time"

// route decides about a send from what is known, or lets it wait.
func (r *Record) route(now time.Time, send *Send) {
	name := send.Key.recordKey()
	owned := r.locals[name]
	if owned != nil && !(r.gone && owned.outcome.allows(send)) {
		r.joinLocal(now, send, owned)
		return
	}
	if r.gone {
		r.decide(send, send.notBegun(ReasonTokenExpired))
		return
	}
	if r.content != nil {
		if existing, ok := r.content.Entries[name]; ok {
			r.joinEntry(now, send, existing)
			return
		}
	}
	r.wait(now, send)
}

// wait lets a send wait for a group write.
func (r *Record) wait(now time.Time, send *Send) {
	if send.query {
		r.decide(send, Decision{Verdict: Replay, Outcome: Outcome{Status: Unsure}, Reason: ReasonOwnerGone})
		return
	}
	r.pending = append(r.pending, send)
	r.flushBy(now.Add(r.limits.GroupInterval))
}

func (r *Record) joinLocal(now time.Time, send *Send, owned *local) {
	switch {
	case owned.fingerprint != send.Fingerprint && !send.query:
		r.decide(send, Decision{Verdict: Mismatch})
	case owned.outcome.Status == Running:
		owned.waiters = append(owned.waiters, send)
	default:
		r.joinOutcome(now, send, owned.outcome)
	}
}

func (r *Record) joinEntry(now time.Time, send *Send, existing entry) {
	switch {
	case existing.Fingerprint != send.Fingerprint && !send.query:
		r.decide(send, Decision{Verdict: Mismatch})
	case existing.Outcome.Status == Running && existing.Owner != r.self && !send.query:
		r.asking = append(r.asking, send)
		r.act(Action{Kind: AskOwner, Send: send, Owner: existing.Owner})
	default:
		r.joinOutcome(now, send, existing.Outcome)
	}
}

// joinOutcome takes a send of a request that isn't running.
func (r *Record) joinOutcome(now time.Time, send *Send, outcome Outcome) {
	if outcome.allows(send) && !send.query {
		r.wait(now, send)
		return
	}
	if outcome.Status == Running {
		outcome.Status = Unsure
	}
	r.decide(send, replay(outcome))
}

// OwnerAnswered takes the outcome that the owner of an intent gave; Unsure if it
// gave none. The returned actions are valid until the next event.
func (r *Record) OwnerAnswered(now time.Time, send *Send, outcome Outcome) []Action {
	r.actions = r.actions[:0]
	r.removeAsking(send)
	if r.locals[send.Key.recordKey()] != nil {
		// A later send was committed here while the owner was asked.
		r.route(now, send)
		r.proceed(now)
		return r.actions
	}
	if outcome.allows(send) {
		r.readAgain(now, send)
		r.proceed(now)
		return r.actions
	}
	decision := replay(outcome)
	if outcome.Status == Unsure {
		decision.Reason = ReasonOwnerGone
	}
	r.decide(send, decision)
	return r.actions
}

// readAgain lets a send wait until the owner has recorded that its request never
// ran.
func (r *Record) readAgain(now time.Time, send *Send) {
	if r.write == nil {
		r.loaded = false
	}
	r.pending = append(r.pending, send)
	r.retryAt = later(r.retryAt, now.Add(r.limits.RetryDelay))
	r.flushBy(r.retryAt)
}

func (r *Record) removeAsking(send *Send) {
	for i, other := range r.asking {
		if other == send {
			r.asking = append(r.asking[:i], r.asking[i+1:]...)
			return
		}
	}
}

// rerouteAll takes every waiting send again after the content has changed.
func (r *Record) rerouteAll(now time.Time) {
	waiting := r.pending
	r.pending = nil
	for _, send := range waiting {
		if !send.decided {
			r.route(now, send)
		}
	}
	if len(r.pending) == 0 && len(r.dirty) == 0 {
		r.flushAt = time.Time{}
	}
}
