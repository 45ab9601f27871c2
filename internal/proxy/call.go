package proxy

import (
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// Reasons in responses to requests that can't be accepted.
const (
	reasonUnknownService = "unknown_service"
	reasonUnknownType    = "unknown_type"
	reasonBadHeader      = "bad_header"
)

// lateResponseLimit is how long after the deadline of a non-idempotent call the responses
// to its attempts are still awaited, in order to record the outcome.
const lateResponseLimit = 30 * time.Second

// call is the proxy's state of one call. It is the payload of the dispatch.Call.
type call struct {
	shard    *shard
	exchange *callerserver.Exchange
	request  *fasthttp.Request
	// key is the idempotency key; nil if the request type is idempotent.
	key *idempotency.Key
	// scheduled is the scheduler's part of the call.
	scheduled dispatch.Call
	// undecidedTimer responds to a non-idempotent call if the idempotency guard hasn't
	// decided about it by its deadline.
	undecidedTimer *time.Timer
	// attempts counts the attempts that were started. It is guarded by the lock of the
	// shard until the call ends.
	attempts int
}

// Serve implements callerserver.Handler.
func (p *Proxy) Serve(request *fasthttp.Request, exchange *callerserver.Exchange) {
	now := time.Now()
	c, rejected := p.newCall(request, exchange, now)
	if rejected != nil {
		reject(request, exchange, rejected)
		return
	}
	if c.key == nil && c.quarantined(now) {
		c.replyQuarantined()
		return
	}
	if c.key == nil {
		c.start(exchange.Loop())
		return
	}
	c.startNonIdempotent(now)
}

// rejection is the response to a request that is rejected before any attempt.
type rejection struct {
	status int
	reply  wire.ErrorReply
}

// newRejection returns a rejection of a request that has not run.
func newRejection(status int, reason, detail string) *rejection {
	return &rejection{status: status, reply: wire.ErrorReply{Outcome: wire.OutcomeNotRun, Reason: reason, Detail: detail}}
}

// newCall validates a request and returns its call, or why it is rejected.
func (p *Proxy) newCall(request *fasthttp.Request, exchange *callerserver.Exchange, now time.Time) (*call, *rejection) {
	s := (*p.shards.Load())[string(request.Header.Peek(wire.HeaderService))]
	if s == nil {
		return nil, newRejection(fasthttp.StatusNotFound, reasonUnknownService, "the header "+wire.HeaderService+" names no configured service")
	}
	requestType := s.service.Load().RequestType(string(request.Header.Peek(wire.HeaderType)))
	if requestType == nil {
		return nil, newRejection(fasthttp.StatusNotFound, reasonUnknownType, "the header "+wire.HeaderType+" names no request type of the service")
	}
	timeout, err := timeoutOf(request, requestType)
	if err != nil {
		return nil, newRejection(fasthttp.StatusBadRequest, reasonBadHeader, err.Error())
	}
	attempts, err := headerInt(request, wire.HeaderAttempts, requestType.MaxAttempts)
	if err != nil || attempts < 1 {
		return nil, newRejection(fasthttp.StatusBadRequest, reasonBadHeader, wire.HeaderAttempts+" must be a whole number above 0")
	}
	c := &call{shard: s, exchange: exchange, request: request}
	c.scheduled = dispatch.Call{
		ID:       p.nextCall.Add(1),
		Type:     requestType,
		Deadline: now.Add(timeout),
		Attempts: attempts,
		Caller:   exchange.CallerIP(),
		Payload:  c,
	}
	return c, c.parseKey()
}

// timeoutOf returns the time within which the caller must get a response: the timeout that
// the caller sent, but at most that of the request type.
func timeoutOf(request *fasthttp.Request, requestType *config.RequestType) (time.Duration, error) {
	ms, err := headerInt(request, wire.HeaderTimeout, requestType.DeadlineMs)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(ms, requestType.DeadlineMs)) * time.Millisecond, nil
}

// headerInt returns the number in a header, or defaultValue if the header is missing.
func headerInt(request *fasthttp.Request, header string, defaultValue int) (int, error) {
	value := request.Header.Peek(header)
	if len(value) == 0 {
		return defaultValue, nil
	}
	number, err := fasthttp.ParseUint(value)
	if err != nil {
		return 0, &BadHeaderError{Header: header, Cause: err}
	}
	return number, nil
}

// BadHeaderError reports a header with an invalid value.
type BadHeaderError struct {
	Header string
	Cause  error
}

// Error implements error.
func (e *BadHeaderError) Error() string { return e.Header + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadHeaderError) Unwrap() error { return e.Cause }

// start passes the call to the scheduler. Current is the event loop that this function
// runs on, or nil.
func (c *call) start(current gnet.EventLoop) {
	c.exchange.WatchCaller(c)
	c.shard.handleEvent(current, func(now time.Time) []dispatch.Action {
		c.shard.ensureScheduler(now)
		actions := c.shard.scheduler.Arrive(now, &c.scheduled)
		c.shard.startProbe(now)
		return actions
	})
}

// CallerDisconnected implements callerserver.CallerWatcher.
func (c *call) CallerDisconnected() {
	c.shard.handleEvent(c.exchange.Loop(), func(now time.Time) []dispatch.Action {
		return c.shard.scheduler.Abandon(now, &c.scheduled)
	})
}

// complete carries out the action that ends a call: it responds to the caller and records
// the outcome of a non-idempotent call.
func (c *call) complete(current gnet.EventLoop, action dispatch.Action) {
	c.reportEnd(action)
	switch action.Kind {
	case dispatch.Reply:
		response := action.Answer.(*fasthttp.Response)
		c.recordResponse(response)
		c.relay(current, response, action.Spent)
	case dispatch.LateResponse:
		c.recordResponse(action.Answer.(*fasthttp.Response))
	case dispatch.Refuse:
		c.record(idempotency.Outcome{Status: idempotency.NeverRan})
		c.replyWithoutResponse(fasthttp.StatusServiceUnavailable, wire.OutcomeNotRun, action)
	case dispatch.ReplyUnknown:
		c.record(idempotency.Outcome{Status: idempotency.Unsure})
		c.replyWithoutResponse(fasthttp.StatusGatewayTimeout, wire.OutcomeUnknown, action)
	}
}

// relay sends a target's response to the caller and releases it.
func (c *call) relay(current gnet.EventLoop, response *fasthttp.Response, spent int) {
	response.Header.ResetConnectionClose()
	response.Header.Set(wire.HeaderOutcome, wire.OutcomeRan)
	c.setAttemptID(response)
	response.Header.Set(wire.HeaderAttemptsSpent, strconv.Itoa(spent))
	if current == c.exchange.Loop() {
		c.exchange.ReplyOnLoop(response)
	} else {
		c.exchange.Reply(response)
	}
	fasthttp.ReleaseResponse(response)
	c.releaseRequest()
}

// releaseRequest returns the request to the pool after the response was sent, if nothing
// can still use it: there was a single attempt, and the call has no idempotency key.
func (c *call) releaseRequest() {
	if c.key != nil || c.attempts > 1 {
		return
	}
	fasthttp.ReleaseRequest(c.request)
	c.request = nil
}

// replyWithoutResponse tells the caller that the call ended without a response of a
// target.
func (c *call) replyWithoutResponse(status int, outcome string, action dispatch.Action) {
	response := callerserver.ErrorResponse(status, wire.ErrorReply{Outcome: outcome, Reason: string(action.Reason)})
	response.Header.Set(wire.HeaderAttemptsSpent, strconv.Itoa(action.Spent))
	c.exchange.Reply(response)
}

// replyError sends an error response.
func (c *call) replyError(status int, outcome, reason string) {
	c.exchange.Reply(callerserver.ErrorResponse(status, wire.ErrorReply{Outcome: outcome, Reason: reason}))
}
