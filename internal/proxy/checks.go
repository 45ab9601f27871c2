package proxy

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

const (
	// checkTick is the pause between two looks for health checks to be made.
	checkTick = 250 * time.Millisecond
	// checkTimeout bounds a health check.
	checkTimeout = 1 * time.Second
	// checksPerTick bounds the health checks that this daemon starts in one tick,
	// over all services.
	checksPerTick = 10
)

// checkTargets makes the health checks of all services and releases unused
// schedulers until Close.
func (p *Proxy) checkTargets() {
	ticker := time.NewTicker(checkTick)
	defer ticker.Stop()
	release := time.NewTicker(releaseInterval)
	defer release.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-ticker.C:
			p.startChecks(now)
		case now := <-release.C:
			p.releaseUnused(now)
		}
	}
}

func (p *Proxy) startChecks(now time.Time) {
	left := checksPerTick
	for _, s := range *p.shards.Load() {
		for _, check := range s.checksDue(now, left) {
			left--
			go s.check(check)
		}
	}
}

func (s *shard) checksDue(now time.Time, limit int) []dispatch.Check {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return nil
	}
	return s.scheduler.ChecksDue(now, limit)
}

// newCheckClient returns a client whose connections last for one check.
func newCheckClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}
}

// check makes one health check.
func (s *shard) check(check dispatch.Check) {
	s.proxy.measuring.checks.Add(1)
	result := s.proxy.checkHealth(check.Address)
	s.event(nil, func(now time.Time) []dispatch.Action {
		s.scheduler.Checked(now, check, result)
		return s.scheduler.Expire(now)
	})
}

// checkHealth asks a target ("ip:port") for its health.
func (p *Proxy) checkHealth(address string) dispatch.CheckResult {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + wire.PathHealth)
	request.SetConnectionClose()
	err := p.checks.DoTimeout(request, response, checkTimeout)
	switch {
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return dispatch.CheckSkipped
	case err != nil:
		return dispatch.CheckUnreachable
	case string(response.Header.Peek(wire.HeaderState)) == wire.StateLeaving:
		return dispatch.CheckLeaving
	case response.StatusCode() == fasthttp.StatusOK:
		return dispatch.CheckHealthy
	}
	return dispatch.CheckUnhealthy
}
