package proxy

import (
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

const (
	// forwardPatience is how long the home of a recorded key may take before
	// this daemon turns to the record.
	forwardPatience = 300 * time.Millisecond
	// forwardGrace is the time an answer from the home may overrun the deadline.
	forwardGrace = 50 * time.Millisecond
	// forwardConnections bounds the connections to each other entry VM.
	forwardConnections = 256
)

// Locator returns the "ip:port" that serves callers of a daemon, and false if
// the daemon is not expected to answer.
type Locator func(owner idempotency.Owner) (string, bool)

// SetLocator sets how other daemons are found. It must be called before Serve.
func (p *Proxy) SetLocator(locate Locator) { p.locate = locate }

// home returns where to pass the call on to; false if this daemon decides about
// it.
func (c *call) home() (string, bool) {
	owner := c.key.Token.Home
	p := c.shard.proxy
	forwarded := len(c.request.Header.Peek(wire.HeaderForwarded)) > 0
	if owner.Incarnation == p.guard.Self().Incarnation || forwarded || p.locate == nil {
		return "", false
	}
	return p.locate(owner)
}

// Ends of a forwarding. Only the first counts.
const (
	forwardPending int32 = iota
	forwardAnswered
	forwardGivenUp
)

// forwarding is a call that was passed on to another entry daemon.
type forwarding struct {
	call  *call
	send  *idempotency.Send
	state atomic.Int32
	// timer gives up on the other daemon. It is touched only on the event loop of
	// the call; nil if its answer has to be waited for.
	timer *time.Timer
}

// forward passes the call on to the daemon at address, as a caller's request. It
// must be called on the event loop of the call.
func (c *call) forward(address string, send *idempotency.Send) {
	f := &forwarding{call: c, send: send}
	if c.key.Token.Kind == idempotency.Recorded {
		f.timer = time.AfterFunc(forwardPatience, func() { f.fallBack(true) })
	}
	handle := &targetclient.Attempt{
		Address: targetclient.Address{HostPort: address, MaxConnections: forwardConnections},
	}
	request := c.forwardRequest(time.Now())
	deadline := c.decision.Deadline.Add(forwardGrace)
	ended := func(response *fasthttp.Response, err error) {
		fasthttp.ReleaseRequest(request)
		f.done(response, err)
	}
	c.shard.proxy.client.Start(c.exchange.Loop(), handle, deadline, request, targetclient.HandlerFunc(ended))
}

func (c *call) forwardRequest(now time.Time) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	c.request.Header.CopyTo(&request.Header)
	request.SetBodyRaw(c.request.Body())
	request.Header.Del(fasthttp.HeaderConnection)
	request.Header.Set(wire.HeaderForwarded, wire.True)
	request.Header.Set(wire.HeaderAttemptID, c.shard.proxy.instance+"-forward-"+strconv.FormatUint(c.decision.ID, 36))
	request.Header.Set(wire.HeaderTimeout, strconv.FormatInt(max(c.decision.Deadline.Sub(now).Milliseconds(), 1), 10))
	return request
}

// setAttemptID puts the caller's attempt ID in place of the attempt's own, so
// that a daemon which passed the call on knows its answer.
func (c *call) setAttemptID(response *fasthttp.Response) {
	id := c.request.Header.Peek(wire.HeaderAttemptID)
	if len(id) == 0 {
		response.Header.Del(wire.HeaderAttemptID)
		return
	}
	response.Header.SetBytesV(wire.HeaderAttemptID, id)
}

func (f *forwarding) done(response *fasthttp.Response, err error) {
	if f.timer != nil {
		f.timer.Stop()
	}
	var notSent *targetclient.NotSentError
	switch {
	case errors.As(err, &notSent):
		f.fallBack(false)
	case err != nil:
		f.fallBack(true)
	default:
		f.relay(response)
		fasthttp.ReleaseResponse(response)
	}
}

// relay passes the answer on. After this daemon has turned to the record itself,
// only the target's own answer still counts.
func (f *forwarding) relay(response *fasthttp.Response) {
	outcome := string(response.Header.Peek(wire.HeaderOutcome))
	if outcome == "" {
		f.fallBack(true)
		return
	}
	if !f.end(forwardAnswered) && outcome != wire.OutcomeRan {
		return
	}
	response.Header.ResetConnectionClose()
	f.call.setAttemptID(response)
	f.call.exchange.ReplyOnLoop(response)
}

// end returns true for the first end of the forwarding.
func (f *forwarding) end(state int32) bool {
	return f.state.CompareAndSwap(forwardPending, state)
}

// fallBack goes on without the home. Sent means that the home may have the call.
func (f *forwarding) fallBack(sent bool) {
	if !f.end(forwardGivenUp) {
		return
	}
	if sent {
		f.send.Ambiguous = true
	}
	// An unrecorded key ends here: only its home may dispatch it.
	f.call.begin(f.send)
}
