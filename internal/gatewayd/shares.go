package gatewayd

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/placement"
)

const (
	// shareEvery is the pause between two looks at the daemon's load and shares.
	shareEvery = 500 * time.Millisecond
	// namedRetries and namedProbes are the parts of the budgets that the daemons share
	// to which callers are sent; all daemons share the rest.
	namedRetries = 0.5
	namedProbes  = 0.95
	// probeMargin is the part of the rate of probes that is used, as daemons may
	// disagree for a while on who is named.
	probeMargin = 0.95
)

// shareBudgets keeps the daemon's load and shares up to date.
func (d *Daemon) shareBudgets() {
	for {
		d.node.Carry(d.gateway.RoutedRequests())
		d.gateway.SetShares(d.shares())
		time.Sleep(shareEvery)
	}
}

func (d *Daemon) shares() gateway.Shares {
	standing := d.node.Standing()
	zones := float64(max(len(d.settings.Zones), 1))
	all := 1 / (zones * float64(standing.Daemons))
	shares := gateway.Shares{
		Retries: (1 - namedRetries) * all,
		Probes:  probeMargin * (1 - namedProbes) * all,
	}
	if standing.Named {
		shares.Places = placement.Part{Index: standing.Index, Of: standing.NamedDaemons}
		each := 1 / (zones * float64(standing.NamedDaemons))
		shares.Retries += namedRetries * each
		shares.Probes += probeMargin * namedProbes * each
	}
	if !d.serving.Load() && !d.leaving.Load() {
		// Its place in the zone isn't known yet, and it may have to serve at any moment.
		shares.Probes = 0
	}
	return shares
}
