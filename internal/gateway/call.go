package gateway

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

const (
	// workWeight is the weight of an answer in the mean work of a route.
	workWeight = 0.05
	// unhurried is the time that callers wait who don't say.
	unhurried = 30 * time.Second
)

// call is one request of a caller.
type call struct {
	gateway  *Gateway
	service  *service
	exchange *callerserver.Exchange
	request  *fasthttp.Request
	route    *route.Route
	state    *routeState
	decision placement.Request
	timeout  *timer
	started  time.Time
	// patience is how long the caller waits.
	patience time.Duration
	over     bool
}

// find returns the route of a request, nil if there is none.
func (g *Gateway) find(request *fasthttp.Request) *route.Route {
	if g.table == nil {
		return nil
	}
	host, _, _ := bytes.Cut(request.Header.Host(), []byte{':'})
	return g.table.Find(host, pathOf(request))
}

// pathOf returns the path of a request as it was sent, without query.
func pathOf(request *fasthttp.Request) []byte {
	path, _, _ := bytes.Cut(request.Header.RequestURI(), []byte{'?'})
	return path
}

// Serve implements callerserver.Handler.
func (g *Gateway) Serve(request *fasthttp.Request, exchange *callerserver.Exchange) {
	if g.table == nil {
		g.refuseEarly(request, exchange, fasthttp.StatusServiceUnavailable, reasonNotReady)
		return
	}
	r := g.find(request)
	if r == nil {
		g.refuseEarly(request, exchange, fasthttp.StatusNotFound, reasonNoRoute)
		return
	}
	g.arrived.Add(1)
	c := g.newCall(request, exchange, r)
	if g.leaving.refuses(c.started, c.decision.Deadline) {
		g.refuseEarly(request, exchange, fasthttp.StatusServiceUnavailable, reasonLeaving)
		return
	}
	if c.quarantined(c.started) {
		g.refuseEarly(request, exchange, fasthttp.StatusServiceUnavailable, string(placement.ReasonQuarantined))
		return
	}
	g.timers.set(c.timeout, c.decision.Deadline)
	exchange.WatchCaller(c)
	if !c.over {
		g.perform(c.service, c.service.pool.Arrive(c.started, &c.decision))
	}
}

func (g *Gateway) newCall(request *fasthttp.Request, exchange *callerserver.Exchange, r *route.Route) *call {
	now := time.Now()
	state := g.route(r)
	patience, told := g.options.Dialect.Remaining(request)
	if !told {
		patience = unhurried
	}
	state.patience = max(state.patience, patience)
	elapsed := time.Duration(0)
	if told {
		elapsed = state.patience - patience
	}
	c := &call{
		gateway:  g,
		service:  g.service(state.splitter.Next(r)),
		exchange: exchange,
		request:  request,
		route:    r,
		state:    state,
		started:  now,
		patience: patience,
	}
	c.decision = placement.Request{
		Idempotent:  r.Idempotent,
		MaxAttempts: r.MaxAttempts,
		Priority:    r.Priority,
		Due:         now.Add(r.Objective - elapsed),
		Deadline:    now.Add(min(patience, r.Timeout)),
		Work:        state.work,
		Bytes:       int(state.bytes),
		Payload:     c,
	}
	c.timeout = newTimer(c.timedOut)
	return c
}

func (c *call) timedOut(now time.Time) {
	c.gateway.perform(c.service, c.service.pool.Timeout(now, &c.decision))
}

// CallerGone implements callerserver.CallerWatcher.
func (c *call) CallerGone() {
	if c.over {
		return
	}
	c.end()
	c.gateway.counts.Gone++
	c.gateway.perform(c.service, c.service.pool.Abandon(time.Now(), &c.decision))
	// The exchange counts as in flight until it is replied to.
	c.exchange.ReplyOnLoop(emptyResponse)
}

// emptyResponse stands for the answer to a caller that is gone.
var emptyResponse = &fasthttp.Response{}

// end marks the call as answered.
func (c *call) end() {
	c.over = true
	c.gateway.timers.stop(c.timeout)
}

// settle answers the caller.
func (c *call) settle(action placement.Action) {
	if c.over {
		return
	}
	c.end()
	switch action.Kind {
	case placement.Deliver:
		c.deliver(action.Answer.(*fasthttp.Response))
	case placement.Refuse:
		c.refuse(action)
	case placement.Unknown:
		c.unknown(action)
	}
}

// deliver passes a target's answer on.
func (c *call) deliver(response *fasthttp.Response) {
	c.gateway.counts.delivered(response.StatusCode(), time.Since(c.started))
	c.endSuspicion(response)
	stripHopHeaders(&response.Header)
	c.exchange.ReplyOnLoop(response)
	fasthttp.ReleaseResponse(response)
}

func (c *call) refuse(action placement.Action) {
	c.gateway.counts.Refused++
	c.gateway.log.answered(c, fasthttp.StatusServiceUnavailable, action.Reason)
	response := failure(fasthttp.StatusServiceUnavailable, string(action.Reason))
	left := c.patience - time.Since(c.started)
	setRetryAfter(response, min(action.RetryAfter, left/retryAfterPart))
	c.exchange.ReplyOnLoop(response)
}

// retryAfterPart is the part of the caller's time left that it may be sent away for.
const retryAfterPart = 3

func (c *call) unknown(action placement.Action) {
	status := fasthttp.StatusBadGateway
	if action.Reason == placement.ReasonTimeout {
		status = fasthttp.StatusGatewayTimeout
	}
	c.gateway.counts.Unknown++
	c.gateway.log.answered(c, status, action.Reason)
	c.exchange.ReplyOnLoop(failure(status, string(action.Reason)))
}

// refuseEarly answers a request that is not placed at all.
func (g *Gateway) refuseEarly(request *fasthttp.Request, exchange *callerserver.Exchange, status int, reason string) {
	g.counts.Refused++
	g.log.refusedEarly(g.options.Dialect.RequestID(request), request, status, reason)
	response := failure(status, reason)
	if status == fasthttp.StatusServiceUnavailable {
		setRetryAfter(response, retryAfterOf(reason))
	}
	exchange.ReplyOnLoop(response)
}
