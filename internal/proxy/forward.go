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
	// recordFallbackDelay is how long the home daemon of a recorded key may take to respond
	// before this daemon handles the call with the record itself.
	recordFallbackDelay = 300 * time.Millisecond
	// forwardGrace is how long after the deadline a response of the home daemon is still
	// awaited.
	forwardGrace = 50 * time.Millisecond
	// forwardConnections limits the connections to each other entry VM.
	forwardConnections = 256
)

// Locator returns the address ("ip:port") at which a daemon serves callers. It returns
// false if the daemon isn't expected to respond.
type Locator func(owner idempotency.Owner) (string, bool)

// SetLocator sets the function that finds other daemons. It must be called before Serve.
func (p *Proxy) SetLocator(locate Locator) { p.locate = locate }

// homeAddress returns the address of the home daemon of the call's idempotency key, which
// is the daemon that issued its token. It returns false if this daemon has to handle the
// call: it is the home daemon itself, the call was already forwarded once, or the home
// daemon isn't available.
func (c *call) homeAddress() (string, bool) {
	owner := c.key.Token.Home
	p := c.shard.proxy
	forwarded := len(c.request.Header.Peek(wire.HeaderForwarded)) > 0
	if owner.Incarnation == p.guard.Self().Incarnation || forwarded || p.locate == nil {
		return "", false
	}
	return p.locate(owner)
}

// States of a forwarded call. It leaves forwardPending once.
const (
	forwardPending int32 = iota
	// forwardAnswered means that the home daemon responded.
	forwardAnswered
	// forwardAbandoned means that this daemon handles the call itself.
	forwardAbandoned
)

// forwardedCall is a call that was forwarded to its home daemon.
type forwardedCall struct {
	call  *call
	send  *idempotency.Send
	state atomic.Int32
	// timer lets this daemon handle the call if the home daemon takes too long; nil if
	// only the home daemon may run it. It is used on the event loop of the call only.
	timer *time.Timer
}

// forward sends the call to the home daemon at an address, like a request of a caller. It
// must be called on the event loop of the call.
func (c *call) forward(address string, send *idempotency.Send) {
	f := &forwardedCall{call: c, send: send}
	if c.key.Token.Kind == idempotency.Recorded {
		f.timer = time.AfterFunc(recordFallbackDelay, func() { f.fallBack(true) })
	}
	handle := &targetclient.Attempt{
		Address: targetclient.Address{HostPort: address, MaxConnections: forwardConnections},
	}
	request := c.forwardRequest(time.Now())
	deadline := c.scheduled.Deadline.Add(forwardGrace)
	onEnd := func(response *fasthttp.Response, err error) {
		fasthttp.ReleaseRequest(request)
		f.ended(response, err)
	}
	c.shard.proxy.client.Start(c.exchange.Loop(), handle, deadline, request, targetclient.HandlerFunc(onEnd))
}

// forwardRequest returns the request that is sent to the home daemon.
func (c *call) forwardRequest(now time.Time) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	c.request.Header.CopyTo(&request.Header)
	request.SetBodyRaw(c.request.Body())
	request.Header.Del(fasthttp.HeaderConnection)
	request.Header.Set(wire.HeaderForwarded, wire.True)
	request.Header.Set(wire.HeaderAttemptID, c.shard.proxy.instance+"-forward-"+strconv.FormatUint(c.scheduled.ID, 36))
	request.Header.Set(wire.HeaderTimeout, strconv.FormatInt(max(c.scheduled.Deadline.Sub(now).Milliseconds(), 1), 10))
	return request
}

// setAttemptID replaces the attempt ID in a response by that of the caller's request, if
// it has one: a daemon that forwarded the call matches the response by it.
func (c *call) setAttemptID(response *fasthttp.Response) {
	id := c.request.Header.Peek(wire.HeaderAttemptID)
	if len(id) == 0 {
		response.Header.Del(wire.HeaderAttemptID)
		return
	}
	response.Header.SetBytesV(wire.HeaderAttemptID, id)
}

// ended handles the end of the request to the home daemon.
func (f *forwardedCall) ended(response *fasthttp.Response, err error) {
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

// relay sends the response of the home daemon to the caller. If this daemon has begun to
// handle the call itself, only a response that comes from a target is still sent.
func (f *forwardedCall) relay(response *fasthttp.Response) {
	outcome := string(response.Header.Peek(wire.HeaderOutcome))
	if outcome == "" {
		f.fallBack(true)
		return
	}
	if !f.leavePending(forwardAnswered) && outcome != wire.OutcomeRan {
		return
	}
	response.Header.ResetConnectionClose()
	f.call.setAttemptID(response)
	f.call.exchange.ReplyOnLoop(response)
}

// leavePending sets the state if it is still pending, and reports whether it did.
func (f *forwardedCall) leavePending(state int32) bool {
	return f.state.CompareAndSwap(forwardPending, state)
}

// fallBack lets this daemon handle the call itself. Sent is set if the home daemon may have
// received it.
func (f *forwardedCall) fallBack(sent bool) {
	if !f.leavePending(forwardAbandoned) {
		return
	}
	if sent {
		f.send.Ambiguous = true
	}
	// With an unrecorded key the guard doesn't run the call: only its home daemon may.
	f.call.decideLocally(f.send)
}
