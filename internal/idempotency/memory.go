package idempotency

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

const (
	// shardCount is the number of separately locked parts of a table.
	shardCount = 16
	// maxShardAnswerBytes bounds the answers kept by a shard.
	maxShardAnswerBytes = 512 << 10
	// maxShardKeys bounds the keys kept by a shard.
	maxShardKeys = 8192
	// maxAnswerBytes bounds an answer kept in memory.
	maxAnswerBytes = 64 << 10
)

// Table keeps the unrecorded keys of one incarnation. It is safe for concurrent
// use.
//
// A key is forgotten only after its token has expired, and keys of expired
// tokens are not run.
type Table struct {
	self    Owner
	started time.Time
	shards  [shardCount]tableShard
}

type tableShard struct {
	mu          sync.Mutex
	rows        map[string]*row
	expiry      []expiring
	answers     []*row
	answerBytes int
}

type expiring struct {
	key string
	at  time.Time
}

type row struct {
	fingerprint uint64
	number      int
	outcome     Outcome
	waiters     []*Send
}

// NewTable returns an empty table for one incarnation.
func NewTable(now time.Time, self Owner) *Table {
	t := &Table{self: self, started: now}
	for i := range t.shards {
		t.shards[i].rows = map[string]*row{}
	}
	return t
}

// Token returns a new unrecorded token.
func (t *Table) Token(now time.Time, session uint64) Token {
	return Token{Kind: Unrecorded, Home: t.self, Session: session, Issued: now.Sub(t.started)}
}

// Begin decides about a send, possibly later. A send for another incarnation
// isn't run.
func (t *Table) Begin(now time.Time, send *Send) {
	if send.Key.Token.Home.Incarnation != t.self.Incarnation {
		send.Decided(send.notBegun(ReasonOwnerGone))
		return
	}
	decision, ready := t.begin(now, send)
	if ready {
		send.Decided(decision)
	}
}

func (t *Table) begin(now time.Time, send *Send) (Decision, bool) {
	key := send.Key.String()
	shard := t.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.expire(now)
	existing := shard.rows[key]
	if existing == nil {
		return t.beginNew(now, shard, key, send), true
	}
	return existing.join(now, send)
}

func (t *Table) beginNew(now time.Time, shard *tableShard, key string, send *Send) Decision {
	expiresAt := t.started.Add(send.Key.Token.Issued + TokenLifetime)
	if !now.Before(expiresAt) {
		return send.notBegun(ReasonTokenExpired)
	}
	if send.Key.Token.Issued > now.Sub(t.started) || len(shard.rows) >= maxShardKeys {
		return send.notBegun(ReasonRecordFull)
	}
	added := &row{fingerprint: send.Fingerprint, number: send.Number}
	shard.rows[key] = added
	shard.expiry = append(shard.expiry, expiring{key: key, at: expiresAt})
	return added.start(now, send)
}

// start dispatches a send, or notes that it never will be.
func (r *row) start(now time.Time, send *Send) Decision {
	r.number = send.Number
	if !send.Decline && now.Before(send.CommitBy) {
		r.outcome = Outcome{}
		return Decision{Verdict: Run}
	}
	r.outcome = Outcome{Status: NeverRan, UpTo: send.Number}
	return Decision{Verdict: Replay, Outcome: r.outcome, Reason: ReasonDeclined}
}

func (r *row) join(now time.Time, send *Send) (Decision, bool) {
	switch {
	case r.fingerprint != send.Fingerprint:
		return Decision{Verdict: Mismatch}, true
	case r.outcome.allows(send):
		return r.start(now, send), true
	case r.outcome.Status == Running:
		r.waiters = append(r.waiters, send)
		return Decision{}, false
	}
	return replay(r.outcome), true
}

// Finish records the end of a request that Begin let run. A later answer
// replaces status Unsure.
func (t *Table) Finish(_ time.Time, key Key, outcome Outcome) {
	waiters, final := t.finish(key.String(), outcome)
	for _, waiter := range waiters {
		waiter.Decided(replay(final))
	}
}

func (t *Table) finish(key string, outcome Outcome) ([]*Send, Outcome) {
	shard := t.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	existing := shard.rows[key]
	if existing == nil || existing.outcome.Status == Ran {
		return nil, outcome
	}
	waiters := existing.waiters
	existing.waiters = nil
	if outcome.Status == NeverRan {
		invariant.Check(existing.outcome.Status == Running, invariant.NotRunIsTrue, "key %q is in state %d", key, existing.outcome.Status)
		outcome.UpTo = highestNumber(existing.number, waiters)
	}
	existing.outcome = outcome
	shard.keepAnswer(existing)
	return waiters, outcome
}

// highestNumber returns the highest send number that is answered as never run.
func highestNumber(number int, waiters []*Send) int {
	for _, waiter := range waiters {
		if !waiter.query {
			number = max(number, waiter.Number)
		}
	}
	return number
}

func (t *Table) shard(key string) *tableShard {
	return &t.shards[xxhash.Sum64String(key)%shardCount]
}

// keepAnswer keeps the newest answers within the bound.
func (s *tableShard) keepAnswer(added *row) {
	if added.outcome.Answer == nil {
		return
	}
	s.answers = append(s.answers, added)
	s.answerBytes += len(added.outcome.Answer.Body)
	for s.answerBytes > maxShardAnswerBytes && len(s.answers) > 1 {
		oldest := s.answers[0]
		s.answers = s.answers[1:]
		s.answerBytes -= len(oldest.outcome.Answer.Body)
		oldest.outcome.Answer = nil
	}
}

// expire drops keys whose token has expired.
func (s *tableShard) expire(now time.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].at) {
		key := s.expiry[0].key
		s.expiry = s.expiry[1:]
		existing := s.rows[key]
		if existing.outcome.Status == Running {
			s.expiry = append(s.expiry, expiring{key: key, at: now.Add(TokenLifetime)})
			continue
		}
		delete(s.rows, key)
	}
}
