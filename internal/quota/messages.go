package quota

import "time"

// Ask asks the owner for permits.
type Ask struct {
	Items []AskItem `json:"items"`
}

// AskItem asks for permits of a workspace.
type AskItem struct {
	Workspace string `json:"w"`
	// Count is the number of permits wanted.
	Count int `json:"n"`
	// Rate, Burst and Revision are the workspace's limit as the sender knows it.
	Rate     float64 `json:"r"`
	Burst    float64 `json:"b"`
	Revision uint64  `json:"v"`
	// Used is the number of requests that the sender admitted without a permit after its start. They
	// are taken from the bucket.
	Used int `json:"u,omitempty"`
}

// AskReply answers an Ask.
type AskReply struct {
	// Owner is set if the receiver is the owner. Granted are then the numbers of permits, one for
	// each item.
	Owner   bool  `json:"owner,omitempty"`
	Granted []int `json:"g,omitempty"`
	// Holder is the address of the owner, if the receiver knows another one.
	Holder string `json:"holder,omitempty"`
	// Unable is set if the receiver can't become the owner.
	Unable bool `json:"unable,omitempty"`
}

// VoteRequest asks for the receiver's vote, or to renew it.
type VoteRequest struct {
	// Candidate is the address of the sender, Incarnation tells its starts apart.
	Candidate   string `json:"c"`
	Incarnation uint64 `json:"i"`
	// Round grows with each round of votes of an incarnation.
	Round uint64 `json:"n"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Granted bool `json:"ok,omitempty"`
	// FreeMillis is the time since the end of the vote before this one.
	FreeMillis int64 `json:"free,omitempty"`
	// Holder is who has the receiver's vote, if it isn't the sender, and LeftMillis the time until
	// it ends.
	Holder     string `json:"holder,omitempty"`
	LeftMillis int64  `json:"left,omitempty"`
	// Known is the number of daemons that the receiver knows, itself included.
	Known int `json:"k"`
}

// Release gives back the votes up to a round.
type Release struct {
	Candidate   string `json:"c"`
	Incarnation uint64 `json:"i"`
	Round       uint64 `json:"n"`
}

// Message is a message to send. One of Ask, Vote and Release is set.
type Message struct {
	// To is the address of the receiver.
	To string
	// ID identifies a question when its reply is passed to AskReplied.
	ID      uint64
	Ask     *Ask
	Vote    *VoteRequest
	Release *Release
}

// Decision is the end of a request's wait.
type Decision struct {
	Waiter  *Waiter
	Verdict Verdict
}

// Outcome says what happens with a request.
type Outcome int

// Outcomes.
const (
	// Waiting means that a Decision follows.
	Waiting Outcome = iota
	Admitted
	Rejected
)

// Verdict is the decision on a request.
type Verdict struct {
	Outcome Outcome
	// Permit is that of an admitted request.
	Permit Permit
	// RetryAfter is the time after which the caller of a rejected request should return.
	RetryAfter time.Duration
}

// Permit allows one request of a workspace.
type Permit struct {
	workspace string
	expires   time.Duration
}

// Event is a change that is worth a log line.
type Event int

// Events.
const (
	// BecameOwner and LostOwnership are about this daemon.
	BecameOwner Event = iota
	LostOwnership
	// FallbackBegan and FallbackEnded tell when this daemon reaches no owner.
	FallbackBegan
	FallbackEnded
)

// Output is what the caller of a Node has to do after an input.
type Output struct {
	Messages  []Message
	Decisions []Decision
	Events    []Event
}

// Counts are counters since the start.
type Counts struct {
	// Admitted and Rejected count requests, Fallback those of the admitted ones without a permit
	// of an owner.
	Admitted, Rejected, Fallback uint64
	// Startup counts those that were admitted before this daemon found an owner after its start.
	Startup uint64
	// Granted counts the permits that this daemon has granted as the owner.
	Granted uint64
	// Asks, Votes and Releases count messages sent.
	Asks, Votes, Releases uint64
}
