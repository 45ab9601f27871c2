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

// reasonQuarantined is the reason in responses to requests that are not run because their
// content crashes targets.
const reasonQuarantined = "quarantined"

// SetQuarantine sets the coordinator that detects requests that crash targets. It must be
// called before Serve.
func (p *Proxy) SetQuarantine(coordinator *quarantine.Coordinator) { p.quarantine = coordinator }

// content identifies the content of the request.
func (c *call) content() quarantine.Content { return quarantine.Content(fingerprintOf(c.request)) }

// quarantined reports whether the content of the request is quarantined, so that the call
// must not run.
func (c *call) quarantined(now time.Time) bool {
	coordinator := c.shard.proxy.quarantine
	return coordinator != nil && coordinator.HasSuspects() && coordinator.Quarantined(now, c.content())
}

// replyQuarantined refuses a call without an idempotency key. Its outcome is unknown unless
// the caller says that this is the first send, since an earlier one may have run.
func (c *call) replyQuarantined() {
	outcome := wire.OutcomeUnknown
	if number, numbered := resendNumber(c.request); numbered && number == 0 {
		outcome = wire.OutcomeNotRun
	}
	c.replyError(fasthttp.StatusServiceUnavailable, outcome, reasonQuarantined)
}

// targetDied reports whether an attempt ended the way it does when its target dies: the
// target closed the connection before its response was complete.
func targetDied(err error) bool {
	var lost *targetclient.LostError
	return errors.As(err, &lost) && errors.Is(lost.Cause, targetclient.ErrClosed)
}

// attemptEnded passes the result of an attempt to the scheduler. If the target seems to
// have died, the quarantine decides first whether the call may be retried.
func (s *shard) attemptEnded(loop gnet.EventLoop, attempt *dispatch.Attempt, result dispatch.Result, err error) {
	if s.proxy.quarantine == nil || err == nil || !targetDied(err) {
		s.finishAttempt(loop, attempt, result)
		return
	}
	s.reportDeath(loop, attempt, result)
}

// finishAttempt passes the result of an attempt to the scheduler. Current is the event loop
// that it runs on, or nil.
func (s *shard) finishAttempt(current gnet.EventLoop, attempt *dispatch.Attempt, result dispatch.Result) {
	s.handleEvent(current, func(now time.Time) []dispatch.Action {
		return s.scheduler.FinishAttempt(now, attempt, result)
	})
}

// reportDeath reports to the coordinator an attempt whose target died. The result is
// passed to the scheduler once the coordinator has allowed or forbidden a retry.
func (s *shard) reportDeath(loop gnet.EventLoop, attempt *dispatch.Attempt, result dispatch.Result) {
	s.handleEvent(loop, func(now time.Time) []dispatch.Action {
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
			s.finishAttempt(nil, attempt, result)
		},
	})
}

// reportEnd reports to the coordinator how a call ended. Content is cleared of suspicion
// only by a target that ran it without dying. A server error doesn't clear it, because
// the target may have refused the request without reading it.
func (c *call) reportEnd(action dispatch.Action) {
	coordinator := c.shard.proxy.quarantine
	if coordinator == nil || !coordinator.HasSuspects() {
		return
	}
	response, answered := action.Answer.(*fasthttp.Response)
	cleared := answered && response.StatusCode() < fasthttp.StatusInternalServerError
	coordinator.RecordEnd(time.Now(), c.content(), cleared)
}
