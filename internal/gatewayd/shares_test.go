package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// A starting daemon may have to serve before it knows its rank in the zone. With a limit on
// its probes it would have to place requests without knowing the load of targets, so its
// probes are limited only once it serves.
func TestProbesAreUnlimitedUntilDaemonServes(t *testing.T) {
	self := heartbeat.Member{Name: "a", PeerAddress: "127.0.0.1:0", State: heartbeat.Starting}
	node, err := heartbeat.Listen(self, 1, logging.Discard())
	require.NoError(t, err)
	t.Cleanup(node.Close)
	d := &Daemon{settings: Settings{Zones: []string{"a", "b", "c"}}, node: node}
	require.Zero(t, d.shares(time.Now()).Probes)
	require.Positive(t, d.shares(time.Now()).Retries)

	d.serving.Store(true)
	node.SetState(heartbeat.Ready)
	advertised := d.shares(time.Now())
	require.InDelta(t, probeMargin/3, advertised.Probes, 0.001)
	require.Equal(t, 1, advertised.Places.Of)

	d.serving.Store(false)
	d.stopping.Store(true)
	node.SetState(heartbeat.Draining)
	stopping := d.shares(time.Now()).Probes
	require.Positive(t, stopping)
	require.Less(t, stopping, advertised.Probes)
}

// Guards against retries beyond the common budget while daemons are restarted in turn: what one has
// spent counts for a whole window, and the next one that is advertised must not spend it again.
func TestRetriesOfDaemonsThatRestartInTurnStayWithinTheBudget(t *testing.T) {
	const (
		zones    = 3
		daemons  = 4
		fixed    = 56.0
		window   = 10 * time.Second
		interval = 500 * time.Millisecond
		// Every restartInterval the advertised daemon restarts, and another one is advertised.
		restartInterval = 4 * time.Second
		length          = time.Minute
	)
	type daemon struct {
		share  retryShare
		budget placement.Budget
	}
	start := func(at time.Time) *daemon {
		return &daemon{share: retryShare{startedAt: at}, budget: placement.NewBudget(window, 0, 0)}
	}
	began := time.Unix(1_000_000, 0)
	var zone []*daemon
	for range daemons {
		zone = append(zone, start(began.Add(-time.Hour)))
	}
	advertised := 0
	var sends []time.Time
	for passed := time.Duration(0); passed < length; passed += interval {
		now := began.Add(passed)
		if passed > 0 && passed%restartInterval == 0 {
			zone[advertised] = start(now)
			advertised = (advertised + 1) % daemons
		}
		for i, d := range zone {
			status := heartbeat.ZoneStatus{Advertised: i == advertised, AdvertisedDaemons: 1, Daemons: daemons}
			d.budget.SetFixed(fixed * d.share.at(now, window, zones, status))
			// All daemons would use every retry that they may, each zone like this one.
			for d.budget.Take(now) {
				sends = append(sends, now)
			}
		}
	}
	for i, first := range sends {
		inWindow := 0
		for _, sent := range sends[i:] {
			if sent.Sub(first) < window {
				inWindow++
			}
		}
		require.LessOrEqual(t, float64(inWindow*zones), fixed, "retries in the window from %s", first.Sub(began))
	}
	require.NotEmpty(t, sends)
}
