// Package gateway proxies requests from callers to targets. It selects the route of each
// request by host and path, lets the placement of the route's service choose a target,
// sends the request and responds to the caller.
//
// A single event loop owns the state: connections of callers, placement, connections to
// targets and timers. Configuration and target lists arrive from other goroutines and are
// applied on the loop.
package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/route"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

const (
	// targetIdleTimeout is how long an idle connection to a target is kept open.
	targetIdleTimeout = 8 * time.Second
	// sweepInterval is the interval at which idle connections are closed and dropped log
	// lines are reported.
	sweepInterval = 500 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	// Zone is the daemon's availability zone.
	Zone string
	// Zones are the availability zones of the deployment.
	Zones []string
	// Dialect implements the deployment's headers.
	Dialect Dialect
	// RetryWindow, RetryRatio and RetryFixed define the retry budget that all daemons
	// share: RetryRatio x requests + RetryFixed sends beyond the first of each request in
	// every window.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryFixed  float64
	// TargetConnections is the maximum number of open connections to all targets. 0 means
	// unlimited.
	TargetConnections int
	// ResponseBytes is the maximum size of all incomplete responses of targets together. 0
	// means unlimited.
	ResponseBytes int64
	// Budget accounts for what is held for callers and targets. It may be nil.
	Budget *bytebudget.Budget
	// ProbeRate is the maximum number of probes per second to each target by all daemons
	// together. 0 means unlimited.
	ProbeRate float64
	// HedgeRatio is the maximum number of hedges for each request of a service. 0 means that
	// only the retry budget limits them.
	HedgeRatio float64
}

// Shares are this daemon's shares of the budgets that all daemons have in common. The
// shares of all daemons must not add up to more than 1.
type Shares struct {
	// Retries is the share of the fixed part of the retry budget.
	Retries float64
	// Probes is the share of the probe rate. 0 means that probes are unlimited.
	Probes float64
	// Cold is the share of the rate at which a cold target may get requests.
	Cold float64
	// Places is the part of the permits for targets that don't report their load.
	Places placement.Partition
}

// Gateway proxies requests. It implements callerserver.Handler.
type Gateway struct {
	options Options
	log     *eventLog
	client  *targetclient.Client
	loop    gnet.EventLoop
	counts  Counts

	revision atomic.Uint64
	// routed counts the requests for which a route was found.
	routed atomic.Uint64
	// quarantine is nil if requests that crash targets are not detected.
	quarantine *quarantine.Coordinator
	// quotas is nil if no quota of a workspace is enforced.
	quotas Quotas

	// The fields below are accessed only on the event loop.
	table    *route.Table
	services map[string]*service
	routes   map[string]*routeState
	timers   timers
	sweep    *timer
	// drain is nil until the daemon starts to drain.
	drain  *drain
	shares Shares
	// evacuated are the availability zones whose targets get no requests.
	evacuated []string
}

// service is a service with the pool that places its requests.
type service struct {
	name       string
	healthPath string
	pool       *placement.Pool
	// coldStart and coldRate are those of the configuration; no cold rate means no limit.
	coldStart time.Duration
	coldRate  float64
	// expiry calls the pool's Tick when it is due.
	expiry *timer
}

// routeState is the state of a route that is kept when the configuration changes.
type routeState struct {
	splitter route.Splitter
	// maxCallerTimeout is the longest caller timeout seen on the route. It tells how much
	// of a caller's time has already passed when a request arrives.
	maxCallerTimeout time.Duration
	// serviceTime is the estimated service time of targets at their usual speed.
	serviceTime time.Duration
	// bytes is the mean size of a request and its response together.
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
		Match:               options.Dialect.Match,
		DiscardMismatched:   true,
		AllowCloseDelimited: true,
		PoolUnused:          true,
		IdleTimeout:         targetIdleTimeout,
		MaxConnections:      options.TargetConnections,
		MaxBufferedBytes:    options.ResponseBytes,
		Budget:              options.Budget,
	})
	return g
}

// Start sets the event loop of the gateway. It must be called before Apply.
func (g *Gateway) Start(loop gnet.EventLoop) {
	g.loop = loop
	g.runOnLoop(func() {
		g.timers.processTimer = time.AfterFunc(time.Hour, func() { g.runOnLoop(g.runTimers) })
		g.sweep = newTimer(g.sweepIdle)
		g.timers.set(g.sweep, time.Now().Add(sweepInterval))
	})
}

// runOnLoop schedules a function to run on the event loop.
func (g *Gateway) runOnLoop(f func()) {
	_ = g.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

func (g *Gateway) runTimers() { g.timers.run(time.Now()) }

func (g *Gateway) sweepIdle(now time.Time) {
	g.client.Sweep(now)
	g.log.reportDropped()
	g.timers.set(g.sweep, now.Add(sweepInterval))
}

// Revision returns the revision of the active configuration, or 0 without one.
func (g *Gateway) Revision() uint64 { return g.revision.Load() }

// RoutedRequests returns the number of requests for which a route was found since the
// start.
func (g *Gateway) RoutedRequests() uint64 { return g.routed.Load() }

// Apply activates a configuration, unless one of the same or a higher revision is active.
// It passes the configuration's limits to setLimits, on the event loop.
func (g *Gateway) Apply(table *route.Table, setLimits func(route.Limits)) {
	g.runOnLoop(func() {
		if g.table != nil && table.Revision() <= g.table.Revision() {
			g.log.configurationIgnored(table.Revision(), g.table.Revision())
			return
		}
		g.table = table
		setLimits(table.Limits())
		for _, configured := range table.Services() {
			g.configureService(configured)
		}
		g.revision.Store(table.Revision())
		g.log.configured(table)
	})
}

// SetTargets replaces the targets of all services by those listed for each service.
func (g *Gateway) SetTargets(listed map[string][]placement.TargetInfo) {
	g.runOnLoop(func() {
		now := time.Now()
		for name := range listed {
			g.service(name)
		}
		for name, s := range g.services {
			before := s.coldTargets(now)
			g.perform(s, s.pool.UpdateTargets(now, listed[name]))
			g.log.moreCold(s, before, s.coldTargets(now))
		}
		g.forgetServices(listed)
	})
}

// forgetServices removes services that are neither listed nor configured. Requests in flight keep
// theirs until they end.
func (g *Gateway) forgetServices(listed map[string][]placement.TargetInfo) {
	kept := map[string]bool{}
	if g.table != nil {
		for _, configured := range g.table.Services() {
			kept[configured.Name] = true
		}
	}
	maps.DeleteFunc(g.services, func(name string, s *service) bool {
		return listed[name] == nil && !kept[name] && s.pool.Queued() == 0
	})
}

// SetShares sets this daemon's shares of the common budgets.
func (g *Gateway) SetShares(shares Shares) {
	g.runOnLoop(func() {
		changed := g.shares != shares
		g.shares = shares
		g.renewColdLimits(time.Now())
		if !changed {
			return
		}
		for _, s := range g.services {
			g.applyShares(s.pool)
		}
	})
}

// applyShares passes this daemon's shares of the common budgets to a pool.
func (g *Gateway) applyShares(pool *placement.Pool) {
	pool.SetFixedBudget(g.options.RetryFixed * g.shares.Retries)
	pool.SetProbeRate(time.Now(), g.options.ProbeRate*g.shares.Probes)
	pool.SetPartition(g.shares.Places)
}

// service returns the service with the given name and creates it if necessary.
func (g *Gateway) service(name string) *service {
	if s := g.services[name]; s != nil {
		return s
	}
	budget := placement.NewBudget(g.options.RetryWindow, g.options.RetryRatio, 0)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &service{name: name, pool: placement.NewPool(rng, g.options.Zone, budget)}
	s.pool.SetZones(g.options.Zones)
	s.pool.SetHedgeRatio(g.options.HedgeRatio)
	s.expiry = newTimer(func(now time.Time) { g.perform(s, s.pool.Tick(now)) })
	g.applyShares(s.pool)
	s.pool.SetEvacuated(time.Now(), g.evacuated)
	g.services[name] = s
	return s
}

// stateOf returns the state of a route and creates it if necessary.
func (g *Gateway) stateOf(r *route.Route) *routeState {
	state := g.routes[r.Name]
	if state == nil {
		state = &routeState{serviceTime: r.Objective / initialServiceTimeDivisor}
		g.routes[r.Name] = state
	}
	return state
}

// initialServiceTimeDivisor gives the estimated service time of a route before its first
// response: the latency objective divided by it.
const initialServiceTimeDivisor = 3

// MayRunConcurrently implements callerserver.ConcurrentHandler. Idempotent requests of one connection are
// processed concurrently.
func (g *Gateway) MayRunConcurrently(request *fasthttp.Request) bool {
	r := g.findRoute(request)
	return r != nil && r.Idempotent
}

var _ callerserver.Handler = (*Gateway)(nil)
