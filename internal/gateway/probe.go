package gateway

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

// probeTimeout bounds the wait for a target's word on its load.
const probeTimeout = 40 * time.Millisecond

// errProbeTimeout ends a question without an answer in time.
var errProbeTimeout = Error.New("the target doesn't answer a question")

// question asks a target at its health path.
type question struct {
	gateway  *Gateway
	exchange targetclient.Attempt
	request  *fasthttp.Request
	timeout  *timer
	over     bool
	// answered takes the answer, valid until it returns, or an error.
	answered func(now time.Time, response *fasthttp.Response, err error)
}

// ask asks a target. Answered is called once.
func (g *Gateway) ask(s *service, address string, answered func(time.Time, *fasthttp.Response, error)) {
	q := &question{gateway: g, request: fasthttp.AcquireRequest(), answered: answered}
	q.exchange.Address = targetclient.Address{HostPort: address}
	q.request.Header.SetMethod(fasthttp.MethodGet)
	q.request.Header.SetHost(address)
	q.request.SetRequestURI(s.healthPath)
	q.timeout = newTimer(q.timedOut)
	now := time.Now()
	g.counts.Probes++
	g.timers.set(q.timeout, now.Add(probeTimeout))
	g.client.Start(g.loop, &q.exchange, now.Add(time.Second), q.request, q)
}

// Ended implements targetclient.Handler.
func (q *question) Ended(response *fasthttp.Response, err error) {
	fasthttp.ReleaseRequest(q.request)
	if !q.over {
		q.over = true
		q.gateway.timers.stop(q.timeout)
		q.answered(time.Now(), response, err)
	}
	if response != nil {
		fasthttp.ReleaseResponse(response)
	}
}

func (q *question) timedOut(now time.Time) {
	q.over = true
	q.gateway.counts.ProbesLost++
	q.exchange.CancelOnLoop()
	q.answered(now, nil, errProbeTimeout)
}

// probe asks a target for its load.
func (g *Gateway) probe(s *service, target *placement.Target) {
	g.ask(s, target.Address, func(now time.Time, response *fasthttp.Response, err error) {
		g.perform(s, g.report(now, s.pool, target, response, err))
	})
}

// report passes the answer to a probe on.
func (g *Gateway) report(now time.Time, pool *placement.Pool, target *placement.Target, response *fasthttp.Response, err error) []placement.Action {
	if err != nil {
		var notSent *targetclient.NotSentError
		return pool.ProbeFailed(now, target, errors.As(err, &notSent))
	}
	meaning := g.options.Dialect.ProbeAnswer(response)
	if !meaning.isOf(target) {
		return pool.Misplaced(now, target)
	}
	return pool.Probed(now, target, meaning.Report, meaning.Healthy)
}
