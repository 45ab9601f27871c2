// Package gateway carries requests to targets by host and path: it drives the
// placement of each service, sends its requests and answers its callers.
//
// All of it runs on one event loop, which owns the state: callers' connections,
// placement, connections to targets and timers. Configuration and targets come from
// other goroutines and take effect on the loop.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/route"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

const (
	// targetIdleLimit is how long an idle connection to a target is kept.
	targetIdleLimit = 8 * time.Second
	// sweepEvery is the pause between two looks for idle connections.
	sweepEvery = 500 * time.Millisecond
)

// Options are what a gateway needs to know.
type Options struct {
	// Zone is the daemon's availability zone.
	Zone string
	// Zones are the availability zones of the deployment.
	Zones []string
	// Dialect is how callers and targets speak.
	Dialect Dialect
	// RetryWindow, RetryRatio and RetryFixed bound the sends beyond the first of
	// each request, for all daemons: RetryRatio x requests + RetryFixed a window.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryFixed  float64
	// TargetConnections bounds the open connections to all targets. 0 is no bound.
	TargetConnections int
	// ProbeRate bounds the questions to each target for its load, of all daemons
	// together, a second. 0 is no bound.
	ProbeRate float64
}

// Shares are this daemon's parts of what all daemons may spend. All daemons' parts
// together must not be above 1.
type Shares struct {
	// Retries is the part of the fixed allowance of retries.
	Retries float64
	// Probes is the part of the rate of probes. 0 is no bound.
	Probes float64
	// Places is the part of the places at targets that don't tell their load.
	Places placement.Part
}

// Gateway carries requests. It implements callerserver.Handler.
type Gateway struct {
	options Options
	log     *eventLog
	client  *targetclient.Client
	loop    gnet.EventLoop
	counts  Counts

	revision atomic.Uint64
	// arrived counts the requests that were placed.
	arrived atomic.Uint64
	// quarantine is nil where requests that crash targets aren't looked for.
	quarantine *quarantine.Keeper

	// What follows is touched only on the event loop.
	table    *route.Table
	services map[string]*service
	routes   map[string]*routeState
	timers   timers
	sweep    *timer
	// leaving is nil until the daemon is told to end.
	leaving *leaving
	shares  Shares
}

// service is the placement of one service.
type service struct {
	name       string
	healthPath string
	pool       *placement.Pool
	wake       *timer
}

// routeState is what outlives a configuration.
type routeState struct {
	splitter route.Splitter
	// patience is the longest time that a caller of the route was seen to wait.
	patience time.Duration
	// work is the mean time that targets take at their usual speed.
	work time.Duration
	// bytes is the mean size of a request and its answer.
	bytes float64
}

// New returns a gateway without configuration.
func New(options Options, log logrus.FieldLogger) *Gateway {
	g := &Gateway{
		options:  options,
		log:      newEventLog(log),
		services: map[string]*service{},
		routes:   map[string]*routeState{},
	}
	g.client = targetclient.NewWithRules(targetclient.Rules{
		Match:             options.Dialect.Match,
		SkipForeign:       true,
		AnswersUntilClose: true,
		KeepUnused:        true,
		IdleLimit:         targetIdleLimit,
		Connections:       options.TargetConnections,
	})
	return g
}

// Start gives the gateway its event loop. It must be called before Apply.
func (g *Gateway) Start(loop gnet.EventLoop) {
	g.loop = loop
	g.post(func() {
		g.timers.clock = time.AfterFunc(time.Hour, func() { g.post(g.tick) })
		g.sweep = newTimer(g.sweepIdle)
		g.timers.set(g.sweep, time.Now().Add(sweepEvery))
	})
}

// post runs a function on the event loop.
func (g *Gateway) post(f func()) {
	_ = g.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

func (g *Gateway) tick() { g.timers.run(time.Now()) }

func (g *Gateway) sweepIdle(now time.Time) {
	g.client.Sweep(now)
	g.log.flush()
	g.timers.set(g.sweep, now.Add(sweepEvery))
}

// Revision returns the revision of the configuration in force, 0 without one.
func (g *Gateway) Revision() uint64 { return g.revision.Load() }

// Arrived returns the number of requests with a route since the start.
func (g *Gateway) Arrived() uint64 { return g.arrived.Load() }

// Apply brings a configuration into force, unless a newer one is.
func (g *Gateway) Apply(table *route.Table, limits func(route.Limits)) {
	g.post(func() {
		if g.table != nil && table.Revision() <= g.table.Revision() {
			return
		}
		g.table = table
		limits(table.Limits())
		for _, configured := range table.Services() {
			g.service(configured.Name).healthPath = configured.HealthPath
		}
		g.revision.Store(table.Revision())
		g.log.configured(table)
	})
}

// SetTargets takes the listed targets of each service.
func (g *Gateway) SetTargets(listed map[string][]placement.Entry) {
	g.post(func() {
		now := time.Now()
		for name := range listed {
			g.service(name)
		}
		for name, s := range g.services {
			g.perform(s, s.pool.Update(now, listed[name]))
		}
	})
}

// SetShares sets this daemon's parts of what all daemons may spend.
func (g *Gateway) SetShares(shares Shares) {
	g.post(func() {
		if g.shares == shares {
			return
		}
		g.shares = shares
		for _, s := range g.services {
			g.share(s.pool)
		}
	})
}

// share gives a service its part of what this daemon may spend.
func (g *Gateway) share(pool *placement.Pool) {
	pool.SetFixedBudget(g.options.RetryFixed * g.shares.Retries)
	pool.SetProbeRate(time.Now(), g.options.ProbeRate*g.shares.Probes)
	pool.SetPart(g.shares.Places)
}

// service returns the placement of a service.
func (g *Gateway) service(name string) *service {
	if s := g.services[name]; s != nil {
		return s
	}
	budget := placement.NewBudget(g.options.RetryWindow, g.options.RetryRatio, 0)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &service{name: name, pool: placement.NewPool(rng, g.options.Zone, budget)}
	s.pool.SetZones(g.options.Zones)
	s.wake = newTimer(func(now time.Time) { g.perform(s, s.pool.Expire(now)) })
	g.share(s.pool)
	g.services[name] = s
	return s
}

// route returns what outlives configurations of a route.
func (g *Gateway) route(r *route.Route) *routeState {
	state := g.routes[r.Name]
	if state == nil {
		state = &routeState{work: r.Objective / firstWorkDivisor}
		g.routes[r.Name] = state
	}
	return state
}

// firstWorkDivisor gives the expected work of a route without answers, as a part of
// its objective.
const firstWorkDivisor = 3

// maxActions is the number of actions of one event that are copied to the stack.
const maxActions = 16

// perform carries out the actions of one event of a service.
func (g *Gateway) perform(s *service, actions []placement.Action) {
	var buffer [maxActions]placement.Action
	for _, action := range append(buffer[:0], actions...) {
		switch action.Kind {
		case placement.Probe:
			g.probe(s, action.Target)
		case placement.Send:
			if !action.Attempt.Canceled() {
				action.Request.Payload.(*call).send(action.Attempt)
			}
		case placement.Cancel:
			if sent, ok := action.Attempt.Handle.(*attempt); ok {
				sent.cancel()
			}
		default:
			action.Request.Payload.(*call).settle(action)
		}
	}
	if at := s.pool.NextWake(); !at.IsZero() {
		g.timers.set(s.wake, at)
		return
	}
	g.timers.stop(s.wake)
}

// MayOvertake implements callerserver.Overtaker: idempotent requests run beside one
// another.
func (g *Gateway) MayOvertake(request *fasthttp.Request) bool {
	r := g.find(request)
	return r != nil && r.Idempotent
}

var _ callerserver.Handler = (*Gateway)(nil)
