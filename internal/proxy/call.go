package proxy

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
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
	reasonKeyRequired    = "idempotency_key_required"
	reasonBadKey         = "bad_idempotency_key"
	reasonKeyReused      = "idempotency_key_reused"
	reasonNotOwner       = "not_owner"
	reasonResult         = "result_lost"
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
}

// Serve implements callerserver.Handler.
func (p *Proxy) Serve(request *fasthttp.Request, exchange *callerserver.Exchange) {
	now := time.Now()
	c, problem := p.newCall(request, exchange, now)
	if problem != nil {
		exchange.Reply(callerserver.ErrorResponse(problem.status, problem.reply))
		return
	}
	if c.key == nil {
		c.start(exchange.Loop())
		return
	}
	p.table.Begin(now, *c.key, fingerprint(request), c.decided)
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
	requestType := s.requestType(string(request.Header.Peek(wire.HeaderType)))
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

func (c *call) parseKey() *problem {
	text := string(c.request.Header.Peek(wire.HeaderIdempotencyKey))
	if c.decision.Type.Idempotent {
		return nil
	}
	if text == "" {
		return refusal(fasthttp.StatusBadRequest, reasonKeyRequired, "this request type needs the header "+wire.HeaderIdempotencyKey)
	}
	key, err := idempotency.ParseKey(text)
	if err != nil {
		return refusal(fasthttp.StatusBadRequest, reasonBadKey, err.Error())
	}
	c.key = &key
	return nil
}

func (s *shard) requestType(name string) *config.RequestType {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service.RequestType(name)
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

// fingerprint identifies the content of a request.
func fingerprint(request *fasthttp.Request) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{
		request.Header.Method(),
		request.Header.RequestURI(),
		request.Header.Peek(wire.HeaderService),
		request.Header.Peek(wire.HeaderType),
		request.Body(),
	} {
		_, _ = digest.Write(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// decided continues a non-idempotent call.
func (c *call) decided(decision idempotency.Decision) {
	switch decision.Verdict {
	case idempotency.Run:
		c.start(nil)
	case idempotency.Replay:
		c.replay(decision.Outcome)
	case idempotency.Mismatch:
		c.reply(fasthttp.StatusUnprocessableEntity, wire.OutcomeUnknown, reasonKeyReused)
	default:
		c.reply(fasthttp.StatusServiceUnavailable, wire.OutcomeUnknown, reasonNotOwner)
	}
}

// start passes the call to the scheduler. Current is the event loop that the
// caller runs on, or nil.
func (c *call) start(current gnet.EventLoop) {
	c.exchange.OnCallerGone(c.abandon)
	c.shard.event(current, func(now time.Time) []dispatch.Action {
		return c.shard.scheduler.Arrive(now, &c.decision)
	})
	c.shard.measure()
}

func (c *call) abandon() {
	c.shard.event(c.exchange.Loop(), func(now time.Time) []dispatch.Action {
		return c.shard.scheduler.Abandon(now, &c.decision)
	})
}

func (c *call) replay(outcome idempotency.Outcome) {
	switch outcome.Status {
	case idempotency.Ran:
		response := &fasthttp.Response{}
		response.SetStatusCode(outcome.Answer.StatusCode)
		response.Header.SetContentType(outcome.Answer.ContentType)
		response.Header.Set(wire.HeaderOutcome, wire.OutcomeRan)
		response.SetBody(outcome.Answer.Body)
		c.exchange.Reply(response)
	case idempotency.NeverRan:
		c.reply(fasthttp.StatusServiceUnavailable, wire.OutcomeNotRun, string(dispatch.ReasonUnavailable))
	default:
		c.reply(fasthttp.StatusGatewayTimeout, wire.OutcomeUnknown, reasonResult)
	}
}

// onLoop runs f on the call's event loop: at once if that is the current one.
func (c *call) onLoop(current gnet.EventLoop, f func()) {
	loop := c.exchange.Loop()
	if loop == current {
		f()
		return
	}
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

// settle carries out the end of the call.
func (c *call) settle(current gnet.EventLoop, action dispatch.Action) {
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
	response.Header.Set(wire.HeaderAttemptsSpent, strconv.Itoa(spent))
	if current == c.exchange.Loop() {
		c.exchange.ReplyOnLoop(response)
	} else {
		c.exchange.Reply(response)
	}
	fasthttp.ReleaseResponse(response)
}

// replyEnd answers that there is no answer.
func (c *call) replyEnd(status int, outcome string, action dispatch.Action) {
	response := callerserver.ErrorResponse(status, wire.ErrorReply{Outcome: outcome, Reason: string(action.Reason)})
	response.Header.Set(wire.HeaderAttemptsSpent, strconv.Itoa(action.Spent))
	c.exchange.Reply(response)
}

func (c *call) recordAnswer(response *fasthttp.Response) {
	if c.key != nil {
		c.record(idempotency.Outcome{Status: idempotency.Ran, Answer: answerOf(response)})
	}
}

func (c *call) record(outcome idempotency.Outcome) {
	if c.key != nil {
		c.shard.proxy.table.Finish(time.Now(), *c.key, outcome)
	}
}

func (c *call) reply(status int, outcome, reason string) {
	c.exchange.Reply(callerserver.ErrorResponse(status, wire.ErrorReply{Outcome: outcome, Reason: reason}))
}

func answerOf(response *fasthttp.Response) *idempotency.Answer {
	return &idempotency.Answer{
		StatusCode:  response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte(nil), response.Body()...),
	}
}
