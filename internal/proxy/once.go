package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/fingerprint"
	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// Error codes of answers about idempotency keys.
const (
	reasonKeyRequired    = "idempotency_key_required"
	reasonBadKey         = "bad_idempotency_key"
	reasonKeyReused      = "idempotency_key_reused"
	reasonRecordRequired = "record_required"
)

// commitWait bounds the wait for a record before a request is dispatched.
const commitWait = time.Second

func (c *call) parseKey() *problem {
	if c.decision.Type.Idempotent {
		return nil
	}
	text := string(c.request.Header.Peek(wire.HeaderIdempotencyKey))
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

// refuse answers a request that this daemon can't even take. On a resend that
// says nothing of the sends before.
func refuse(request *fasthttp.Request, exchange *callerserver.Exchange, problem *problem) {
	number, numbered := resendNumber(request)
	keyed := len(request.Header.Peek(wire.HeaderIdempotencyKey)) > 0
	if number > 0 || (keyed && !numbered) {
		problem.reply.Outcome = wire.OutcomeUnknown
	}
	exchange.Reply(callerserver.ErrorResponse(problem.status, problem.reply))
}

// resendNumber returns the caller's number of a send, and whether there is one.
func resendNumber(request *fasthttp.Request) (int, bool) {
	number, err := fasthttp.ParseUint(request.Header.Peek(wire.HeaderResend))
	if err != nil {
		return 0, false
	}
	return number, true
}

// beginOnce starts a call that must run at most once: here, or at the daemon
// that its key names.
func (c *call) beginOnce(now time.Time) {
	send := c.newSend(now)
	if home, ok := c.home(); ok {
		c.forward(home, send)
		return
	}
	c.begin(send)
}

func (c *call) newSend(now time.Time) *idempotency.Send {
	number, numbered := resendNumber(c.request)
	return &idempotency.Send{
		Key:         *c.key,
		Fingerprint: fingerprintOf(c.request),
		Number:      number,
		Ambiguous:   !numbered,
		Decline:     c.needsRecord() || c.quarantined(now),
		CommitBy:    earlier(c.decision.Deadline, now.Add(commitWait)),
		AnswerBy:    c.decision.Deadline,
		Decided:     c.decided,
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// needsRecord reports whether the call must not run under an unrecorded key.
func (c *call) needsRecord() bool {
	rules := c.decision.Type
	return rules.Recorded && rules.PlatformDown == config.OutageRefuse && c.key.Token.Kind == idempotency.Unrecorded
}

// begin lets this daemon decide about the call.
func (c *call) begin(send *idempotency.Send) {
	c.undecided = time.AfterFunc(time.Until(c.decision.Deadline), func() {
		c.reply(fasthttp.StatusGatewayTimeout, wire.OutcomeUnknown, string(dispatch.ReasonDeadline))
	})
	c.shard.proxy.guard.Begin(time.Now(), send)
}

// fingerprintOf identifies the content of a request.
func fingerprintOf(request *fasthttp.Request) uint64 {
	return fingerprint.Of(
		request.Header.Method(),
		request.Header.RequestURI(),
		request.Header.Peek(wire.HeaderService),
		request.Header.Peek(wire.HeaderType),
		request.Body(),
	)
}

// decided continues a non-idempotent call.
func (c *call) decided(decision idempotency.Decision) {
	c.undecided.Stop()
	switch decision.Verdict {
	case idempotency.Run:
		c.start(nil)
	case idempotency.Replay:
		c.replay(decision)
	case idempotency.Mismatch:
		c.reply(fasthttp.StatusUnprocessableEntity, wire.OutcomeUnknown, reasonKeyReused)
	}
}

func (c *call) replay(decision idempotency.Decision) {
	outcome := decision.Outcome
	switch {
	case outcome.Status == idempotency.Ran && outcome.Answer != nil:
		response := &fasthttp.Response{}
		response.SetStatusCode(outcome.Answer.StatusCode)
		response.Header.SetContentType(outcome.Answer.ContentType)
		response.Header.Set(wire.HeaderOutcome, wire.OutcomeRan)
		response.SetBody(outcome.Answer.Body)
		c.exchange.Reply(response)
	case outcome.Status == idempotency.NeverRan:
		c.reply(fasthttp.StatusServiceUnavailable, wire.OutcomeNotRun, c.reasonNotRun(decision.Reason))
	default:
		c.reply(fasthttp.StatusGatewayTimeout, wire.OutcomeUnknown, string(decision.Reason))
	}
}

func (c *call) reasonNotRun(reason idempotency.Reason) string {
	switch {
	case reason == "":
		return string(dispatch.ReasonUnavailable)
	case reason == idempotency.ReasonDeclined && c.needsRecord():
		return reasonRecordRequired
	case reason == idempotency.ReasonDeclined:
		return reasonQuarantined
	}
	return string(reason)
}

func (c *call) recordAnswer(response *fasthttp.Response) {
	if c.key != nil {
		c.record(idempotency.Outcome{Status: idempotency.Ran, Answer: answerOf(response)})
	}
}

func (c *call) record(outcome idempotency.Outcome) {
	if c.key != nil {
		c.shard.proxy.guard.Finish(time.Now(), *c.key, outcome)
	}
}

func answerOf(response *fasthttp.Response) *idempotency.Answer {
	return &idempotency.Answer{
		StatusCode:  response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte(nil), response.Body()...),
	}
}
