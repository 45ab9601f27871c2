package peer

// MethodOutcome carries an OutcomeRequest and is answered by an
// idempotency.Outcome.
const MethodOutcome = "once.outcome"

// OutcomeRequest asks for the outcome of a recorded key that the receiver owns.
type OutcomeRequest struct {
	// Incarnation is the owner's. Another incarnation answers that it doesn't know.
	Incarnation string `json:"incarnation"`
	// Key is the idempotency key.
	Key string `json:"key"`
	// WaitMs is how long to wait for a request that is running, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
}
