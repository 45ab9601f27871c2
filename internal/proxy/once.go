package proxy

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// Error codes of answers about idempotency keys.
const (
	reasonKeyRequired = "idempotency_key_required"
	reasonBadKey      = "bad_idempotency_key"
	reasonKeyReused   = "idempotency_key_reused"
	reasonNotOwner    = "not_owner"
	reasonResult      = "result_lost"
)

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

// beginOnce starts a call that must run at most once.
func (c *call) beginOnce(now time.Time) {
	c.shard.proxy.table.Begin(now, *c.key, fingerprint(c.request), c.decided)
}

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

func answerOf(response *fasthttp.Response) *idempotency.Answer {
	return &idempotency.Answer{
		StatusCode:  response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte(nil), response.Body()...),
	}
}
