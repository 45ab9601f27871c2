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

// Error codes of answers about the request itself.
const (
	reasonUnknownService = "unknown_service"
	reasonUnknownType    = "unknown_type"
	reasonBadHeader      = "bad_header"
)

// lateAnswerLimit is how long after its deadline a non-idempotent attempt may
// still report its outcome.
const lateAnswerLimit = 30 * time.Second

// call is the driver's part of one call.
type call struct {
	shard    *shard
	exchange *callerserver.Exchange
	request  *fasthttp.Request
	key      *idempotency.Key
	decision dispatch.Call
	// undecided answers a non-idempotent call whose outcome isn't known in time.
	undecided *time.Timer
	// attempts counts the attempts that were started. The shard's lock guards it
	// until the call ends.
	attempts int
}

// Serve implements callerserver.Handler.
func (p *Proxy) Serve(request *fasthttp.Request, exchange *callerserver.Exchange) {
	now := time.Now()
	c, problem := p.newCall(request, exchange, now)
	if problem != nil {
		refuse(request, exchange, problem)
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
	c.beginOnce(now)
}

// problem is a refusal of a request before any attempt.
type problem struct {
	status int
	reply  wire.ErrorReply
}

func refusal(status int, reason, detail string) *problem {
	return &problem{status: status, reply: wire.ErrorReply{Outcome: wire.OutcomeNotRun, Reason: reason, Detail: detail}}
}

func (p *Proxy) newCall(request *fasthttp.Request, exchange *callerserver.Exchange, now time.Time) (*call, *problem) {
	s := (*p.shards.Load())[string(request.Header.Peek(wire.HeaderService))]
	if s == nil {
		return nil, refusal(fasthttp.StatusNotFound, reasonUnknownService, "the header "+wire.HeaderService+" names no configured service")
	}
	requestType := s.service.Load().RequestType(string(request.Header.Peek(wire.HeaderType)))
	if requestType == nil {
		return nil, refusal(fasthttp.StatusNotFound, reasonUnknownType, "the header "+wire.HeaderType+" names no request type of the service")
	}
	timeout, err := timeoutOf(request, requestType)
	if err != nil {
		return nil, refusal(fasthttp.StatusBadRequest, reasonBadHeader, err.Error())
	}
	attempts, err := headerInt(request, wire.HeaderAttempts, requestType.MaxAttempts)
	if err != nil || attempts < 1 {
		return nil, refusal(fasthttp.StatusBadRequest, reasonBadHeader, wire.HeaderAttempts+" must be a whole number above 0")
	}
	c := &call{shard: s, exchange: exchange, request: request}
	c.decision = dispatch.Call{
		ID:       p.nextCall.Add(1),
		Type:     requestType,
		Deadline: now.Add(timeout),
		Attempts: attempts,
		Caller:   exchange.CallerIP(),
		Payload:  c,
	}
	return c, c.parseKey()
}

// timeoutOf returns the time left for the answer: the caller's, but never more
// than the request type allows.
func timeoutOf(request *fasthttp.Request, requestType *config.RequestType) (time.Duration, error) {
	ms, err := headerInt(request, wire.HeaderTimeout, requestType.DeadlineMs)
	if err != nil {
		return 0, err
	}
	return time.Duration(min(ms, requestType.DeadlineMs)) * time.Millisecond, nil
}

func headerInt(request *fasthttp.Request, header string, absent int) (int, error) {
	value := request.Header.Peek(header)
	if len(value) == 0 {
		return absent, nil
	}
	number, err := fasthttp.ParseUint(value)
	if err != nil {
		return 0, &BadHeaderError{Header: header, Cause: err}
	}
	return number, nil
}

// BadHeaderError reports a header whose value can't be used.
type BadHeaderError struct {
	Header string
	Cause  error
}

// Error implements error.
func (e *BadHeaderError) Error() string { return e.Header + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadHeaderError) Unwrap() error { return e.Cause }

// start passes the call to the scheduler. Current is the event loop that the
// caller runs on, or nil.
func (c *call) start(current gnet.EventLoop) {
	c.exchange.WatchCaller(c)
	c.shard.event(current, func(now time.Time) []dispatch.Action {
		c.shard.use(now)
		actions := c.shard.scheduler.Arrive(now, &c.decision)
		c.shard.measure(now)
		return actions
	})
}

// CallerGone implements callerserver.CallerWatcher.
func (c *call) CallerGone() {
	c.shard.event(c.exchange.Loop(), func(now time.Time) []dispatch.Action {
		return c.shard.scheduler.Abandon(now, &c.decision)
	})
}

// settle carries out the end of the call.
func (c *call) settle(current gnet.EventLoop, action dispatch.Action) {
	c.endSuspicion(action)
	switch action.Kind {
	case dispatch.Reply:
		response := action.Answer.(*fasthttp.Response)
		c.recordAnswer(response)
		c.relay(current, response, action.Spent)
	case dispatch.Late:
		c.recordAnswer(action.Answer.(*fasthttp.Response))
	case dispatch.Refuse:
		c.record(idempotency.Outcome{Status: idempotency.NeverRan})
		c.replyEnd(fasthttp.StatusServiceUnavailable, wire.OutcomeNotRun, action)
	case dispatch.Unknown:
		c.record(idempotency.Outcome{Status: idempotency.Unsure})
		c.replyEnd(fasthttp.StatusGatewayTimeout, wire.OutcomeUnknown, action)
	}
}

// relay passes a target's answer on to the caller and releases it.
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

// releaseRequest gives the request back to the pool after an answer if nothing
// else can use it: the only attempt is over, and no record of the call is kept.
func (c *call) releaseRequest() {
	if c.key != nil || c.attempts > 1 {
		return
	}
	fasthttp.ReleaseRequest(c.request)
	c.request = nil
}

// replyEnd answers that there is no answer.
func (c *call) replyEnd(status int, outcome string, action dispatch.Action) {
	response := callerserver.ErrorResponse(status, wire.ErrorReply{Outcome: outcome, Reason: string(action.Reason)})
	response.Header.Set(wire.HeaderAttemptsSpent, strconv.Itoa(action.Spent))
	c.exchange.Reply(response)
}

func (c *call) reply(status int, outcome, reason string) {
	c.exchange.Reply(callerserver.ErrorResponse(status, wire.ErrorReply{Outcome: outcome, Reason: reason}))
}
