package gatewayd

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/placement"
)

const (
	// shareInterval is the interval at which the daemon's load and shares are updated.
	shareInterval = 500 * time.Millisecond
	// advertisedRetries and advertisedProbes are the fractions of the common budgets that
	// the advertised daemons divide among themselves. All daemons divide the rest.
	advertisedRetries = 0.5
	advertisedProbes  = 0.95
	// probeMargin is the fraction of the probe rate that is used. The rest covers the time
	// during which daemons may disagree on who is advertised.
	probeMargin = 0.95
)

// updateShares keeps the daemon's load and its shares of the common budgets up to date.
func (d *Daemon) updateShares() {
	for {
		d.node.RecordCalls(d.gateway.RoutedRequests())
		d.gateway.SetShares(d.shares())
		time.Sleep(shareInterval)
	}
}

func (d *Daemon) shares() gateway.Shares {
	standing := d.node.ZoneStatus()
	zones := float64(max(len(d.settings.Zones), 1))
	perDaemon := 1 / (zones * float64(standing.Daemons))
	shares := gateway.Shares{
		Retries: (1 - advertisedRetries) * perDaemon,
		Probes:  probeMargin * (1 - advertisedProbes) * perDaemon,
	}
	if standing.Advertised {
		shares.Places = placement.Partition{Index: standing.Index, Of: standing.AdvertisedDaemons}
		perAdvertised := 1 / (zones * float64(standing.AdvertisedDaemons))
		shares.Retries += advertisedRetries * perAdvertised
		shares.Probes += probeMargin * advertisedProbes * perAdvertised
	}
	if !d.serving.Load() && !d.stopping.Load() {
		// A starting daemon doesn't know its rank in the zone yet, and may have to serve at
		// any moment, so its probes are unlimited.
		shares.Probes = 0
	}
	return shares
}
