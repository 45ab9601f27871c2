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

// identity returns the identity of the request for the quarantine. That of a request with a body
// that may be dropped is computed only once, while the body is held.
func (c *call) identity() quarantine.Identity {
	if c.contentIdentity != nil {
		return *c.contentIdentity
	}
	body := [][]byte{c.request.Body()}
	if c.body != nil {
		body = c.body.Segments()
	}
	digest := fingerprint.New()
	digest.Add(c.request.Header.Method())
	digest.Add(c.request.Header.Host())
	digest.Add(c.request.Header.RequestURI())
	digest.Add(body...)
	id := quarantine.Identity{Content: quarantine.Content(digest.Sum())}
	digest.Add([]byte(c.exchange.CallerIP()))
	id.ByCaller = quarantine.Content(digest.Sum())
	if c.body != nil {
		c.contentIdentity = &id
	}
	return id
}

// standing returns whether the call may be sent, judged by its content.
func (c *call) standing(now time.Time) quarantine.Standing {
	keeper := c.gateway.quarantine
	if keeper == nil || !keeper.HasSuspects() {
		return quarantine.Unsuspected
	}
	return keeper.Standing(now, c.identity())
}

// awaitClaim lets the call be submitted once the other daemons have confirmed that its content,
// which is suspected, may be sent. If they don't, the call is refused.
func (c *call) awaitClaim() {
	c.gateway.quarantine.Claim(c.started, c.identity(), func(granted bool) {
		c.gateway.runOnLoop(func() {
			c.claim.Granted(granted)
			if c.done {
				c.releaseClaim()
				return
			}
			if granted {
				c.submit()
				return
			}
			c.respond(placement.Action{Kind: placement.Refuse, Reason: placement.ReasonSuspected, RetryAfter: suspectedRetryAfter})
		})
	})
}

// releaseClaim ends the call's claim once the caller has its response and no target runs the
// call.
func (c *call) releaseClaim() {
	if c.done && c.sending == 0 && c.claim.TakeRelease() {
		c.gateway.quarantine.Release(c.identity().Content)
	}
}

// maySend reports whether the call may be sent to a target. Its content may have become
// suspected while the call was queued.
func (c *call) maySend(now time.Time) bool {
	return c.claim.Holds() || c.standing(now) == quarantine.Unsuspected
}

// closedByTarget reports whether an attempt ended because the target closed the
// connection, as it does when it crashes.
func closedByTarget(err error) bool {
	var lost *targetclient.LostError
	return errors.As(err, &lost) && errors.Is(lost.Cause, targetclient.ErrClosed)
}

// checkForCrash sends the attempt's target a health check and finishes the attempt once its
// result is known. The attempt of a request that is not idempotent is finished at once,
// because it isn't retried anyway. Other requests with the same content aren't sent meanwhile.
func (a *attempt) checkForCrash(closedAt time.Time, result placement.Result) {
	c := a.call
	content := c.identity().Content
	keeper := c.gateway.quarantine
	keeper.BeginCheck(content)
	held := c.placed.Idempotent
	if held {
		c.service.pool.HoldRetry(a.placed)
	} else {
		a.finish(closedAt, result)
	}
	target := a.placed.Target
	c.gateway.checkHealth(c.service, target.Address, func(now time.Time, response *fasthttp.Response, err error) {
		c.gateway.recordAnnouncement(now, c.service, target, response)
		if err != nil || !c.gateway.options.Dialect.ClassifyProbe(response).mayBeFrom(target) {
			a.targetDied(closedAt, held, result)
			return
		}
		keeper.EndCheck(content)
		if held {
			a.finish(now, result)
		}
	})
}

// targetDied records the death of the attempt's target, which closed the connection at
// closedAt. If held is set, the attempt is finished once the quarantine has decided whether the
// request may be retried.
func (a *attempt) targetDied(closedAt time.Time, held bool, result placement.Result) {
	c := a.call
	id := c.identity()
	keeper := c.gateway.quarantine
	c.gateway.log.targetDied(a, id)
	failed := &quarantine.FailedRequest{
		Content:    id.Content,
		ByCaller:   id.ByCaller,
		Service:    c.service.name,
		Type:       c.route.Name,
		Target:     a.placed.Target.ID,
		SentAt:     a.sentAt,
		HoldsClaim: c.claim.Holds(),
	}
	failed.Resume = func(allowed bool) {
		c.gateway.runOnLoop(func() {
			keeper.EndCheck(id.Content)
			c.claim.Resumed(failed, allowed)
			if held {
				result.Quarantined = !allowed
				a.finish(time.Now(), result)
			}
			c.releaseClaim()
		})
	}
	keeper.RecordDeath(closedAt, failed)
}

// clearSuspicion reports a response to the quarantine, which clears the call's content of
// suspicion, but not the same content of other callers: the target has executed the request and survived. Server errors don't clear it,
// because the target may have refused the request without executing it.
func (c *call) clearSuspicion(response *fasthttp.Response) {
	keeper := c.gateway.quarantine
	if keeper == nil || !keeper.HasSuspects() || response.StatusCode() >= fasthttp.StatusInternalServerError {
		return
	}
	id := c.identity()
	keeper.RecordEnd(time.Now(), id.Content, true)
	keeper.RecordEnd(time.Now(), id.ByCaller, true)
}
