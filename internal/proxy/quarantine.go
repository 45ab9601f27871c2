package proxy

import (
	"errors"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// reasonQuarantined is the error code of requests that crash targets.
const reasonQuarantined = "quarantined"

// SetQuarantine sets the keeper of requests that crash targets. It must be called
// before Serve.
func (p *Proxy) SetQuarantine(keeper *quarantine.Coordinator) { p.quarantine = keeper }

func (c *call) content() quarantine.Content { return quarantine.Content(fingerprintOf(c.request)) }

// quarantined reports whether the call must not be run.
func (c *call) quarantined(now time.Time) bool {
	keeper := c.shard.proxy.quarantine
	return keeper != nil && keeper.HasSuspects() && keeper.Quarantined(now, c.content())
}

// replyQuarantined refuses a call without an idempotency key. Earlier sends of it
// may have run.
func (c *call) replyQuarantined() {
	outcome := wire.OutcomeUnknown
	if number, numbered := resendNumber(c.request); numbered && number == 0 {
		outcome = wire.OutcomeNotRun
	}
	c.reply(fasthttp.StatusServiceUnavailable, outcome, reasonQuarantined)
}

// targetDied reports whether an attempt ended as if its target had died.
func targetDied(err error) bool {
	var lost *targetclient.LostError
	return errors.As(err, &lost) && errors.Is(lost.Cause, targetclient.ErrClosed)
}

// finished reports the end of an attempt to the scheduler. If the target died,
// other daemons are told first.
func (s *shard) finished(loop gnet.EventLoop, attempt *dispatch.Attempt, result dispatch.Result, err error) {
	if s.proxy.quarantine == nil || err == nil || !targetDied(err) {
		s.conclude(loop, attempt, result)
		return
	}
	s.suspect(loop, attempt, result)
}

// conclude passes the end of an attempt to the scheduler.
func (s *shard) conclude(current gnet.EventLoop, attempt *dispatch.Attempt, result dispatch.Result) {
	s.event(current, func(now time.Time) []dispatch.Action {
		return s.scheduler.Finished(now, attempt, result)
	})
}

// suspect tells the keeper of an attempt that ended with its target's death, and
// concludes it once the keeper allows or forbids another one.
func (s *shard) suspect(loop gnet.EventLoop, attempt *dispatch.Attempt, result dispatch.Result) {
	s.event(loop, func(now time.Time) []dispatch.Action {
		return s.scheduler.StopHedging(now, attempt.Call)
	})
	payload := attempt.Call.Payload.(*call)
	s.proxy.quarantine.QueueRetry(time.Now(), &quarantine.FailedRequest{
		Content: payload.content(),
		Service: string(payload.request.Header.Peek(wire.HeaderService)),
		Type:    attempt.Call.Type.Name,
		Target:  attempt.Target.Name,
		SentAt:  attempt.Started,
		Resume: func(allowed bool) {
			result.NoRetry = !allowed
			s.conclude(nil, attempt, result)
		},
	})
}

// endSuspicion tells the keeper how a call ended. Only a target that has run the
// content and lived clears it; one that fails may have refused it unread.
func (c *call) endSuspicion(action dispatch.Action) {
	keeper := c.shard.proxy.quarantine
	if keeper == nil || !keeper.HasSuspects() {
		return
	}
	response, answered := action.Answer.(*fasthttp.Response)
	good := answered && response.StatusCode() < fasthttp.StatusInternalServerError
	keeper.RecordEnd(time.Now(), c.content(), good)
}
