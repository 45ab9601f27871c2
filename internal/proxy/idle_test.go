package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

// hasScheduler reports whether the service has a scheduler.
func (p *Proxy) hasScheduler(service *config.Service) bool {
	return (*p.shards.Load())[service.Name].hasScheduler()
}

// apply applies a configuration with a single service.
func apply(p *Proxy, service *config.Service) {
	p.Apply(&config.Snapshot{Revision: 2, Services: map[string]*config.Service{service.Name: service}})
}

func TestSchedulerIsCreatedByTheFirstCallAndReleasedWhenIdle(t *testing.T) {
	_, address := startFakeTarget(t, targetd.Options{Name: "active", Slots: 3, Seed: 1})
	service := serviceOf(address)
	p, entry := startEntry(t, service)
	require.False(t, p.hasScheduler(service))
	require.Equal(t, 1, p.Services()[0].Targets)
	require.Equal(t, []TargetState{{Service: service.Name, Name: "target-0", Address: address, Zone: "a", State: dispatch.TargetIn}}, p.Targets())

	for range 3 {
		require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
		require.True(t, p.hasScheduler(service))
		p.releaseIdle(time.Now().Add(releaseAfter / 2))
		require.True(t, p.hasScheduler(service))
		require.Eventually(t, func() bool {
			p.releaseIdle(time.Now().Add(2 * releaseAfter))
			return !p.hasScheduler(service)
		}, callTimeout, pollInterval)
	}
	require.EqualValues(t, 3, p.Services()[0].Attempts.First)
}

func TestSchedulerIsKeptWhileACallRuns(t *testing.T) {
	_, address := startFakeTarget(t, targetd.Options{Name: "slow", Slots: 3, Seed: 1, MeanService: 300 * time.Millisecond})
	service := serviceOf(address)
	p, entry := startEntry(t, service)
	answered := make(chan int, 1)
	go func() { answered <- post(t, entry, "read", nil).StatusCode() }()
	require.Eventually(t, func() bool { return p.Services()[0].InFlight == 1 }, callTimeout, pollInterval)
	p.releaseIdle(time.Now().Add(2 * releaseAfter))
	require.True(t, p.hasScheduler(service))
	require.Equal(t, fasthttp.StatusOK, <-answered)
}

func TestLeavingTargetsOfAServiceWithoutCallsGetNone(t *testing.T) {
	first, firstAddress := startFakeTarget(t, targetd.Options{Name: "first", Slots: 3, Seed: 1})
	second, secondAddress := startFakeTarget(t, targetd.Options{Name: "second", Slots: 3, Seed: 1})
	_, activeAddress := startFakeTarget(t, targetd.Options{Name: "active", Slots: 3, Seed: 1})
	service := serviceOf(firstAddress, secondAddress, activeAddress)
	p, entry := startEntry(t, service)
	p.SetTargetsLeavingByPlatform([]string{"elsewhere"}, nil)
	require.False(t, p.hasScheduler(service))

	p.SetTargetsLeavingByPlatform([]string{"target-0"}, nil)
	p.SetTargetsLeavingByPeer([]string{"target-1"})
	p.releaseIdle(time.Now().Add(2 * releaseAfter))
	require.True(t, p.hasScheduler(service), "a scheduler must be kept while targets are leaving")
	for range 50 {
		require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
	}
	require.Zero(t, first.Counts().Requests+second.Counts().Requests)
}

func TestTargetAddedToAServiceWithoutCallsIsInSlowStart(t *testing.T) {
	service := serviceOf("127.0.0.1:1", "127.0.0.1:2")
	p, _ := startEntry(t, service)
	revised := serviceOf("127.0.0.1:1", "127.0.0.1:2")
	revised.RetryShare /= 2
	apply(p, revised)
	require.False(t, p.hasScheduler(service))
	apply(p, serviceOf("127.0.0.1:1", "127.0.0.1:3"))
	require.Equal(t, dispatch.TargetIn, stateOf(p, "target-0"))
	require.Equal(t, dispatch.TargetCold, stateOf(p, "target-1"))
}

func TestServiceKeepsItsTargetsAfterAConfigurationWithUnknownPolicy(t *testing.T) {
	_, address := startFakeTarget(t, targetd.Options{Name: "active", Slots: 3, Seed: 1})
	p, entry := startEntry(t, serviceOf(address))
	broken := serviceOf("127.0.0.1:1")
	broken.Policy = "no such policy"
	apply(p, broken)
	require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
}
