package daemon

import (
	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/metrics"
)

// observePeers sets up the metrics of configuration and membership.
func (d *Daemon) observePeers(registry *metrics.Registry) {
	registry.Gauge("members_live", "Entry VMs that this daemon takes to be live.", func() float64 {
		return float64(d.members.count(membership.Live))
	})
	registry.Gauge("configuration_read_failures", "Failed reads of the platform's head since the last success.", func() float64 {
		return float64(d.follower.Status().ReadFailures)
	})
	registry.Gauge("configuration_highest_at_peers", "Highest revision that a peer has in force.", func() float64 {
		return float64(d.follower.Status().HighestAtPeers)
	})
	registry.Counter("suspicions_total", "Members that this daemon suspected.", func() float64 {
		return float64(d.peerStatus().Suspicions)
	})
	registry.Counter("refutations_total", "Wrong records of this daemon that it contradicted.", func() float64 {
		return float64(d.peerStatus().Refutations)
	})
	registry.Counter("peer_refused_total", "Connections that did not prove the shared key.", func() float64 {
		return float64(d.peers.Refused())
	})
	registry.Counter("peer_sent_bytes_total", "Bytes sent to peers, frame headers included.", func() float64 {
		return float64(d.peerStatus().BytesSent)
	})
	registry.Counter("peer_sent_messages_total", "Messages sent to peers.", func() float64 {
		return float64(d.peerStatus().MessagesSent)
	})
}

// count returns the number of members in a state.
func (m *members) count(state membership.State) int {
	count := 0
	for _, member := range m.list() {
		if member.State == state {
			count++
		}
	}
	return count
}
