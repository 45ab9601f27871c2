package gatewayd

import (
	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/relay"
)

// relayedKinds returns the kinds of objects that daemons pass on to one another.
func relayedKinds(feeds Feeds) []relay.Kind {
	kinds := []relay.Kind{{Name: feeds.ConfigKind}, {Name: feeds.TargetsKind, PreferPeers: true}}
	if feeds.EvacuationsKind != "" {
		kinds = append(kinds, relay.Kind{Name: feeds.EvacuationsKind, PreferPeers: true, Current: true})
	}
	return kinds
}

// followEvacuations starts to pass the evacuated zones to the gateway, if they are watched.
func (d *Daemon) followEvacuations(store *relay.Store, feeds Feeds) {
	if feeds.EvacuationsKind == "" {
		d.hasEvacuations.Store(true)
		d.updateReadiness()
		return
	}
	mirror := feed.NewEvacuationMirror(feeds.DecodeEvacuation, d.setEvacuated, d.log)
	go feed.NewFollower(store, d.monitor, feeds.EvacuationsKind, mirror, d.log).Run()
}

// setEvacuated passes the evacuated zones to the gateway.
func (d *Daemon) setEvacuated(zones []string) {
	d.gateway.SetEvacuated(zones)
	d.hasEvacuations.Store(true)
	d.updateReadiness()
}
