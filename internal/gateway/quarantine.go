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

// A target that closes a connection under a request may have been crashed by it. It is
// asked at once; if it doesn't answer, its death counts against the request's content,
// and the request waits until other daemons know.

// SetQuarantine sets the keeper of requests that crash targets. It must be called before
// Apply.
func (g *Gateway) SetQuarantine(keeper *quarantine.Keeper) { g.quarantine = keeper }

// content identifies what the call asks for, and who asks.
func (c *call) content() quarantine.Content {
	return quarantine.Content(fingerprint.Of(
		c.request.Header.Method(),
		c.request.Header.Host(),
		c.request.Header.RequestURI(),
		[]byte(c.exchange.CallerIP()),
		c.request.Body(),
	))
}

// quarantined reports whether the call must not be run.
func (c *call) quarantined(now time.Time) bool {
	keeper := c.gateway.quarantine
	return keeper != nil && keeper.Active() && keeper.Quarantined(now, c.content())
}

// mayHaveDied reports whether an attempt ended as if its target had died.
func mayHaveDied(err error) bool {
	var lost *targetclient.LostError
	return errors.As(err, &lost) && errors.Is(lost.Cause, targetclient.ErrClosed)
}

// suspect asks the attempt's target whether it lives, and concludes the attempt once that
// is known. A request that can't be sent again isn't kept waiting.
func (a *attempt) suspect(result placement.Result) {
	c := a.call
	held := c.decision.Idempotent
	if held {
		c.service.pool.Hold(a.decision)
	} else {
		a.conclude(time.Now(), result)
	}
	target := a.decision.Target
	c.gateway.ask(c.service, target.Address, func(now time.Time, response *fasthttp.Response, err error) {
		if err == nil && c.gateway.options.Dialect.ProbeAnswer(response).isOf(target) {
			if held {
				a.conclude(now, result)
			}
			return
		}
		a.targetDied(now, held, result)
	})
}

// targetDied counts the death of the attempt's target.
func (a *attempt) targetDied(now time.Time, held bool, result placement.Result) {
	c := a.call
	c.gateway.quarantine.Record(now, &quarantine.Run{
		Content: c.content(),
		Service: c.service.name,
		Type:    c.route.Name,
		Target:  a.decision.Target.ID,
		Began:   a.sentAt,
		Resume: func(allowed bool) {
			if !held {
				return
			}
			result.Quarantined = !allowed
			c.gateway.post(func() { a.conclude(time.Now(), result) })
		},
	})
}

// endSuspicion tells the keeper of an answer to a call. Only a target that has run the
// content and lived clears it; one that fails may have refused it unread.
func (c *call) endSuspicion(response *fasthttp.Response) {
	keeper := c.gateway.quarantine
	if keeper == nil || !keeper.Active() || response.StatusCode() >= fasthttp.StatusInternalServerError {
		return
	}
	keeper.Ended(time.Now(), c.content(), true)
}
