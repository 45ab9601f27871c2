package gatewayd

import (
	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/relay"
)

// relayedKinds returns the kinds of objects that daemons pass on to one another.
func (d *Daemon) relayedKinds(feeds Feeds) []relay.Kind {
	kinds := []relay.Kind{{Name: feeds.ConfigKind}, {Name: feeds.TargetsKind, PreferPeers: true}}
	if d.settings.EvacuateTime > 0 {
		kinds = append(kinds, relay.Kind{Name: feeds.EvacuationsKind, PreferPeers: true, Current: true})
	}
	return kinds
}

// followEvacuations starts to pass the evacuated zones to the gateway, if they are watched.
func (d *Daemon) followEvacuations(store *relay.Store, feeds Feeds) {
	if d.settings.EvacuateTime <= 0 {
		d.hasEvacuations.Store(true)
		d.updateReadiness()
		return
	}
	zones := append([]string{d.settings.Zone}, d.settings.Zones...)
	mirror := feed.NewEvacuationMirror(zones, d.setEvacuated, d.log)
	go feed.NewFollower(store, d.monitor, feeds.EvacuationsKind, mirror, d.log).Run()
}

// setEvacuated passes the evacuated zones to the gateway.
func (d *Daemon) setEvacuated(zones []string) {
	d.gateway.SetEvacuated(zones)
	d.hasEvacuations.Store(true)
	d.updateReadiness()
}
