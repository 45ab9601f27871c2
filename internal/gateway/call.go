package gateway

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/route"
	"github.com/poplarwheel/poplarwheel/internal/segments"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

const (
	// averageWeight is the weight of a new sample in the moving averages of a route.
	averageWeight = 0.05
	// defaultCallerTimeout is assumed for requests that don't tell their caller's timeout.
	defaultCallerTimeout = 30 * time.Second
)

// call is one request of a caller while it is proxied.
type call struct {
	gateway  *Gateway
	service  *service
	exchange *callerserver.Exchange
	request  *fasthttp.Request
	// body is the body of the request if it isn't part of it, or nil. It may be dropped once the
	// call is done.
	body *segments.Body
	// bodyBytes is the size of the body.
	bodyBytes int
	// contentIdentity is that of a request with a body that may be dropped, once it is known.
	contentIdentity *quarantine.Identity

	route *route.Route
	state *routeState
	// workspace is that of the call's key, or nil without one.
	workspace *route.Workspace
	// keysRequired is set if the configuration required keys when the call arrived.
	keysRequired bool
	// placed is the request as the service's pool knows it.
	placed  placement.Request
	timeout *timer
	started time.Time
	// callerTimeout is how long the caller waits for its response, from started.
	callerTimeout time.Duration
	// done is set once the caller has its response or has disconnected.
	done bool
	// sending is the number of attempts that have not ended.
	sending int
	// lastSent is the last attempt, or nil.
	lastSent *targetclient.Attempt
	// claim is that of the call's content, if it is suspected of crashing targets.
	claim quarantine.Holder
	quota quotaState
}

// findRoute returns the route of a request, or nil if there is none.
func (g *Gateway) findRoute(request *fasthttp.Request) *route.Route {
	if g.table == nil {
		return nil
	}
	host, _, _ := bytes.Cut(request.Header.Host(), []byte{':'})
	return g.table.Find(host, rawPath(request))
}

// rawPath returns the path of a request as received, without the query.
func rawPath(request *fasthttp.Request) []byte {
	path, _, _ := bytes.Cut(request.Header.RequestURI(), []byte{'?'})
	return path
}

// Serve implements callerserver.Handler.
func (g *Gateway) Serve(request *fasthttp.Request, exchange *callerserver.Exchange) {
	if g.table == nil {
		g.refuseUnplaced(request, exchange, fasthttp.StatusServiceUnavailable, reasonNotReady)
		return
	}
	r := g.findRoute(request)
	if r == nil {
		g.counts.NoRoute++
		g.refuseUnplaced(request, exchange, fasthttp.StatusNotFound, reasonNoRoute)
		return
	}
	workspace, refusal := g.authenticate(request, r)
	if refusal != "" {
		exchange.ReplyOnLoop(g.newUnauthenticatedResponse(request, refusal))
		return
	}
	g.routed.Add(1)
	c := g.newCall(request, exchange, r, workspace)
	if g.drain.refuses(c.started, c.placed.Deadline) {
		g.refuseUnplaced(request, exchange, fasthttp.StatusServiceUnavailable, reasonDraining)
		return
	}
	standing := c.standing(c.started)
	switch standing {
	case quarantine.Quarantined:
		g.refuseUnplaced(request, exchange, fasthttp.StatusServiceUnavailable, string(placement.ReasonQuarantined))
		return
	case quarantine.Undecided:
		g.refuseUnplaced(request, exchange, fasthttp.StatusServiceUnavailable, string(placement.ReasonSuspected))
		return
	}
	g.timers.set(c.timeout, c.placed.Deadline)
	exchange.WatchCaller(c)
	if !c.done {
		c.begin(standing)
	}
}

// place submits the call, if need be after other daemons have confirmed that its content may be
// sent.
func (c *call) place(standing quarantine.Standing) {
	if standing == quarantine.Unsuspected {
		c.submit()
		return
	}
	c.placed.Suspected = true
	c.awaitClaim()
}

// submit passes the call to the pool of its service.
func (c *call) submit() {
	c.gateway.perform(c.service, c.service.pool.Submit(time.Now(), &c.placed))
}

func (g *Gateway) newCall(request *fasthttp.Request, exchange *callerserver.Exchange, r *route.Route, workspace *route.Workspace) *call {
	now := time.Now()
	state := g.stateOf(r)
	callerTimeout, known := g.options.Dialect.CallerTimeout(request)
	if !known {
		callerTimeout = defaultCallerTimeout
	}
	state.maxCallerTimeout = max(state.maxCallerTimeout, callerTimeout)
	elapsed := time.Duration(0)
	if known {
		elapsed = state.maxCallerTimeout - callerTimeout
	}
	c := &call{
		gateway:       g,
		service:       g.service(state.splitter.Next(r)),
		exchange:      exchange,
		request:       request,
		body:          exchange.Body(),
		bodyBytes:     len(request.Body()),
		route:         r,
		state:         state,
		workspace:     workspace,
		keysRequired:  g.table.RequiresKeys(),
		started:       now,
		callerTimeout: callerTimeout,
	}
	if c.body != nil {
		c.bodyBytes = c.body.Len()
	}
	c.placed = placement.Request{
		Idempotent:   r.Idempotent,
		MaxAttempts:  r.MaxAttempts,
		Priority:     priorityOf(r, workspace),
		SoftDeadline: now.Add(r.Objective - elapsed),
		Deadline:     now.Add(min(callerTimeout, r.Timeout)),
		ServiceTime:  state.serviceTime,
		Bytes:        int(state.bytes),
		Flow:         g.flowOf(workspace),
		Payload:      c,
	}
	c.timeout = newTimer(c.timedOut)
	return c
}

// priorityOf returns the priority of a request: that of its workspace if it has one, else that of
// the route.
func priorityOf(r *route.Route, workspace *route.Workspace) int {
	if workspace != nil && workspace.Priority != nil {
		return *workspace.Priority
	}
	return r.Priority
}

func (c *call) timedOut(now time.Time) {
	c.gateway.perform(c.service, c.service.pool.Timeout(now, &c.placed))
}

// CallerDisconnected implements callerserver.CallerWatcher.
func (c *call) CallerDisconnected() {
	if c.done {
		return
	}
	c.finish()
	c.gateway.counts.Disconnected++
	c.gateway.perform(c.service, c.service.pool.Abandon(time.Now(), &c.placed))
	// The exchange counts as in flight until it gets a response.
	c.exchange.ReplyOnLoop(emptyResponse)
}

// emptyResponse ends the exchange with a caller that has disconnected.
var emptyResponse = &fasthttp.Response{}

// finish marks the call as done and stops its timeout.
func (c *call) finish() {
	c.done = true
	c.gateway.timers.stop(c.timeout)
	c.endQuota()
	c.releaseClaim()
}

// respond sends the caller the response that the pool has decided on.
func (c *call) respond(action placement.Action) {
	if c.done {
		return
	}
	c.finish()
	switch action.Kind {
	case placement.Deliver:
		c.deliver(action.Answer.(*fasthttp.Response))
	case placement.Refuse:
		c.refuse(action)
	case placement.OutcomeUnknown:
		c.reportUnknown(action)
	}
}

// deliver forwards a target's response.
func (c *call) deliver(response *fasthttp.Response) {
	c.gateway.counts.recordDelivered(response.StatusCode(), time.Since(c.started))
	c.clearSuspicion(response)
	stripHopHeaders(&response.Header)
	c.exchange.ReplyOnLoop(response)
	fasthttp.ReleaseResponse(response)
}

// refuse responds that the request has not been executed.
func (c *call) refuse(action placement.Action) {
	c.gateway.counts.recordRefused(action.Reason)
	c.gateway.log.notServed(c, fasthttp.StatusServiceUnavailable, action.Reason)
	response := newErrorResponse(c.request, fasthttp.StatusServiceUnavailable, string(action.Reason))
	remaining := c.callerTimeout - time.Since(c.started)
	setRetryAfter(response, min(action.RetryAfter, remaining/retryAfterDivisor))
	c.exchange.ReplyOnLoop(response)
}

// retryAfterDivisor limits Retry-After: the caller's remaining time divided by it.
const retryAfterDivisor = 3

// reportUnknown responds that the request may have been executed.
func (c *call) reportUnknown(action placement.Action) {
	status := fasthttp.StatusBadGateway
	if action.Reason == placement.ReasonTimeout {
		status = fasthttp.StatusGatewayTimeout
	}
	c.gateway.counts.Unknown++
	c.gateway.log.notServed(c, status, action.Reason)
	c.exchange.ReplyOnLoop(newErrorResponse(c.request, status, string(action.Reason)))
}

// refuseUnplaced refuses a request before it is passed to a pool.
func (g *Gateway) refuseUnplaced(request *fasthttp.Request, exchange *callerserver.Exchange, status int, reason string) {
	g.counts.Refused++
	g.log.notPlaced(g, request, status, reason)
	response := newErrorResponse(request, status, reason)
	if status == fasthttp.StatusServiceUnavailable {
		setRetryAfter(response, retryAfterFor(reason))
	}
	exchange.ReplyOnLoop(response)
}
