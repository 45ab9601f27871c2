package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/dispatch"
)

const (
	// releaseInterval is the pause between two looks for unused schedulers.
	releaseInterval = 10 * time.Second
	// releaseAfter is how long a scheduler is kept after its last use.
	releaseAfter = 10 * time.Minute
)

// use makes sure that the shard has a scheduler and keeps it for releaseAfter. The
// lock is held.
func (s *shard) use(now time.Time) {
	s.usedAt = now
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

// used reports whether the shard has a scheduler.
func (s *shard) used() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler != nil
}

// releaseUnused drops the schedulers of services without calls.
func (p *Proxy) releaseUnused(now time.Time) {
	for _, s := range *p.shards.Load() {
		s.releaseUnused(now)
	}
}

func (s *shard) releaseUnused(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil || now.Sub(s.usedAt) < releaseAfter || !s.scheduler.Unused(now, releaseAfter) {
		return
	}
	s.timer.Stop()
	s.timer = nil
	s.wakeAt = time.Time{}
	s.scheduler = nil
}

// hasTarget reports whether the service has one of the named targets.
func (s *shard) hasTarget(names map[string]bool) bool {
	for target := range s.service.Load().Targets() {
		if names[target.Name] {
			return true
		}
	}
	return false
}

// addsTargets reports whether a service has targets that it didn't have before.
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
