package idempotency

import (
	"sync/atomic"
	"time"
)

// Guard decides about the non-idempotent requests of one daemon. It is safe for
// concurrent use.
type Guard struct {
	self     Owner
	table    *Table
	recorder *Recorder
	sessions atomic.Uint64
}

// NewGuard returns a guard. Recorder is nil for a daemon that keeps no records;
// it answers recorded keys as unknown.
func NewGuard(now time.Time, self Owner, recorder *Recorder) *Guard {
	return &Guard{self: self, table: NewTable(now, self), recorder: recorder}
}

// Self identifies the daemon.
func (g *Guard) Self() Owner { return g.self }

// Token returns a new session token: a recorded one if that is wanted and can be
// had.
func (g *Guard) Token(now time.Time, recorded bool) Token {
	session := g.sessions.Add(1)
	if recorded && g.recorder != nil {
		if token, ok := g.recorder.Token(now, session); ok {
			return token
		}
	}
	return g.table.Token(now, session)
}

// Begin decides about a send, possibly later.
func (g *Guard) Begin(now time.Time, send *Send) {
	switch {
	case send.Key.Token.Kind == Unrecorded:
		g.table.Begin(now, send)
	case g.recorder != nil:
		g.recorder.Begin(now, send)
	default:
		send.Decided(send.notBegun(ReasonRecordUnavailable))
	}
}

// Finish records the end of a request that Begin let run. A later answer
// replaces status Unsure.
func (g *Guard) Finish(now time.Time, key Key, outcome Outcome) {
	if outcome.Answer != nil && len(outcome.Answer.Body) > maxAnswerBytes {
		outcome.Answer = nil
	}
	if key.Token.Kind == Unrecorded {
		g.table.Finish(now, key, outcome)
		return
	}
	if g.recorder != nil {
		g.recorder.Finish(now, key, outcome)
	}
}
