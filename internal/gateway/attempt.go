package gateway

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

// attempt is one send of a call to a target, with the connection state that the pool's
// attempt doesn't have.
type attempt struct {
	call     *call
	placed   *placement.Attempt
	exchange targetclient.Attempt
	request  *fasthttp.Request
	sentAt   time.Time
	canceled bool
}

// send sends the call to the target that the pool has chosen.
func (c *call) send(placed *placement.Attempt) {
	now := time.Now()
	target := placed.Target
	a := &attempt{call: c, placed: placed, sentAt: now}
	placed.Handle = a
	if c.body != nil && !c.body.Retain() {
		a.finish(now, placement.Result{Outcome: placement.NotSent})
		return
	}
	if !c.maySend(now) {
		a.releaseBody()
		a.finish(now, placement.Result{Outcome: placement.NotSent, Quarantined: true})
		return
	}
	a.exchange.Address = targetclient.Address{HostPort: target.Address}
	a.exchange.Previous = c.lastSent
	c.lastSent = &a.exchange
	a.request = fasthttp.AcquireRequest()
	c.request.Header.CopyTo(&a.request.Header)
	a.request.SetBodyRaw(c.request.Body())
	a.exchange.Body = c.body
	a.request.Header.SetNoDefaultContentType(true)
	stripHopHeaders(&a.request.Header)
	a.request.Header.Del(fasthttp.HeaderExpect)
	if c.replacesKey() {
		// After stripHopHeaders: a Connection header may name the one with the workspace.
		c.gateway.options.Dialect.SetWorkspace(a.request, c.workspaceName())
	}
	c.gateway.options.Dialect.SetTargetHeaders(a.request, target.ID, c.placed.Deadline.Sub(now))
	if placed.IsHedge() && c.gateway.options.HedgeRatio > 0 {
		c.gateway.log.hedged(now, a)
	}
	c.gateway.counts.Sent++
	c.sending++
	c.gateway.client.Start(c.gateway.loop, &a.exchange, c.placed.Deadline.Add(abandonedGracePeriod), a.request, a)
}

// abandonedGracePeriod is how long after its deadline a request that must not be aborted
// may keep its connection.
const abandonedGracePeriod = 5 * time.Second

// releaseBody gives up the attempt's reference to a body that isn't part of the request.
func (a *attempt) releaseBody() {
	if a.call.body != nil {
		a.call.body.Release()
	}
}

// cancel stops the attempt. Its result is discarded.
func (a *attempt) cancel() {
	a.canceled = true
	a.exchange.CancelOnLoop()
}

// Ended implements targetclient.Handler.
func (a *attempt) Ended(response *fasthttp.Response, err error) {
	fasthttp.ReleaseRequest(a.request)
	a.request = nil
	a.call.sending--
	defer a.releaseBody()
	defer a.call.releaseClaim()
	if a.canceled {
		if response != nil {
			fasthttp.ReleaseResponse(response)
		}
		return
	}
	c := a.call
	now := time.Now()
	result := c.gateway.classify(response, err)
	if result.Outcome != placement.WrongTarget {
		c.gateway.log.announcement(now, c.service, a.placed.Target, result.Announcement)
	}
	c.gateway.counts.recordViolation(err)
	if c.gateway.quarantine != nil && closedByTarget(err) {
		c.gateway.log.attemptFailed(a, result, err)
		a.checkForCrash(now, result)
		return
	}
	if result.Outcome == placement.Answered {
		a.updateServiceTime(now.Sub(a.sentAt), result.Report != nil)
		a.updateBytes(response)
		if now.After(c.placed.SoftDeadline) && !c.done {
			c.gateway.counts.Late++
			c.gateway.log.late(a)
		}
	} else {
		c.gateway.log.attemptFailed(a, result, err)
	}
	a.finish(now, result)
}

// finish passes the attempt's result to the pool, unless the attempt was canceled.
func (a *attempt) finish(now time.Time, result placement.Result) {
	if a.canceled {
		return
	}
	c := a.call
	c.gateway.perform(c.service, c.service.pool.AttemptFinished(now, a.placed, result))
}

// headerBytes is the assumed size of the headers of a request and its response together.
const headerBytes = 500

// updateBytes updates the route's mean size of a request and its response.
func (a *attempt) updateBytes(response *fasthttp.Response) {
	state := a.call.state
	bytes := float64(headerBytes + a.call.bodyBytes + len(response.Body()))
	if state.bytes == 0 {
		state.bytes = bytes
		return
	}
	state.bytes += averageWeight * (bytes - state.bytes)
}

// medianStep is the relative step by which the estimated service time follows a response
// of a target that doesn't report its slowness.
const medianStep = 0.03

// updateServiceTime updates the route's estimated service time by the time of a successful
// response. For targets that report their slowness it averages the times, corrected by the
// slowness. For others it moves towards the median, because most of their responses come
// at the usual speed.
func (a *attempt) updateServiceTime(took time.Duration, reported bool) {
	state := a.call.state
	if !reported {
		step := time.Duration(medianStep * float64(state.serviceTime))
		if took < state.serviceTime {
			step = -step
		}
		state.serviceTime += step
		return
	}
	sample := float64(took) / max(a.placed.Slowness, 1)
	state.serviceTime += time.Duration(averageWeight * (sample - float64(state.serviceTime)))
}

// classify returns the result of an attempt that ended with a response or an error.
func (g *Gateway) classify(response *fasthttp.Response, err error) placement.Result {
	if err != nil {
		var notSent *targetclient.NotSentError
		if errors.As(err, &notSent) {
			return placement.Result{Outcome: placement.NotSent}
		}
		return placement.Result{Outcome: placement.Lost}
	}
	info := g.options.Dialect.Classify(response)
	result := placement.Result{
		Outcome:      placement.Answered,
		Answer:       response,
		Report:       info.Report,
		Announcement: info.Announcement,
	}
	switch {
	case info.WrongTarget:
		result.Outcome = placement.WrongTarget
	case info.NotRun:
		result.Outcome = placement.NotRun
	case !info.Genuine:
		result.Outcome = placement.Lost
	case response.StatusCode() >= fasthttp.StatusInternalServerError:
		result.Outcome = placement.Failed
	}
	return result
}
