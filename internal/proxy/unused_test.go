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

// used reports whether the only service has a scheduler.
func (p *Proxy) used(service *config.Service) bool { return (*p.shards.Load())[service.Name].used() }

func apply(p *Proxy, service *config.Service) {
	p.Apply(&config.Snapshot{Revision: 2, Services: map[string]*config.Service{service.Name: service}})
}

func TestFirstCallOfAServiceIsServedAndItsStateReleased(t *testing.T) {
	_, address := startStandin(t, targetd.Options{Name: "live", Slots: 3, Seed: 1})
	service := serviceOf(address)
	p, entry := startEntry(t, service)
	require.False(t, p.used(service))
	require.Equal(t, 1, p.Services()[0].Targets)
	require.Equal(t, []TargetState{{Service: service.Name, Name: "target-0", Address: address, Zone: "a", State: dispatch.TargetIn}}, p.Targets())

	for range 3 {
		require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
		require.True(t, p.used(service))
		p.releaseUnused(time.Now().Add(releaseAfter / 2))
		require.True(t, p.used(service))
		require.Eventually(t, func() bool {
			p.releaseUnused(time.Now().Add(2 * releaseAfter))
			return !p.used(service)
		}, callTimeout, poll)
	}
	require.EqualValues(t, 3, p.Services()[0].Attempts.First)
}

func TestStateIsKeptWhileACallRuns(t *testing.T) {
	_, address := startStandin(t, targetd.Options{Name: "slow", Slots: 3, Seed: 1, MeanService: 300 * time.Millisecond})
	service := serviceOf(address)
	p, entry := startEntry(t, service)
	answered := make(chan int, 1)
	go func() { answered <- post(t, entry, "read", nil).StatusCode() }()
	require.Eventually(t, func() bool { return p.Services()[0].InFlight == 1 }, callTimeout, poll)
	p.releaseUnused(time.Now().Add(2 * releaseAfter))
	require.True(t, p.used(service))
	require.Equal(t, fasthttp.StatusOK, <-answered)
}

func TestUncalledServiceHeedsLeavingAndNewTargets(t *testing.T) {
	first, firstAddress := startStandin(t, targetd.Options{Name: "first", Slots: 3, Seed: 1})
	second, secondAddress := startStandin(t, targetd.Options{Name: "second", Slots: 3, Seed: 1})
	_, liveAddress := startStandin(t, targetd.Options{Name: "live", Slots: 3, Seed: 1})
	service := serviceOf(firstAddress, secondAddress, liveAddress)
	p, entry := startEntry(t, service)
	p.SetListed([]string{"elsewhere"}, nil)
	require.False(t, p.used(service))

	p.SetListed([]string{"target-0"}, nil)
	p.SetTargetsLeavingByPeer([]string{"target-1"})
	p.releaseUnused(time.Now().Add(2 * releaseAfter))
	require.True(t, p.used(service), "targets are leaving")
	for range 50 {
		require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
	}
	require.Zero(t, first.Counts().Requests+second.Counts().Requests)
}

func TestTargetAddedToAnUncalledServiceStartsCold(t *testing.T) {
	service := serviceOf("127.0.0.1:1", "127.0.0.1:2")
	p, _ := startEntry(t, service)
	revised := serviceOf("127.0.0.1:1", "127.0.0.1:2")
	revised.RetryShare /= 2
	apply(p, revised)
	require.False(t, p.used(service))
	apply(p, serviceOf("127.0.0.1:1", "127.0.0.1:3"))
	require.Equal(t, dispatch.TargetIn, stateOf(p, "target-0"))
	require.Equal(t, dispatch.TargetCold, stateOf(p, "target-1"))
}

func TestUnknownPolicyLeavesTheServiceAsItWas(t *testing.T) {
	_, address := startStandin(t, targetd.Options{Name: "live", Slots: 3, Seed: 1})
	p, entry := startEntry(t, serviceOf(address))
	broken := serviceOf("127.0.0.1:1")
	broken.Policy = "unheard-of"
	apply(p, broken)
	require.Equal(t, fasthttp.StatusOK, post(t, entry, "read", nil).StatusCode())
}
