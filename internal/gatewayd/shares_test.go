package gatewayd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/logging"
)

// A daemon that starts may have to serve before it knows its place in the zone, and must
// not place requests blindly then: no bound holds for its probes.
func TestProbesAreBoundedOnceTheDaemonServes(t *testing.T) {
	self := heartbeat.Member{Name: "a", Peer: "127.0.0.1:0", State: heartbeat.Starting}
	node, err := heartbeat.Listen(self, 1, logging.Discard())
	require.NoError(t, err)
	t.Cleanup(node.Close)
	d := &Daemon{settings: Settings{Zones: []string{"a", "b", "c"}}, node: node}
	require.Zero(t, d.shares().Probes)
	require.Positive(t, d.shares().Retries)

	d.serving.Store(true)
	node.SetState(heartbeat.Ready)
	named := d.shares()
	require.InDelta(t, probeMargin/3, named.Probes, 0.001)
	require.Equal(t, 1, named.Places.Of)

	d.serving.Store(false)
	d.leaving.Store(true)
	node.SetState(heartbeat.Leaving)
	leaving := d.shares().Probes
	require.Positive(t, leaving)
	require.Less(t, leaving, named.Probes)
}
