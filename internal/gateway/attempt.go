package gateway

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

// attempt is the driver's part of one send of a call to a target.
type attempt struct {
	call     *call
	decision *placement.Attempt
	exchange targetclient.Attempt
	request  *fasthttp.Request
	sentAt   time.Time
	canceled bool
}

// send sends the call to a target.
func (c *call) send(decision *placement.Attempt) {
	now := time.Now()
	target := decision.Target
	a := &attempt{call: c, decision: decision, sentAt: now}
	decision.Handle = a
	a.exchange.Address = targetclient.Address{HostPort: target.Address}
	a.request = fasthttp.AcquireRequest()
	c.request.Header.CopyTo(&a.request.Header)
	a.request.SetBodyRaw(c.request.Body())
	a.request.Header.SetNoDefaultContentType(true)
	stripHopHeaders(&a.request.Header)
	a.request.Header.Del(fasthttp.HeaderExpect)
	c.gateway.options.Dialect.Prepare(a.request, target.ID, c.decision.Deadline.Sub(now))
	c.gateway.counts.Sent++
	c.gateway.client.Start(c.gateway.loop, &a.exchange, c.decision.Deadline.Add(abandonedLimit), a.request, a)
}

// abandonedLimit bounds the time after its deadline that a request which must not
// be broken off keeps its connection.
const abandonedLimit = 5 * time.Second

// cancel stops the attempt.
func (a *attempt) cancel() {
	a.canceled = true
	a.exchange.CancelOnLoop()
}

// Ended implements targetclient.Handler.
func (a *attempt) Ended(response *fasthttp.Response, err error) {
	fasthttp.ReleaseRequest(a.request)
	a.request = nil
	if a.canceled {
		if response != nil {
			fasthttp.ReleaseResponse(response)
		}
		return
	}
	c := a.call
	now := time.Now()
	result := c.gateway.resultOf(response, err)
	if c.gateway.quarantine != nil && mayHaveDied(err) {
		c.gateway.log.attemptFailed(a, result, err)
		a.suspect(result)
		return
	}
	if result.Outcome == placement.Answered {
		a.learnWork(now.Sub(a.sentAt), result.Report != nil)
		a.learnBytes(response)
		if now.After(c.decision.Due) && !c.over {
			c.gateway.counts.Late++
			c.gateway.log.late(a)
		}
	} else {
		c.gateway.log.attemptFailed(a, result, err)
	}
	a.conclude(now, result)
}

// conclude passes the attempt's end to the placement, unless it isn't wanted any more.
func (a *attempt) conclude(now time.Time, result placement.Result) {
	if a.canceled {
		return
	}
	c := a.call
	c.gateway.perform(c.service, c.service.pool.Finished(now, a.decision, result))
}

// headerBytes stands for the headers of a request and its answer.
const headerBytes = 500

// learnBytes takes the size of a request and its answer.
func (a *attempt) learnBytes(response *fasthttp.Response) {
	state := a.call.state
	bytes := float64(headerBytes + len(a.call.request.Body()) + len(response.Body()))
	if state.bytes == 0 {
		state.bytes = bytes
		return
	}
	state.bytes += workWeight * (bytes - state.bytes)
}

// workStep is the part by which the expected work follows an answer of a target that
// doesn't tell how slow it is.
const workStep = 0.03

// learnWork takes the time of a good answer. Answers of targets that don't tell how slow
// they are lead to the median, as most come at the usual speed.
func (a *attempt) learnWork(took time.Duration, told bool) {
	state := a.call.state
	if !told {
		step := time.Duration(workStep * float64(state.work))
		if took < state.work {
			step = -step
		}
		state.work += step
		return
	}
	sample := float64(took) / max(a.decision.Slowness, 1)
	state.work += time.Duration(workWeight * (sample - float64(state.work)))
}

// resultOf classifies the end of an attempt.
func (g *Gateway) resultOf(response *fasthttp.Response, err error) placement.Result {
	if err != nil {
		var notSent *targetclient.NotSentError
		if errors.As(err, &notSent) {
			return placement.Result{Outcome: placement.NotSent}
		}
		return placement.Result{Outcome: placement.Lost}
	}
	meaning := g.options.Dialect.Classify(response)
	result := placement.Result{
		Outcome: placement.Answered,
		Answer:  response,
		Report:  meaning.Report,
	}
	switch {
	case meaning.Misplaced:
		result.Outcome = placement.Wrong
	case meaning.NotRun:
		result.Outcome = placement.NotRun
	case !meaning.Genuine:
		result.Outcome = placement.Lost
	case response.StatusCode() >= fasthttp.StatusInternalServerError:
		result.Outcome = placement.Failed
	}
	return result
}
