package idempotency

import "time"

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
	StatusCode  int    `json:"status_code"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Outcome is the end of a request.
type Outcome struct {
	Status Status `json:"status"`
	// Answer is set with status Ran, unless it was too large to keep.
	Answer *Answer `json:"answer,omitempty"`
	// UpTo is set with status NeverRan: no send numbered up to it will be run.
	UpTo int `json:"up_to,omitempty"`
}

// allows reports whether a send may still be dispatched.
func (o Outcome) allows(send *Send) bool {
	return o.Status == NeverRan && send.Number > o.UpTo
}

// Reason is a stable code that explains an outcome without an answer.
type Reason string

// Reasons.
const (
	// ReasonOwnerGone means that the daemon which decides about the key doesn't
	// answer or has been restarted.
	ReasonOwnerGone Reason = "key_owner_gone"
	// ReasonTokenExpired means that the token is too old.
	ReasonTokenExpired Reason = "session_token_expired"
	// ReasonRecordFull means that the record has no room for another key.
	ReasonRecordFull Reason = "record_full"
	// ReasonRecordUnavailable means that the platform didn't confirm the record
	// in time.
	ReasonRecordUnavailable Reason = "record_unavailable"
	// ReasonAnswerLost means that the request may have run and its answer isn't
	// kept.
	ReasonAnswerLost Reason = "result_lost"
	// ReasonDeclined means that the daemon was told not to run the request.
	ReasonDeclined Reason = "declined"
)

// Send is one arrival of a request.
type Send struct {
	Key Key
	// Fingerprint identifies the content of the request.
	Fingerprint uint64
	// Number counts the resends of the request, from 0.
	Number int
	// Ambiguous is set when another daemon may hold this very send, or when the
	// caller doesn't number its resends.
	Ambiguous bool
	// Decline asks for the outcome of the request without running it. If it has
	// not begun, no send numbered up to this one will run.
	Decline bool
	// CommitBy is when the request must not be dispatched anymore.
	CommitBy time.Time
	// AnswerBy is when the sender stops waiting for an outcome.
	AnswerBy time.Time
	// Decided is called once, possibly from another goroutine.
	Decided func(Decision)

	query   bool
	decided bool
}

// onlySend reports whether no other send of the request can exist.
func (s *Send) onlySend() bool { return s.Number == 0 && !s.Ambiguous }

// notBegun returns the decision for a send that is not dispatched, with nothing
// known of other sends.
func (s *Send) notBegun(reason Reason) Decision {
	if s.onlySend() {
		return Decision{Verdict: Replay, Outcome: Outcome{Status: NeverRan}, Reason: reason}
	}
	return Decision{Verdict: Replay, Outcome: Outcome{Status: Unsure}, Reason: reason}
}

// Verdict says what to do with a request.
type Verdict int

// Verdicts.
const (
	// Run means that the request has to be dispatched, and Finish called.
	Run Verdict = iota
	// Replay means that Outcome is the end of the request.
	Replay
	// Mismatch means that the key was used for another request.
	Mismatch
)

// Decision says what to do with a send.
type Decision struct {
	Verdict Verdict
	Outcome Outcome
	// Reason explains an outcome without an answer.
	Reason Reason
}

// replay returns the decision for a request whose end is known.
func replay(outcome Outcome) Decision {
	decision := Decision{Verdict: Replay, Outcome: outcome}
	if outcome.Status == Unsure || (outcome.Status == Ran && outcome.Answer == nil) {
		decision.Reason = ReasonAnswerLost
	}
	return decision
}
