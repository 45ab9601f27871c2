package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/dispatch"
)

const (
	// releaseInterval is the interval at which idle schedulers are released.
	releaseInterval = 10 * time.Second
	// releaseAfter is how long an idle scheduler is kept after its last use.
	releaseAfter = 10 * time.Minute
)

// ensureScheduler creates a scheduler if the shard has none. It will be kept for at least
// releaseAfter from now. The lock is held.
func (s *shard) ensureScheduler(now time.Time) {
	s.lastUsedAt = now
	if s.scheduler != nil {
		return
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s.scheduler = dispatch.NewScheduler(rng)
	s.scheduler.SetRegion(s.proxy.region)
	s.timer = time.AfterFunc(time.Hour, s.expire)
	if err := s.scheduler.Configure(s.service.Load()); err != nil {
		s.proxy.log.WithError(err).WithField("service", s.name).Error("service not configured")
	}
}

// hasScheduler reports whether the shard has a scheduler.
func (s *shard) hasScheduler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler != nil
}

// releaseIdle releases the schedulers of idle services.
func (p *Proxy) releaseIdle(now time.Time) {
	for _, s := range *p.shards.Load() {
		s.releaseIdle(now)
	}
}

// releaseIdle releases the scheduler if it wasn't used for releaseAfter and is idle.
func (s *shard) releaseIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil || now.Sub(s.lastUsedAt) < releaseAfter || !s.scheduler.Idle(now, releaseAfter) {
		return
	}
	s.timer.Stop()
	s.timer = nil
	s.wakeAt = time.Time{}
	s.scheduler = nil
}

// hasAnyTarget reports whether the service has one of the named targets.
func (s *shard) hasAnyTarget(names map[string]bool) bool {
	for target := range s.service.Load().Targets() {
		if names[target.Name] {
			return true
		}
	}
	return false
}

// addsTargets reports whether the new configuration of a service has targets that the
// previous one doesn't have.
func addsTargets(before, after *config.Service) bool {
	known := map[config.Target]bool{}
	for target := range before.Targets() {
		known[target.Identity()] = true
	}
	for target := range after.Targets() {
		if !known[target.Identity()] {
			return true
		}
	}
	return false
}
