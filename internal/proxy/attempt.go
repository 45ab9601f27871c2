package proxy

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// attemptIDBase is the base of the numbers in attempt IDs.
const attemptIDBase = 36

// attempt is the proxy's state of one attempt. It is the handle of the dispatch.Attempt.
type attempt struct {
	shard *shard
	call  *call
	// scheduled is the scheduler's part of the attempt, clientAttempt the target client's.
	scheduled     *dispatch.Attempt
	clientAttempt targetclient.Attempt
	// request is the request to the target while the attempt is in flight.
	request *fasthttp.Request
}

// newAttempt returns the proxy's state of an attempt that the scheduler starts.
func (s *shard) newAttempt(scheduled *dispatch.Attempt) *attempt {
	target := scheduled.Target
	return &attempt{
		shard:     s,
		call:      scheduled.Call.Payload.(*call),
		scheduled: scheduled,
		clientAttempt: targetclient.Attempt{
			Address: targetclient.Address{HostPort: target.Address, MaxConnections: target.MaxConnections},
		},
	}
}

// start sends the attempt on the event loop of the call. Current is the event loop that
// this function runs on, or nil.
func (a *attempt) start(current gnet.EventLoop) {
	loop := a.call.exchange.Loop()
	if loop == current {
		a.send(loop)
		return
	}
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		a.send(loop)
		return nil
	}))
}

// send sends the request to the target. It must be called on the event loop of the call.
func (a *attempt) send(loop gnet.EventLoop) {
	a.request = a.call.attemptRequest(a.scheduled, time.Now())
	a.shard.proxy.client.Start(loop, &a.clientAttempt, a.call.attemptDeadline(), a.request, a)
}

// Ended implements targetclient.Handler.
func (a *attempt) Ended(response *fasthttp.Response, err error) {
	fasthttp.ReleaseRequest(a.request)
	a.request = nil
	result := a.shard.proxy.resultOf(response, err)
	a.shard.attemptEnded(a.call.exchange.Loop(), a.scheduled, result, err)
}

// attemptDeadline is until when the response to an attempt is awaited.
func (c *call) attemptDeadline() time.Time {
	if c.scheduled.Type.Idempotent {
		return c.scheduled.Deadline
	}
	return c.scheduled.Deadline.Add(lateResponseLimit)
}

// attemptRequest returns the request that an attempt sends to its target.
func (c *call) attemptRequest(attempt *dispatch.Attempt, now time.Time) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	c.request.Header.CopyTo(&request.Header)
	request.SetBodyRaw(c.request.Body())
	left := max(c.scheduled.Deadline.Sub(now).Milliseconds(), 1)
	request.Header.Del(fasthttp.HeaderConnection)
	var buffer headerBuffer
	request.Header.SetBytesV(wire.HeaderTimeout, strconv.AppendInt(buffer[:0], left, 10))
	request.Header.SetBytesV(wire.HeaderAttempts, strconv.AppendInt(buffer[:0], int64(attempt.DownstreamAttempts()), 10))
	request.Header.SetBytesV(wire.HeaderAttemptID, c.appendAttemptID(buffer[:0], attempt))
	return request
}

// headerBuffer holds the value of a header on the stack, which saves allocations.
type headerBuffer [96]byte

// appendAttemptID appends the ID of an attempt, which is unique among all daemons.
func (c *call) appendAttemptID(buffer []byte, attempt *dispatch.Attempt) []byte {
	buffer = append(buffer, c.shard.proxy.instance...)
	buffer = append(buffer, '-')
	buffer = strconv.AppendUint(buffer, c.scheduled.ID, attemptIDBase)
	buffer = append(buffer, '-')
	return strconv.AppendUint(buffer, attempt.ID, attemptIDBase)
}

// resultOf returns the result of an attempt that ended with a response or an error.
func (p *Proxy) resultOf(response *fasthttp.Response, err error) dispatch.Result {
	if err != nil {
		return resultOfError(err)
	}
	result := dispatch.Result{
		Kind:        dispatch.Answered,
		ServerError: response.StatusCode() >= fasthttp.StatusInternalServerError,
		Leaving:     string(response.Header.Peek(wire.HeaderState)) == wire.StateLeaving,
		Answer:      response,
	}
	if string(response.Header.Peek(wire.HeaderNotRun)) == wire.True {
		result.Kind = dispatch.NotRun
	}
	result.Load = p.loadReport(response)
	result.DownstreamSpent, result.DownstreamSpentKnown = spentDownstream(response)
	return result
}

// resultOfError returns the result of an attempt that ended without a response.
func resultOfError(err error) dispatch.Result {
	var notSent *targetclient.NotSentError
	if errors.As(err, &notSent) {
		return dispatch.Result{Kind: dispatch.NotRun, Unreachable: unreachable(notSent)}
	}
	return dispatch.Result{Kind: dispatch.Lost}
}

// unreachable reports whether no connection to the target could be established. Otherwise
// this daemon didn't send the request: it was canceled or at its connection limit.
func unreachable(err *targetclient.NotSentError) bool {
	var limit *targetclient.ConnectionLimitError
	return !errors.Is(err, targetclient.ErrCanceled) && !errors.As(err, &limit)
}

// spentDownstream returns how many extra attempts the downstream calls of the attempt have
// used, and whether the target has reported that.
func spentDownstream(response *fasthttp.Response) (int, bool) {
	value := response.Header.Peek(wire.HeaderAttemptsSpent)
	if len(value) == 0 {
		return 0, false
	}
	spent, err := fasthttp.ParseUint(value)
	return spent, err == nil
}
