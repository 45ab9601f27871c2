package gatewayd

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
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

// retryShare is this daemon's share of the fixed part of the retry budget, which all daemons have in
// common. What a daemon has spent counts for a whole window, also after it has ended or is no
// longer advertised. So a daemon that takes its place gets the share only after a window.
type retryShare struct {
	startedAt time.Time
	// advertisedSince is when the daemon was last added to the advertised ones; zero while it isn't
	// one of them.
	advertisedSince time.Time
}

// at returns the share at a time.
func (s *retryShare) at(now time.Time, window time.Duration, zones float64, status heartbeat.ZoneStatus) float64 {
	switch {
	case !status.Advertised:
		s.advertisedSince = time.Time{}
	case s.advertisedSince.IsZero():
		s.advertisedSince = now
	}
	// Without other daemons there is nobody who can have spent it.
	alone := status.Daemons == 1
	share := 0.0
	if alone || now.Sub(s.startedAt) >= window {
		share += (1 - advertisedRetries) / (zones * float64(status.Daemons))
	}
	if status.Advertised && (alone || now.Sub(s.advertisedSince) >= window) {
		share += advertisedRetries / (zones * float64(status.AdvertisedDaemons))
	}
	return share
}

// updateShares keeps the daemon's load and its shares of the common budgets up to date.
func (d *Daemon) updateShares() {
	for {
		d.node.RecordCalls(d.gateway.RoutedRequests())
		d.gateway.SetShares(d.shares(time.Now()))
		time.Sleep(shareInterval)
	}
}

func (d *Daemon) shares(now time.Time) gateway.Shares {
	status := d.node.ZoneStatus()
	zones := float64(max(len(d.settings.Zones), 1))
	perDaemon := 1 / (zones * float64(status.Daemons))
	shares := gateway.Shares{
		Retries: d.retryShare.at(now, d.settings.RetryWindow, zones, status),
		Probes:  probeMargin * (1 - advertisedProbes) * perDaemon,
		Cold:    d.coldShare.at(now, zones, status, d.node.Responding()),
	}
	if status.Advertised {
		shares.Places = placement.Partition{Index: status.Index, Of: status.AdvertisedDaemons}
		perAdvertised := 1 / (zones * float64(status.AdvertisedDaemons))
		shares.Probes += probeMargin * advertisedProbes * perAdvertised
	}
	if !d.serving.Load() && !d.stopping.Load() {
		// A starting daemon doesn't know its rank in the zone yet, and may have to serve at
		// any moment, so its probes are unlimited.
		shares.Probes = 0
	}
	return shares
}
