package callerserver

import (
	"sync/atomic"

	"github.com/poplarwheel/poplarwheel/internal/monotonic"
)

// connState is the state of one connection. Except for the atomic fields, it is accessed
// only on the connection's event loop.
type connState struct {
	open bool
	// callerIP is set when the connection is opened.
	callerIP string
	// exchange is the oldest unfinished exchange, or nil.
	exchange *Exchange
	// queued holds the started exchanges behind exchange, in the order of their requests.
	queued []*Exchange
	// blocked is set while the next request must wait for all requests before it.
	blocked bool
	// discarding is set once the caller has sent more than the limits while its requests were
	// served. The connection closes after their responses.
	discarding bool
	// discarded is the number of bytes that were discarded since.
	discarded int
	// continueSent is set once "100 Continue" was sent for the incomplete request.
	continueSent bool
	// buffered is this connection's share of Server.buffered.
	buffered int64
	// requestSize is the size of the incomplete request, 0 if not yet known or if the requests
	// before it are unanswered.
	requestSize int
	// upload is the incomplete request if its body is taken over as it arrives and no request
	// before it is unfinished.
	upload *upload
	// input is the size of the connection's buffer that counts in the server's budget, and output
	// that of responses that the caller has yet to receive.
	input, output int
	// progress is when bytes of the request or of the response were last transferred.
	progress monotonic.Instant
	// pipelined is set while exchanges are queued behind exchange.
	pipelined atomic.Bool
	// waitingSince is the time since which the server waits for the caller. It is unset
	// while a request is served.
	waitingSince monotonic.Instant
	// phase is one of the phase constants.
	phase atomic.Int32
}

// Phases of a connection. They decide which timeout applies to it.
const (
	// phaseIdle: no request has arrived.
	phaseIdle int32 = iota
	// phasePartial: a request has arrived in part.
	phasePartial
	// phaseServing: the handler has yet to respond.
	phaseServing
	// phaseFlushing: the response is being sent.
	phaseFlushing
	// phaseClosing: the sending side is closed and the caller has yet to close.
	phaseClosing
)
