package idempotency

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is the state of a key.
type Status int

// States of keys.
const (
	// Running means that an attempt may be under way.
	Running Status = iota
	// Ran means that the answer is known.
	Ran
	// Unsure means that the request may have run and its answer is lost.
	Unsure
	// NeverRan means that no attempt has begun.
	NeverRan
)

// Answer is a target's answer, kept for resends.
type Answer struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// Outcome is the end of a request.
type Outcome struct {
	Status Status
	// Answer is set with status Ran.
	Answer *Answer
}

// Verdict says what to do with a request.
type Verdict int

// Verdicts.
const (
	// Run means that the caller of Begin dispatches the request and calls Finish.
	Run Verdict = iota
	// Replay means that Outcome is the end of an earlier send.
	Replay
	// Mismatch means that the key was used for another request.
	Mismatch
	// NotOwner means that another daemon decides about the key.
	NotOwner
)

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	Outcome Outcome
}

const (
	// shardCount is the number of separately locked parts of a table.
	shardCount = 16
	// retention is how long the outcome of a key is kept.
	retention = 10 * time.Minute
)

// Table keeps the keys of one incarnation. It is safe for concurrent use.
type Table struct {
	incarnation string
	shards      [shardCount]tableShard
}

type tableShard struct {
	mu      sync.Mutex
	records map[string]*record
	expiry  []expiring
}

type expiring struct {
	key string
	at  time.Time
}

type record struct {
	fingerprint uint64
	outcome     Outcome
	waiters     []func(Decision)
}

// NewTable returns an empty table for one incarnation.
func NewTable(incarnation string) *Table {
	t := &Table{incarnation: incarnation}
	for i := range t.shards {
		t.shards[i].records = map[string]*record{}
	}
	return t
}

// Begin calls decided once, possibly later from another goroutine. Fingerprint
// identifies the content of the request.
func (t *Table) Begin(now time.Time, key Key, fingerprint uint64, decided func(Decision)) {
	if key.Token.Incarnation != t.incarnation {
		decided(Decision{Verdict: NotOwner})
		return
	}
	decision, ready := t.begin(now, key.String(), fingerprint, decided)
	if ready {
		decided(decision)
	}
}

func (t *Table) begin(now time.Time, key string, fingerprint uint64, decided func(Decision)) (Decision, bool) {
	shard := t.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.expire(now)
	existing := shard.records[key]
	switch {
	case existing == nil:
		shard.records[key] = &record{fingerprint: fingerprint}
		return Decision{Verdict: Run}, true
	case existing.fingerprint != fingerprint:
		return Decision{Verdict: Mismatch}, true
	case existing.outcome.Status == NeverRan:
		existing.outcome = Outcome{}
		return Decision{Verdict: Run}, true
	case existing.outcome.Status == Running:
		existing.waiters = append(existing.waiters, decided)
		return Decision{}, false
	}
	return Decision{Verdict: Replay, Outcome: existing.outcome}, true
}

// Finish records the end of a request that Begin let run. A later answer
// replaces status Unsure.
func (t *Table) Finish(now time.Time, key Key, outcome Outcome) {
	for _, waiter := range t.finish(now, key.String(), outcome) {
		waiter(Decision{Verdict: Replay, Outcome: outcome})
	}
}

func (t *Table) finish(now time.Time, key string, outcome Outcome) []func(Decision) {
	shard := t.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	existing := shard.records[key]
	if existing == nil || existing.outcome.Status == Ran {
		return nil
	}
	existing.outcome = outcome
	waiters := existing.waiters
	existing.waiters = nil
	shard.expiry = append(shard.expiry, expiring{key: key, at: now.Add(retention)})
	return waiters
}

func (t *Table) shard(key string) *tableShard {
	return &t.shards[xxhash.Sum64String(key)%shardCount]
}

// expire drops outcomes whose retention is over.
func (s *tableShard) expire(now time.Time) {
	for len(s.expiry) > 0 && s.expiry[0].at.Before(now) {
		delete(s.records, s.expiry[0].key)
		s.expiry = s.expiry[1:]
	}
}
