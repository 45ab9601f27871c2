package proxy

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/responsehead"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

const (
	// checkTick is the interval at which due health checks are started.
	checkTick = 250 * time.Millisecond
	// checkTimeout bounds a health check.
	checkTimeout = 1 * time.Second
	// checksPerTick limits the health checks that this daemon starts per tick, for all
	// services together.
	checksPerTick = 10
)

// runPeriodically starts health checks and releases idle schedulers until Close.
func (p *Proxy) runPeriodically() {
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
			p.releaseIdle(now)
		}
	}
}

// startChecks starts the health checks that are due.
func (p *Proxy) startChecks(now time.Time) {
	left := checksPerTick
	for _, s := range *p.shards.Load() {
		for _, check := range s.dueChecks(now, left) {
			left--
			go s.check(check)
		}
	}
}

// dueChecks returns at most limit health checks that are due.
func (s *shard) dueChecks(now time.Time, limit int) []dispatch.HealthCheck {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return nil
	}
	return s.scheduler.DueHealthChecks(now, limit)
}

// newCheckClient returns the HTTP client for health checks.
func newCheckClient() *fasthttp.Client {
	return &fasthttp.Client{
		DialTimeout:               responsehead.DialTimeout,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}
}

// check makes a health check and passes its result to the scheduler.
func (s *shard) check(check dispatch.HealthCheck) {
	s.proxy.measuring.checks.Add(1)
	result := s.proxy.checkHealth(check.Address)
	s.handleEvent(nil, func(now time.Time) []dispatch.Action {
		s.scheduler.RecordHealthCheck(now, check, result)
		return s.scheduler.Expire(now)
	})
}

// checkHealth requests the health of a target ("ip:port"). The connection is closed after
// the request.
func (p *Proxy) checkHealth(address string) dispatch.HealthCheckResult {
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
