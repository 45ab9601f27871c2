// Package proxy forwards calls to targets. For each service it passes events to a
// scheduler (package dispatch), carries out the actions that this returns, such as
// sending an attempt, and responds to the callers.
//
// Each service is a shard with its own lock. A daemon receives calls for some of the
// services only, so a shard creates its scheduler when it is needed: for the first call,
// or when something becomes known that later calls must take into account, such as that
// a target is leaving. The scheduler is released after it has been idle for a while.
package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/netdial"
	"github.com/poplarwheel/poplarwheel/internal/probe"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/responsehead"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

// Proxy forwards the calls of all services. It is safe for concurrent use.
type Proxy struct {
	log    logrus.FieldLogger
	client *targetclient.Client
	probes *probe.Client
	checks *fasthttp.Client
	guard  *idempotency.Guard
	locate Locator
	// quarantine is nil in a daemon that doesn't detect requests that crash targets.
	quarantine *quarantine.Coordinator
	instance   string
	region     string
	nextCall   atomic.Uint64
	measuring  measuring
	shards     atomic.Pointer[map[string]*shard]
	stop       chan struct{}
	stopOnce   sync.Once
}

// New returns a proxy without services. Instance is the prefix of attempt IDs, which makes
// them unique among daemons.
func New(instance string, guard *idempotency.Guard, log logrus.FieldLogger) *Proxy {
	p := &Proxy{
		log:      log,
		client:   targetclient.New(),
		probes:   probe.NewClient(),
		checks:   newCheckClient(),
		guard:    guard,
		instance: instance,
		stop:     make(chan struct{}),
	}
	p.shards.Store(&map[string]*shard{})
	go p.runPeriodically()
	return p
}

// SetRegion sets the region in which the daemon runs. Targets in it are preferred. It must
// be called before Apply.
func (p *Proxy) SetRegion(region string) { p.region = region }

// SetDial sets the function that opens connections for calls and health checks. It must be
// called before Apply.
func (p *Proxy) SetDial(dial netdial.Func) {
	p.client.SetDial(dial)
	p.checks.DialTimeout = func(address string, _ time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return responsehead.NewConn(conn), nil
	}
}

// Apply replaces the configuration. If the policy of a service is unknown, the service keeps
// its previous configuration; without one it isn't served. Apply must not be called
// concurrently.
func (p *Proxy) Apply(snapshot *config.Snapshot) {
	previous := *p.shards.Load()
	next := make(map[string]*shard, len(snapshot.Services))
	for name, service := range snapshot.Services {
		s := previous[name]
		if s == nil {
			s = &shard{proxy: p, name: name}
		}
		if err := s.configure(service); err != nil {
			p.log.WithError(err).WithField("service", name).Error("service not configured")
			if previous[name] == nil {
				continue
			}
		}
		next[name] = s
		s.expire()
	}
	p.shards.Store(&next)
}

// Sweep ends attempts whose deadline has passed and closes idle connections to targets. It
// must be called a few times per second.
func (p *Proxy) Sweep(now time.Time) { p.client.Sweep(now) }

// Close stops the health checks and closes the idle connections to targets.
func (p *Proxy) Close() {
	p.stopOnce.Do(func() { close(p.stop) })
	p.client.Close()
}

// shard is the state of one service.
type shard struct {
	proxy *Proxy
	name  string

	// service is the configuration. It is read without the lock.
	service atomic.Pointer[config.Service]

	mu sync.Mutex
	// scheduler and timer are nil while the service is idle. The timer calls expire at
	// wakeAt, which is zero if the scheduler hasn't asked for a time yet.
	scheduler *dispatch.Scheduler
	timer     *time.Timer
	wakeAt    time.Time
	// lastUsedAt is when the scheduler was last needed for anything but health checks.
	lastUsedAt time.Time
	budget     probe.Budget
	attempts   AttemptCounts
}

// configure sets the configuration, which must not be modified later. The error is a
// *balancer.UnknownPolicyError.
func (s *shard) configure(service *config.Service) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.service.Load()
	if previous == service {
		return nil
	}
	if _, err := balancer.New(service.Policy); err != nil {
		return err
	}
	if previous != nil && addsTargets(previous, service) {
		// Targets that are added to a running service begin with a slow start, which the
		// scheduler manages.
		s.ensureScheduler(time.Now())
	}
	s.service.Store(service)
	if s.scheduler == nil {
		return nil
	}
	return s.scheduler.Configure(service)
}

// actionBuffer holds the actions of one event on the stack.
type actionBuffer [8]dispatch.Action

// handleEvent lets notify pass an event to the scheduler, and performs the actions that
// the scheduler returns. Notify runs with the lock held, the actions without it. Current
// is the event loop that this function runs on, or nil.
func (s *shard) handleEvent(current gnet.EventLoop, notify func(now time.Time) []dispatch.Action) {
	var buffer actionBuffer
	s.mu.Lock()
	now := time.Now()
	if s.scheduler == nil {
		s.ensureScheduler(now)
	}
	actions := append(buffer[:0], notify(now)...)
	s.resetTimer()
	s.bindHandles(actions)
	s.count(actions)
	changes := s.scheduler.StateChanges()
	s.mu.Unlock()
	s.logChanges(changes)
	for _, action := range actions {
		s.perform(current, action)
	}
}

// bindHandles sets the handle of each new attempt. The lock is held, so that no other
// event sees an attempt without a handle.
func (s *shard) bindHandles(actions []dispatch.Action) {
	for _, action := range actions {
		if action.Kind == dispatch.Start {
			action.Attempt.Handle = s.newAttempt(action.Attempt)
		}
	}
}

// resetTimer arms the timer if it isn't armed or would fire too late. If it fires too
// early, expire arms it again. The lock is held.
func (s *shard) resetTimer() {
	wakeAt := s.scheduler.NextWake()
	if wakeAt.IsZero() || (!s.wakeAt.IsZero() && !wakeAt.Before(s.wakeAt)) {
		return
	}
	s.wakeAt = wakeAt
	s.timer.Reset(time.Until(wakeAt))
}

// expire passes the current time to the scheduler, if there is one.
func (s *shard) expire() {
	if !s.hasScheduler() {
		return
	}
	s.handleEvent(nil, func(now time.Time) []dispatch.Action {
		s.wakeAt = time.Time{}
		return s.scheduler.Expire(now)
	})
}

// perform carries out an action. Current is the event loop that it runs on, or nil.
func (s *shard) perform(current gnet.EventLoop, action dispatch.Action) {
	switch action.Kind {
	case dispatch.Start:
		action.Attempt.Handle.(*attempt).start(current)
	case dispatch.Cancel:
		action.Attempt.Handle.(*attempt).clientAttempt.Cancel()
	default:
		action.Call.Payload.(*call).complete(current, action)
	}
}
