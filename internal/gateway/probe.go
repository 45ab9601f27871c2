package gateway

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

// healthCheckTimeout bounds the wait for the response to a health check.
const healthCheckTimeout = 40 * time.Millisecond

// errHealthCheckTimeout is the error of a health check without a response in time.
var errHealthCheckTimeout = Error.New("health check timed out")

// healthCheck is one GET request to the health path of a target.
type healthCheck struct {
	gateway  *Gateway
	exchange targetclient.Attempt
	request  *fasthttp.Request
	timeout  *timer
	done     bool
	// onResult receives the response, which is valid until it returns, or an error.
	onResult func(now time.Time, response *fasthttp.Response, err error)
}

// checkHealth sends a health check to a target of a service. It calls onResult once, on the
// event loop.
func (g *Gateway) checkHealth(s *service, address string, onResult func(time.Time, *fasthttp.Response, error)) {
	h := &healthCheck{gateway: g, request: fasthttp.AcquireRequest(), onResult: onResult}
	h.exchange.Address = targetclient.Address{HostPort: address}
	h.request.Header.SetMethod(fasthttp.MethodGet)
	h.request.Header.SetHost(address)
	h.request.SetRequestURI(s.healthPath)
	h.timeout = newTimer(h.timedOut)
	now := time.Now()
	g.counts.Probes++
	g.timers.set(h.timeout, now.Add(healthCheckTimeout))
	g.client.Start(g.loop, &h.exchange, now.Add(time.Second), h.request, h)
}

// Ended implements targetclient.Handler.
func (h *healthCheck) Ended(response *fasthttp.Response, err error) {
	fasthttp.ReleaseRequest(h.request)
	if !h.done {
		h.done = true
		h.gateway.timers.stop(h.timeout)
		h.onResult(time.Now(), response, err)
	}
	if response != nil {
		fasthttp.ReleaseResponse(response)
	}
}

func (h *healthCheck) timedOut(now time.Time) {
	h.done = true
	h.gateway.counts.ProbesTimedOut++
	h.exchange.CancelOnLoop()
	h.onResult(now, nil, errHealthCheckTimeout)
}

// probe sends a target a health check for its load.
func (g *Gateway) probe(s *service, target *placement.Target) {
	g.checkHealth(s, target.Address, func(now time.Time, response *fasthttp.Response, err error) {
		g.recordAnnouncement(now, s, target, response)
		g.perform(s, g.recordProbe(now, s.pool, target, response, err))
	})
}

// recordAnnouncement passes what the response to a health check announces to the target's
// pool. The response is nil if there is none.
func (g *Gateway) recordAnnouncement(now time.Time, s *service, target *placement.Target, response *fasthttp.Response) {
	if response == nil {
		return
	}
	info := g.options.Dialect.ClassifyProbe(response)
	if info.mayBeFrom(target) {
		g.recordColdTime(now, s, target, info)
	}
	if info.mayBeFrom(target) && info.Announcement != (placement.Announcement{}) {
		g.log.announcement(now, s, target, info.Announcement)
		g.perform(s, s.pool.RecordAnnouncement(now, target, info.Announcement))
	}
}

// recordProbe passes the result of a probe to the target's pool.
func (g *Gateway) recordProbe(now time.Time, pool *placement.Pool, target *placement.Target, response *fasthttp.Response, err error) []placement.Action {
	if err != nil {
		var notSent *targetclient.NotSentError
		return pool.ProbeFailed(now, target, errors.As(err, &notSent))
	}
	info := g.options.Dialect.ClassifyProbe(response)
	if !info.mayBeFrom(target) {
		return pool.ProbeReachedOtherTarget(now, target)
	}
	return pool.ProbeAnswered(now, target, info.Report, info.Healthy)
}
