package idempotency

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// Limits bound a record.
type Limits struct {
	// GroupInterval is how long an intent waits for others to share its write.
	GroupInterval time.Duration
	// OutcomeDelay is how long an outcome waits for an intent to share its write.
	OutcomeDelay time.Duration
	// RetryDelay is the pause after a call to the platform that failed, and
	// before an owner is asked again.
	RetryDelay time.Duration
	// MaxKeys bounds the keys of a record.
	MaxKeys int
	// MaxAnswerBytes bounds an answer inside a record.
	MaxAnswerBytes int
	// MaxAnswersBytes bounds the answers inside a record together.
	MaxAnswersBytes int
}

const (
	idle phase = iota
	awaitingPermit
	reading
	writing
)

// Record is one daemon's side of one record object. It is not safe for
// concurrent use.
type Record struct {
	self   Owner
	ref    Ref
	limits Limits

	phase   phase
	gone    bool
	loaded  bool
	version platform.Version
	content *Content
	retryAt time.Time
	flushAt time.Time

	locals      map[string]*local
	pending     []*Send
	asking      []*Send
	dirty       map[string]bool
	write       *groupWrite
	nextAttempt func() uint64
	actions     []Action
}

// Kinds of actions.
const (
	// RequestPermit asks for the right to one write; Permitted follows.
	RequestPermit ActionKind = iota
	// Write updates the object from Version to Content; Wrote follows.
	Write
	// ReadObject reads the object; Read follows.
	ReadObject
	// AskOwner asks Owner for the outcome of Send; OwnerAnswered follows.
	AskOwner
	// Decide tells the sender what to do.
	Decide
)

// NewRecord returns a record whose object has not been read. NextAttempt returns
// numbers that are unique in the daemon's incarnation.
func NewRecord(self Owner, ref Ref, limits Limits, nextAttempt func() uint64) *Record {
	return &Record{
		self:        self,
		ref:         ref,
		limits:      limits,
		nextAttempt: nextAttempt,
		locals:      map[string]*local{},
		dirty:       map[string]bool{},
	}
}

// Claimed takes the content of an object that this daemon has just claimed.
func (r *Record) Claimed(version platform.Version, content *Content) {
	r.loaded = true
	r.version = version
	r.content = content
}

// Begin takes a send. The returned actions are valid until the next event.
func (r *Record) Begin(now time.Time, send *Send) []Action {
	r.actions = r.actions[:0]
	if send.onlySend() && send.Decline && !r.knows(send.Key.recordKey()) {
		r.decide(send, send.notBegun(ReasonDeclined))
		return r.actions
	}
	r.route(now, send)
	r.proceed(now)
	return r.actions
}

// knows reports whether anything is known of a key.
func (r *Record) knows(name string) bool {
	if r.locals[name] != nil {
		return true
	}
	if r.content == nil {
		return false
	}
	_, ok := r.content.Entries[name]
	return ok
}

// Finish takes the end of a request that Begin let run. A later answer replaces
// status Unsure. The returned actions are valid until the next event.
func (r *Record) Finish(now time.Time, key Key, outcome Outcome) []Action {
	r.actions = r.actions[:0]
	name := key.recordKey()
	owned := r.locals[name]
	if owned == nil || owned.outcome.Status == Ran || owned.outcome.Status == NeverRan {
		return r.actions
	}
	if outcome.Status == NeverRan {
		invariant.Check(owned.outcome.Status == Running, invariant.NotRunIsTrue, "key %q is in state %d", name, owned.outcome.Status)
		outcome.UpTo = highestNumber(owned.number, owned.waiters)
	}
	r.setOutcome(now, name, owned, outcome)
	r.proceed(now)
	return r.actions
}

func (r *Record) setOutcome(now time.Time, name string, owned *local, outcome Outcome) {
	owned.outcome = outcome
	r.dirty[name] = true
	r.flushBy(now.Add(r.limits.OutcomeDelay))
	for _, waiter := range owned.waiters {
		r.decide(waiter, replay(outcome))
	}
	owned.waiters = nil
}

// Expire handles what is due at now. The returned actions are valid until the
// next event.
func (r *Record) Expire(now time.Time) []Action {
	r.actions = r.actions[:0]
	for _, send := range r.pending {
		if !now.Before(send.CommitBy) {
			r.decide(send, send.notBegun(ReasonRecordUnavailable))
		}
	}
	r.pending = r.stillPending()
	r.proceed(now)
	return r.actions
}

// stillPending drops decided sends that are not part of a write.
func (r *Record) stillPending() []*Send {
	var left []*Send
	for _, send := range r.pending {
		if !send.decided || r.write.includes(send) {
			left = append(left, send)
		}
	}
	return left
}

// NextWake returns when Expire has to be called next; zero means never.
func (r *Record) NextWake() time.Time {
	var wake time.Time
	if r.phase == idle && r.hasWork() {
		wake = later(r.retryAt, r.workAt())
	}
	for _, send := range r.pending {
		if !send.decided && (wake.IsZero() || send.CommitBy.Before(wake)) {
			wake = send.CommitBy
		}
	}
	return wake
}

// Idle reports whether the record has nothing under way.
func (r *Record) Idle() bool {
	if r.phase != idle || r.hasWork() || len(r.asking) > 0 {
		return false
	}
	for _, owned := range r.locals {
		if owned.outcome.Status == Running {
			return false
		}
	}
	return true
}

// Keys returns the number of keys known to be in the record.
func (r *Record) Keys() int {
	if r.content == nil {
		return 0
	}
	return len(r.content.Entries)
}

// Gone reports whether the object is used by another generation or deleted.
func (r *Record) Gone() bool { return r.gone }

func (r *Record) hasWork() bool {
	return !r.gone && (r.write != nil || len(r.pending) > 0 || len(r.dirty) > 0)
}

// workAt returns when the next call to the platform is due, retries aside.
func (r *Record) workAt() time.Time {
	if r.write != nil || !r.loaded {
		return time.Time{}
	}
	return r.flushAt
}

func (r *Record) flushBy(at time.Time) {
	if r.flushAt.IsZero() || at.Before(r.flushAt) {
		r.flushAt = at
	}
}

// proceed starts the next call to the platform if it is due.
func (r *Record) proceed(now time.Time) {
	if r.phase != idle || !r.hasWork() || now.Before(later(r.retryAt, r.workAt())) {
		return
	}
	if !r.loaded || (r.write != nil && r.write.unread) {
		r.phase = reading
		r.act(Action{Kind: ReadObject})
		return
	}
	r.phase = awaitingPermit
	r.act(Action{Kind: RequestPermit})
}

func (r *Record) act(action Action) { r.actions = append(r.actions, action) }

// decide tells a sender once.
func (r *Record) decide(send *Send, decision Decision) {
	if send.decided {
		return
	}
	send.decided = true
	if decision.Verdict == Replay && decision.Outcome.Status == NeverRan {
		r.checkNeverRan(send)
	}
	r.act(Action{Kind: Decide, Send: send, Decision: decision})
}

func (r *Record) checkNeverRan(send *Send) {
	owned := r.locals[send.Key.recordKey()]
	ok := owned == nil || owned.outcome.Status == NeverRan
	invariant.Check(ok, invariant.NotRunIsTrue, "key %q was dispatched here", send.Key)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
