package gateway

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/fingerprint"
	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

// A target that closes the connection during a request may have been crashed by it. The
// gateway sends it a health check at once. If that fails, the target counts as dead and the
// death is recorded against the content of the request; a retry waits until other daemons
// have been informed.

// SetQuarantine enables the quarantine of requests that crash targets. It must be called
// before Apply.
func (g *Gateway) SetQuarantine(keeper *quarantine.Coordinator) { g.quarantine = keeper }

// content returns the identity of the request's content and its caller.
func (c *call) content() quarantine.Content {
	return quarantine.Content(fingerprint.Of(
		c.request.Header.Method(),
		c.request.Header.Host(),
		c.request.Header.RequestURI(),
		[]byte(c.exchange.CallerIP()),
		c.request.Body(),
	))
}

// quarantined reports whether the call must not be executed.
func (c *call) quarantined(now time.Time) bool {
	keeper := c.gateway.quarantine
	return keeper != nil && keeper.HasSuspects() && keeper.Quarantined(now, c.content())
}

// closedByTarget reports whether an attempt ended because the target closed the
// connection, as it does when it crashes.
func closedByTarget(err error) bool {
	var lost *targetclient.LostError
	return errors.As(err, &lost) && errors.Is(lost.Cause, targetclient.ErrClosed)
}

// checkForCrash sends the attempt's target a health check and finishes the attempt once its
// result is known. The attempt of a request that is not idempotent is finished at once,
// because it isn't retried anyway.
func (a *attempt) checkForCrash(result placement.Result) {
	c := a.call
	held := c.placed.Idempotent
	if held {
		c.service.pool.HoldRetry(a.placed)
	} else {
		a.finish(time.Now(), result)
	}
	target := a.placed.Target
	c.gateway.checkHealth(c.service, target.Address, func(now time.Time, response *fasthttp.Response, err error) {
		if err == nil && c.gateway.options.Dialect.ClassifyProbe(response).mayBeFrom(target) {
			if held {
				a.finish(now, result)
			}
			return
		}
		a.targetDied(now, held, result)
	})
}

// targetDied records the death of the attempt's target. If held is set, the attempt is
// finished once the quarantine has decided whether the request may be retried.
func (a *attempt) targetDied(now time.Time, held bool, result placement.Result) {
	c := a.call
	c.gateway.quarantine.RecordDeath(now, &quarantine.FailedRequest{
		Content: c.content(),
		Service: c.service.name,
		Type:    c.route.Name,
		Target:  a.placed.Target.ID,
		SentAt:  a.sentAt,
		Resume: func(allowed bool) {
			if !held {
				return
			}
			result.Quarantined = !allowed
			c.gateway.runOnLoop(func() { a.finish(time.Now(), result) })
		},
	})
}

// clearSuspicion reports a response to the quarantine, which clears the call's content of
// suspicion: the target has executed the request and survived. Server errors don't clear it,
// because the target may have refused the request without executing it.
func (c *call) clearSuspicion(response *fasthttp.Response) {
	keeper := c.gateway.quarantine
	if keeper == nil || !keeper.HasSuspects() || response.StatusCode() >= fasthttp.StatusInternalServerError {
		return
	}
	keeper.RecordEnd(time.Now(), c.content(), true)
}
