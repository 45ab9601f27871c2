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

// Reasons in responses to requests that can't run because of their idempotency key or its
// kind.
const (
	reasonKeyRequired    = "idempotency_key_required"
	reasonBadKey         = "bad_idempotency_key"
	reasonKeyReused      = "idempotency_key_reused"
	reasonRecordRequired = "record_required"
)

// maxCommitWait bounds the wait for a write of the record before a request is dispatched.
const maxCommitWait = time.Second

// parseKey sets the idempotency key, which calls of non-idempotent types must have.
func (c *call) parseKey() *rejection {
	if c.scheduled.Type.Idempotent {
		return nil
	}
	text := string(c.request.Header.Peek(wire.HeaderIdempotencyKey))
	if text == "" {
		return newRejection(fasthttp.StatusBadRequest, reasonKeyRequired, "this request type needs the header "+wire.HeaderIdempotencyKey)
	}
	key, err := idempotency.ParseKey(text)
	if err != nil {
		return newRejection(fasthttp.StatusBadRequest, reasonBadKey, err.Error())
	}
	c.key = &key
	return nil
}

// reject responds to a request that can't be accepted. If it may be a resend, its outcome
// is unknown, since an earlier send may have run.
func reject(request *fasthttp.Request, exchange *callerserver.Exchange, rejected *rejection) {
	number, numbered := resendNumber(request)
	keyed := len(request.Header.Peek(wire.HeaderIdempotencyKey)) > 0
	if number > 0 || (keyed && !numbered) {
		rejected.reply.Outcome = wire.OutcomeUnknown
	}
	exchange.Reply(callerserver.ErrorResponse(rejected.status, rejected.reply))
}

// resendNumber returns how many times the caller has sent the request before, and whether
// the caller says so.
func resendNumber(request *fasthttp.Request) (int, bool) {
	number, err := fasthttp.ParseUint(request.Header.Peek(wire.HeaderResend))
	if err != nil {
		return 0, false
	}
	return number, true
}

// startNonIdempotent starts a call that must run at most once. It forwards the call to the
// home daemon of its key, if that is another daemon that is available.
func (c *call) startNonIdempotent(now time.Time) {
	send := c.newSend(now)
	if homeAddress, ok := c.homeAddress(); ok {
		c.forward(homeAddress, send)
		return
	}
	c.decideLocally(send)
}

// newSend describes this send of the request to the idempotency guard.
func (c *call) newSend(now time.Time) *idempotency.Send {
	number, numbered := resendNumber(c.request)
	return &idempotency.Send{
		Key:         *c.key,
		Fingerprint: fingerprintOf(c.request),
		Number:      number,
		Ambiguous:   !numbered,
		Decline:     c.needsRecord() || c.quarantined(now),
		CommitBy:    earlier(c.scheduled.Deadline, now.Add(maxCommitWait)),
		AnswerBy:    c.scheduled.Deadline,
		Decided:     c.decided,
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// needsRecord reports whether the call must not run because its key is unrecorded: its
// request type requires recorded keys also while the platform is down.
func (c *call) needsRecord() bool {
	rules := c.scheduled.Type
	return rules.Recorded && rules.PlatformDown == config.OutageRefuse && c.key.Token.Kind == idempotency.Unrecorded
}

// decideLocally lets the idempotency guard of this daemon decide whether the call runs.
func (c *call) decideLocally(send *idempotency.Send) {
	c.undecidedTimer = time.AfterFunc(time.Until(c.scheduled.Deadline), func() {
		c.replyError(fasthttp.StatusGatewayTimeout, wire.OutcomeUnknown, string(dispatch.ReasonDeadline))
	})
	c.shard.proxy.guard.Begin(time.Now(), send)
}

// fingerprintOf returns a hash of the content of a request.
func fingerprintOf(request *fasthttp.Request) uint64 {
	return fingerprint.Of(
		request.Header.Method(),
		request.Header.RequestURI(),
		request.Header.Peek(wire.HeaderService),
		request.Header.Peek(wire.HeaderType),
		request.Body(),
	)
}

// decided continues a non-idempotent call as the guard has decided.
func (c *call) decided(decision idempotency.Decision) {
	c.undecidedTimer.Stop()
	switch decision.Verdict {
	case idempotency.Run:
		c.start(nil)
	case idempotency.Replay:
		c.replay(decision)
	case idempotency.Mismatch:
		c.replyError(fasthttp.StatusUnprocessableEntity, wire.OutcomeUnknown, reasonKeyReused)
	}
}

// replay responds to a call that isn't run with the outcome that the guard has decided on,
// such as the recorded response of an earlier send.
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
		c.replyError(fasthttp.StatusServiceUnavailable, wire.OutcomeNotRun, c.reasonNotRun(decision.Reason))
	default:
		c.replyError(fasthttp.StatusGatewayTimeout, wire.OutcomeUnknown, string(decision.Reason))
	}
}

// reasonNotRun returns the reason in the response to a call that didn't run.
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

// recordResponse records that a non-idempotent call ran, with the response of the target.
func (c *call) recordResponse(response *fasthttp.Response) {
	if c.key != nil {
		c.record(idempotency.Outcome{Status: idempotency.Ran, Answer: recordedAnswer(response)})
	}
}

// record records the outcome of a non-idempotent call.
func (c *call) record(outcome idempotency.Outcome) {
	if c.key != nil {
		c.shard.proxy.guard.Finish(time.Now(), *c.key, outcome)
	}
}

// recordedAnswer returns the parts of a response that are recorded.
func recordedAnswer(response *fasthttp.Response) *idempotency.Answer {
	return &idempotency.Answer{
		StatusCode:  response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte(nil), response.Body()...),
	}
}
