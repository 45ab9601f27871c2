package gatewayd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/logging"
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
	require.Zero(t, d.shares().Probes)
	require.Positive(t, d.shares().Retries)

	d.serving.Store(true)
	node.SetState(heartbeat.Ready)
	advertised := d.shares()
	require.InDelta(t, probeMargin/3, advertised.Probes, 0.001)
	require.Equal(t, 1, advertised.Places.Of)

	d.serving.Store(false)
	d.stopping.Store(true)
	node.SetState(heartbeat.Draining)
	stopping := d.shares().Probes
	require.Positive(t, stopping)
	require.Less(t, stopping, advertised.Probes)
}
