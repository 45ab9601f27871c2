package idempotency

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// WriteResult is the end of a write.
type WriteResult int

// Ends of writes.
const (
	// Applied means that the object has the new content.
	Applied WriteResult = iota
	// Conflict means that the object isn't at the expected version.
	Conflict
	// Uncertain means that the write may have taken effect or still may.
	Uncertain
	// Refused means that this write can't take effect.
	Refused
	// Missing means that the object doesn't exist.
	Missing
)

// Permitted takes the right to one write. The returned actions are valid until
// the next event.
func (r *Record) Permitted(now time.Time) []Action {
	r.actions = r.actions[:0]
	r.phase = idle
	if r.write == nil {
		r.write = r.buildWrite(now)
	}
	if r.write == nil {
		r.refresh(now)
		r.proceed(now)
		return r.actions
	}
	r.phase = writing
	r.act(Action{Kind: Write, Version: r.write.version, Content: r.write.content})
	return r.actions
}

// refresh reads the object again for sends that no write can take.
func (r *Record) refresh(now time.Time) {
	if r.loaded && len(r.pending) > 0 {
		r.loaded = false
		r.retryAt = now.Add(r.limits.RetryDelay)
	}
}

// buildWrite groups the waiting intents and outcomes; nil if there are none.
func (r *Record) buildWrite(now time.Time) *groupWrite {
	if !r.loaded {
		return nil
	}
	r.flushAt = time.Time{}
	w := &groupWrite{version: r.version, content: r.content.clone()}
	for name := range r.dirty {
		r.addOutcome(w, name)
	}
	waiting := r.pending
	r.pending = nil
	for _, send := range waiting {
		r.addIntent(now, w, send)
	}
	if len(w.intents) == 0 && len(w.dirty) == 0 {
		return nil
	}
	return w
}

func (r *Record) addOutcome(w *groupWrite, name string) {
	updated := w.content.Entries[name]
	updated.Outcome = r.recordable(w.content, r.locals[name].outcome)
	w.content.Entries[name] = updated
	w.dirty = append(w.dirty, name)
}

// recordable drops an answer for which the record has no room.
func (r *Record) recordable(content *Content, outcome Outcome) Outcome {
	if outcome.Answer == nil {
		return outcome
	}
	size := len(outcome.Answer.Body)
	if size > r.limits.MaxAnswerBytes || size+content.answerBytes() > r.limits.MaxAnswersBytes {
		outcome.Answer = nil
	}
	return outcome
}

func (r *Record) addIntent(now time.Time, w *groupWrite, send *Send) {
	name := send.Key.recordKey()
	existing, known := w.content.Entries[name]
	takeover := known && existing.Outcome.allows(send)
	switch {
	case send.decided:
		return
	case !now.Before(send.CommitBy):
		r.decide(send, send.notBegun(ReasonRecordUnavailable))
		return
	case known && !takeover:
		// Another send of the key is in this group or came before it.
		r.pending = append(r.pending, send)
		return
	case !known && len(w.content.Entries) >= r.limits.MaxKeys:
		r.decide(send, send.notBegun(ReasonRecordFull))
		return
	}
	added := entry{Fingerprint: send.Fingerprint, Owner: r.self, Attempt: r.nextAttempt()}
	if send.Decline {
		added.Outcome = Outcome{Status: NeverRan, UpTo: send.Number}
	}
	w.content.Entries[name] = added
	w.intents = append(w.intents, intent{send: send, key: name, attempt: added.Attempt})
	r.pending = append(r.pending, send)
}

// Wrote takes the end of a write. The returned actions are valid until the next
// event.
func (r *Record) Wrote(now time.Time, result WriteResult, version platform.Version) []Action {
	r.actions = r.actions[:0]
	r.phase = idle
	switch result {
	case Applied:
		r.resolve(now, version, r.write.content)
	case Conflict:
		r.write.unread = true
	case Uncertain:
		r.write.uncertain = true
		r.write.unread = true
	case Refused:
		r.refused(now)
	case Missing:
		r.lose()
	}
	r.proceed(now)
	return r.actions
}

func (r *Record) refused(now time.Time) {
	r.retryAt = now.Add(r.limits.RetryDelay)
	if !r.write.uncertain {
		r.write = nil
		r.pending = r.stillPending()
		r.flushBy(now)
	}
}

// ReadResult is the end of a read.
type ReadResult int

// Ends of reads.
const (
	// Found means that the object exists.
	Found ReadResult = iota
	// NotFound means that it doesn't.
	NotFound
	// Failed means that nothing is known.
	Failed
)

// Read takes the end of a read. The returned actions are valid until the next
// event.
func (r *Record) Read(now time.Time, result ReadResult, version platform.Version, content *Content) []Action {
	r.actions = r.actions[:0]
	r.phase = idle
	switch {
	case result == Failed, r.write == nil && result == Found && version < r.version:
		r.retryAt = now.Add(r.limits.RetryDelay)
	case result == NotFound || content.Generation != r.ref.Generation:
		r.lose()
	case r.write != nil && version <= r.write.version:
		// The write may still take effect: it is sent again.
		r.write.unread = false
		r.retryAt = now.Add(r.limits.RetryDelay)
	default:
		r.resolve(now, version, content)
	}
	r.proceed(now)
	return r.actions
}

// resolve takes content that is newer than any write under way.
func (r *Record) resolve(now time.Time, version platform.Version, content *Content) {
	r.loaded = true
	r.version = version
	r.content = content
	w := r.write
	r.write = nil
	if w != nil {
		r.settleWrite(now, w)
	}
	r.forgetDisowned()
	r.rerouteAll(now)
	if len(r.dirty) > 0 {
		r.flushBy(now.Add(r.limits.OutcomeDelay))
	}
}

func (r *Record) settleWrite(now time.Time, w *groupWrite) {
	for _, name := range w.dirty {
		if owned := r.locals[name]; r.owns(name, owned) && r.content.Entries[name].Outcome.Status == owned.outcome.Status {
			delete(r.dirty, name)
		}
	}
	for _, added := range w.intents {
		existing := r.content.Entries[added.key]
		if existing.Owner == r.self && existing.Attempt == added.attempt {
			r.committed(now, added)
		}
	}
}

// owns reports whether the record's entry is the one of this daemon's intent.
func (r *Record) owns(name string, owned *local) bool {
	existing := r.content.Entries[name]
	return existing.Owner == r.self && existing.Attempt == owned.attempt
}

// forgetDisowned drops keys that were never run here and that another daemon has
// taken over.
func (r *Record) forgetDisowned() {
	for name, owned := range r.locals {
		if r.owns(name, owned) {
			continue
		}
		invariant.Check(owned.outcome.Status == NeverRan, invariant.DispatchedOnce, "key %q was taken over in state %d", name, owned.outcome.Status)
		delete(r.locals, name)
		delete(r.dirty, name)
	}
}

// committed takes an intent of this daemon that is in the record.
func (r *Record) committed(now time.Time, added intent) {
	send := added.send
	previous := r.locals[added.key]
	once := previous == nil || previous.outcome.Status == NeverRan
	invariant.Check(once, invariant.DispatchedOnce, "key %q is committed twice", send.Key)
	owned := &local{fingerprint: send.Fingerprint, attempt: added.attempt, number: send.Number}
	r.locals[added.key] = owned
	delete(r.dirty, added.key)
	switch {
	case send.Decline:
		owned.outcome = Outcome{Status: NeverRan, UpTo: send.Number}
		r.decide(send, Decision{Verdict: Replay, Outcome: owned.outcome, Reason: ReasonDeclined})
	case send.decided || !now.Before(send.CommitBy):
		r.setOutcome(now, added.key, owned, Outcome{Status: NeverRan, UpTo: send.Number})
		r.decide(send, Decision{Verdict: Replay, Outcome: owned.outcome, Reason: ReasonRecordUnavailable})
	default:
		r.decide(send, Decision{Verdict: Run})
	}
}

// lose gives up an object that is deleted or used by another generation.
func (r *Record) lose() {
	r.gone = true
	r.write = nil
	r.dirty = map[string]bool{}
	for _, send := range r.pending {
		r.decide(send, send.notBegun(ReasonTokenExpired))
	}
	r.pending = nil
}
