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

// idBase is the base of the numbers in attempt IDs.
const idBase = 36

// attempt is the driver's part of one attempt.
type attempt struct {
	shard    *shard
	call     *call
	decision *dispatch.Attempt
	exchange targetclient.Attempt
	// request is what is sent to the target, from the start to the end.
	request *fasthttp.Request
}

func (s *shard) newAttempt(decision *dispatch.Attempt) *attempt {
	target := decision.Target
	return &attempt{
		shard:    s,
		call:     decision.Call.Payload.(*call),
		decision: decision,
		exchange: targetclient.Attempt{
			Address: targetclient.Address{HostPort: target.Address, MaxConnections: target.MaxConnections},
		},
	}
}

// start makes the attempt on the call's event loop. Current is the event loop
// that the caller runs on, or nil.
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

func (a *attempt) send(loop gnet.EventLoop) {
	a.request = a.call.attemptRequest(a.decision, time.Now())
	a.shard.proxy.client.Start(loop, &a.exchange, a.call.attemptDeadline(), a.request, a)
}

// Ended implements targetclient.Handler.
func (a *attempt) Ended(response *fasthttp.Response, err error) {
	fasthttp.ReleaseRequest(a.request)
	a.request = nil
	result := a.shard.proxy.resultOf(response, err)
	a.shard.finished(a.call.exchange.Loop(), a.decision, result, err)
}

// attemptDeadline is when the attempt's connection gives up.
func (c *call) attemptDeadline() time.Time {
	if c.decision.Type.Idempotent {
		return c.decision.Deadline
	}
	return c.decision.Deadline.Add(lateAnswerLimit)
}

// attemptRequest returns the request as sent to the target.
func (c *call) attemptRequest(attempt *dispatch.Attempt, now time.Time) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	c.request.Header.CopyTo(&request.Header)
	request.SetBodyRaw(c.request.Body())
	left := max(c.decision.Deadline.Sub(now).Milliseconds(), 1)
	request.Header.Del(fasthttp.HeaderConnection)
	var buffer headerBuffer
	request.Header.SetBytesV(wire.HeaderTimeout, strconv.AppendInt(buffer[:0], left, 10))
	request.Header.SetBytesV(wire.HeaderAttempts, strconv.AppendInt(buffer[:0], int64(attempt.Allowance()), 10))
	request.Header.SetBytesV(wire.HeaderAttemptID, c.appendAttemptID(buffer[:0], attempt))
	return request
}

// headerBuffer holds a header's value on the stack.
type headerBuffer [96]byte

// appendAttemptID appends what identifies an attempt among those of all daemons.
func (c *call) appendAttemptID(buffer []byte, attempt *dispatch.Attempt) []byte {
	buffer = append(buffer, c.shard.proxy.instance...)
	buffer = append(buffer, '-')
	buffer = strconv.AppendUint(buffer, c.decision.ID, idBase)
	buffer = append(buffer, '-')
	return strconv.AppendUint(buffer, attempt.ID, idBase)
}

// resultOf classifies the end of an attempt.
func (p *Proxy) resultOf(response *fasthttp.Response, err error) dispatch.Result {
	if err != nil {
		return failureOf(err)
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
	result.Load = p.loadOf(response)
	result.SpentBelow, result.SpentKnown = spentBelow(response)
	return result
}

// failureOf classifies the end of an attempt without an answer.
func failureOf(err error) dispatch.Result {
	var notSent *targetclient.NotSentError
	if errors.As(err, &notSent) {
		return dispatch.Result{Kind: dispatch.NotRun, Unreachable: unreachable(notSent)}
	}
	return dispatch.Result{Kind: dispatch.Lost}
}

// unreachable reports whether the target took no connection, in contrast to this
// daemon's own reasons for not sending.
func unreachable(err *targetclient.NotSentError) bool {
	var limit *targetclient.ConnectionLimitError
	return !errors.Is(err, targetclient.ErrCanceled) && !errors.As(err, &limit)
}

// spentBelow returns the further attempts that the target reports, and whether
// it reports them.
func spentBelow(response *fasthttp.Response) (int, bool) {
	value := response.Header.Peek(wire.HeaderAttemptsSpent)
	if len(value) == 0 {
		return 0, false
	}
	spent, err := fasthttp.ParseUint(value)
	return spent, err == nil
}
