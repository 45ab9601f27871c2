// Package proxy carries calls: it drives the scheduler of each service, sends
// its attempts and answers its callers.
//
// Each service is a shard with its own lock. A daemon gets calls for some of the
// services only: a shard has a scheduler from its first call on, or once something
// is known of its targets that calls have to heed, until it is unused for a while.
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
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

// Proxy carries the calls of all services. It is safe for concurrent use.
type Proxy struct {
	log    logrus.FieldLogger
	client *targetclient.Client
	probes *probe.Client
	checks *fasthttp.Client
	guard  *idempotency.Guard
	locate Locator
	// quarantine is nil in a daemon that doesn't look for requests that crash
	// targets.
	quarantine *quarantine.Coordinator
	instance   string
	region     string
	nextCall   atomic.Uint64
	measuring  measuring
	shards     atomic.Pointer[map[string]*shard]
	stop       chan struct{}
	stopOnce   sync.Once
}

// New returns a proxy without services. Instance makes attempt IDs unique among
// daemons.
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
	go p.checkTargets()
	return p
}

// SetRegion says in which region the daemon runs; targets of that region come
// first. It must be called before Apply.
func (p *Proxy) SetRegion(region string) { p.region = region }

// SetDial replaces the way that connections for calls and health checks are opened.
// It must be called before Apply.
func (p *Proxy) SetDial(dial netdial.Func) {
	p.client.SetDial(dial)
	p.checks.Dial = func(address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		return dial(ctx, address)
	}
}

// Apply brings a configuration into force. It must not be called concurrently.
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

// Sweep ends overdue attempts and closes idle connections to targets. It has to
// be called a few times a second.
func (p *Proxy) Sweep(now time.Time) { p.client.Sweep(now) }

// Close stops the health checks and closes the idle connections to targets.
func (p *Proxy) Close() {
	p.stopOnce.Do(func() { close(p.stop) })
	p.client.Close()
}

// shard is one service.
type shard struct {
	proxy *Proxy
	name  string

	// service is read without the lock.
	service atomic.Pointer[config.Service]

	mu sync.Mutex
	// scheduler and timer are nil while the service is unused.
	scheduler *dispatch.Scheduler
	timer     *time.Timer
	wakeAt    time.Time
	// usedAt is when the scheduler was last needed, health checks aside.
	usedAt   time.Time
	budget   probe.Budget
	attempts AttemptCounts
}

// configure takes a service, which is immutable. The error is a *balancer.UnknownPolicyError.
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
		// Targets that are new to a running service start cold.
		s.use(time.Now())
	}
	s.service.Store(service)
	if s.scheduler == nil {
		return nil
	}
	return s.scheduler.Configure(service)
}

// actionBuffer holds the actions of one event on the stack.
type actionBuffer [8]dispatch.Action

// event passes an event to the scheduler and carries out its actions. Current is
// the event loop that the caller runs on, or nil.
func (s *shard) event(current gnet.EventLoop, send func(now time.Time) []dispatch.Action) {
	var buffer actionBuffer
	s.mu.Lock()
	now := time.Now()
	if s.scheduler == nil {
		s.use(now)
	}
	actions := append(buffer[:0], send(now)...)
	s.resetTimer()
	s.bindHandles(actions)
	s.count(actions)
	changes := s.scheduler.Changes()
	s.mu.Unlock()
	s.logChanges(changes)
	for _, action := range actions {
		s.perform(current, action)
	}
}

// bindHandles gives each new attempt its handle before other events see it.
func (s *shard) bindHandles(actions []dispatch.Action) {
	for _, action := range actions {
		if action.Kind == dispatch.Start {
			action.Attempt.Handle = s.newAttempt(action.Attempt)
		}
	}
}

// resetTimer arms the timer if it would fire too late. One that fires too early
// is armed again by expire.
func (s *shard) resetTimer() {
	wakeAt := s.scheduler.NextWake()
	if wakeAt.IsZero() || (!s.wakeAt.IsZero() && !wakeAt.Before(s.wakeAt)) {
		return
	}
	s.wakeAt = wakeAt
	s.timer.Reset(time.Until(wakeAt))
}

func (s *shard) expire() {
	if !s.used() {
		return
	}
	s.event(nil, func(now time.Time) []dispatch.Action {
		s.wakeAt = time.Time{}
		return s.scheduler.Expire(now)
	})
}

func (s *shard) perform(current gnet.EventLoop, action dispatch.Action) {
	switch action.Kind {
	case dispatch.Start:
		action.Attempt.Handle.(*attempt).start(current)
	case dispatch.Cancel:
		action.Attempt.Handle.(*attempt).exchange.Cancel()
	default:
		action.Call.Payload.(*call).settle(current, action)
	}
}
