package idempotency

import (
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// objectPrefix starts the platform keys of record objects.
const objectPrefix = "records/"

const (
	// maxHeldRecords bounds the records in memory.
	maxHeldRecords = 1024
	// unusedLimit is how long a record without work is kept in memory.
	unusedLimit = time.Minute
)

// OutcomeSource asks the owner of an intent for the outcome of a key. Outcomes
// that aren't known by answerBy are Unsure.
type OutcomeSource func(owner Owner, key Key, answerBy time.Time) Outcome

// RecorderOptions configure a Recorder.
type RecorderOptions struct {
	Self  Owner
	Store platform.Store
	// Rates share the platform's rates out.
	Rates *Rates
	// Ask asks other daemons.
	Ask    OutcomeSource
	Limits Limits
	Pool   PoolLimits
	Log    logrus.FieldLogger
}

// Recorder carries out the decisions of the records of one daemon and keeps a
// pool of record objects for new tokens. It is safe for concurrent use.
//
// Each record is a shard with its own lock.
type Recorder struct {
	options  RecorderOptions
	attempts atomic.Uint64
	health   health
	counts   recorderCounts

	mu   sync.Mutex
	held map[Ref]*heldRecord
	pool pool
}

// heldRecord is a record with its lock and timer.
type heldRecord struct {
	recorder *Recorder
	ref      Ref

	mu     sync.Mutex
	record *Record
	timer  *time.Timer
	used   time.Time
}

type recorderCounts struct {
	groups, reads, conflicts, uncertain, claims, writtenBytes atomic.Uint64
}

// NewRecorder returns a recorder without records.
func NewRecorder(options RecorderOptions) *Recorder {
	return &Recorder{options: options, held: map[Ref]*heldRecord{}}
}

// Begin decides about a send, possibly later.
func (r *Recorder) Begin(now time.Time, send *Send) {
	h := r.find(now, send.Key.Token.Record, true)
	if h == nil {
		send.Decided(send.notBegun(ReasonRecordUnavailable))
		return
	}
	h.event(func(now time.Time) []Action { return h.record.Begin(now, send) })
}

// Finish records the end of a request that Begin let run.
func (r *Recorder) Finish(now time.Time, key Key, outcome Outcome) {
	if h := r.find(now, key.Token.Record, false); h != nil {
		h.event(func(now time.Time) []Action { return h.record.Finish(now, key, outcome) })
	}
}

// Query calls decided once with the outcome of a key that this daemon owns,
// waiting for a request that is running. Outcomes of other keys are Unsure.
func (r *Recorder) Query(now time.Time, key Key, decided func(Decision)) {
	h := r.find(now, key.Token.Record, false)
	if h == nil {
		decided(Decision{Verdict: Replay, Outcome: Outcome{Status: Unsure}, Reason: ReasonOwnerGone})
		return
	}
	send := &Send{Key: key, Ambiguous: true, Decided: decided, query: true}
	h.event(func(now time.Time) []Action { return h.record.Begin(now, send) })
}

// find returns a record; nil if it isn't held and can't be added.
func (r *Recorder) find(now time.Time, ref Ref, add bool) *heldRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.held[ref]
	if h == nil && add && len(r.held) < maxHeldRecords {
		h = r.hold(ref)
	}
	if h != nil {
		h.touch(now)
	}
	return h
}

// hold adds a record. The caller holds the lock.
func (r *Recorder) hold(ref Ref) *heldRecord {
	next := func() uint64 { return r.attempts.Add(1) }
	h := &heldRecord{recorder: r, ref: ref, record: NewRecord(r.options.Self, ref, r.options.Limits, next)}
	h.timer = time.AfterFunc(time.Hour, h.expire)
	r.held[ref] = h
	return h
}

func (h *heldRecord) touch(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used = now
}

func (h *heldRecord) expire() {
	h.event(func(now time.Time) []Action { return h.record.Expire(now) })
}

// event passes an event to the record and carries out its actions.
func (h *heldRecord) event(send func(now time.Time) []Action) {
	h.mu.Lock()
	actions := append([]Action(nil), send(time.Now())...)
	if wakeAt := h.record.NextWake(); !wakeAt.IsZero() {
		h.timer.Reset(time.Until(wakeAt))
	}
	h.mu.Unlock()
	for _, action := range actions {
		h.perform(action)
	}
}

func (h *heldRecord) perform(action Action) {
	switch action.Kind {
	case RequestPermit:
		go h.awaitPermit()
	case Write:
		go h.write(action)
	case ReadObject:
		go h.read()
	case AskOwner:
		go h.ask(action)
	case Decide:
		action.Send.Decided(action.Decision)
	}
}

func (h *heldRecord) awaitPermit() {
	h.recorder.options.Rates.awaitWrite()
	h.event(func(now time.Time) []Action { return h.record.Permitted(now) })
}

func (h *heldRecord) write(action Action) {
	result, version := h.recorder.update(h.ref, action)
	h.event(func(now time.Time) []Action { return h.record.Wrote(now, result, version) })
}

func (r *Recorder) update(ref Ref, action Action) (WriteResult, platform.Version) {
	value, err := action.Content.Encode()
	if err != nil {
		return Refused, 0
	}
	r.counts.groups.Add(1)
	r.counts.writtenBytes.Add(uint64(len(value)))
	version, err := r.options.Store.Update(objectKey(ref.Slot), action.Version, value)
	r.health.note(err)
	return r.resultOf(err), version
}

func (r *Recorder) resultOf(err error) WriteResult {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	var tooLarge *platform.TooLargeError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		return Applied
	case errors.As(err, &conflict):
		r.counts.conflicts.Add(1)
		return Conflict
	case errors.As(err, &missing):
		return Missing
	case errors.As(err, &tooLarge):
		return Refused
	case errors.As(err, &unavailable) && !unavailable.MayHaveApplied:
		return Refused
	}
	r.counts.uncertain.Add(1)
	return Uncertain
}

func (h *heldRecord) read() {
	h.recorder.options.Rates.awaitRead()
	result, version, content := h.recorder.get(h.ref.Slot)
	h.event(func(now time.Time) []Action { return h.record.Read(now, result, version, content) })
}

func (r *Recorder) get(slot int) (ReadResult, platform.Version, *Content) {
	r.counts.reads.Add(1)
	object, err := r.options.Store.Get(objectKey(slot))
	r.health.note(err)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return NotFound, 0, nil
	}
	if err != nil {
		return Failed, 0, nil
	}
	content, err := DecodeContent(object.Value)
	if err != nil {
		r.options.Log.WithError(err).WithField("object", object.Key).Error("record not decoded")
		return Failed, 0, nil
	}
	return Found, object.Version, content
}

func (h *heldRecord) ask(action Action) {
	outcome := h.recorder.options.Ask(action.Owner, action.Send.Key, action.Send.AnswerBy)
	h.event(func(now time.Time) []Action { return h.record.OwnerAnswered(now, action.Send, outcome) })
}

// Drain waits until every outcome is recorded, for limit at most.
func (r *Recorder) Drain(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for !r.idle() && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
}

// drainPoll is the pause between two looks at the records that are not idle.
const drainPoll = 10 * time.Millisecond

func (r *Recorder) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if !h.idle() {
			return false
		}
	}
	return true
}

func (h *heldRecord) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record.Idle()
}

func objectKey(slot int) string { return objectPrefix + strconv.Itoa(slot) }

// health tells whether the platform answers.
type health struct{ down atomic.Bool }

func (h *health) note(err error) {
	var unavailable *platform.UnavailableError
	var status *platform.StatusError
	limited := errors.As(err, &status) && status.Status == statusTooManyRequests
	if !limited {
		h.down.Store(errors.As(err, &unavailable))
	}
}

// statusTooManyRequests is the platform's refusal of a call above its rate.
const statusTooManyRequests = 429
