package gatewayd

import (
	"net"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/relay"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// follow passes configuration and targets on to the gateway for as long as the process
// runs. Daemons that callers aren't sent to follow the targets at others of the zone.
func (d *Daemon) follow() error {
	feeds := d.platform.Feeds()
	d.monitor = feed.NewMonitor(feeds.Store, d.node.Active, d.log)
	client := peer.NewClient([]byte(d.settings.PeerKey))
	store := relay.New(relay.Options{
		Store:   feeds.Store,
		Caller:  client,
		Kinds:   []relay.Kind{{Name: feeds.ConfigKind}, {Name: feeds.TargetsKind, Spared: true}},
		Sources: d.node.Sources,
		Direct:  d.node.Active,
		Away:    d.monitor.Away,
	})
	d.monitor.OnLost(store.Lost)
	if err := d.serveDaemons(store, client); err != nil {
		return err
	}
	config := &feed.Config{Name: feeds.ConfigName, Decode: feeds.DecodeConfig, Pass: d.configure, Log: d.log}
	targets := feed.NewTargets(feeds.DecodeTarget, d.setTargets, d.log)
	go d.monitor.Run()
	go feed.NewFollower(store, d.monitor, feeds.ConfigKind, config, d.log).Run()
	go feed.NewFollower(store, d.monitor, feeds.TargetsKind, targets, d.log).Run()
	return nil
}

// serveDaemons serves the other daemons of the zone.
func (d *Daemon) serveDaemons(store *relay.Store, client *peer.Client) error {
	listener, err := net.Listen("tcp4", d.settings.Peer)
	if err != nil {
		return Error.Wrap(err)
	}
	d.listening = append(d.listening, listener)
	server := peer.NewServer([]byte(d.settings.PeerKey), d.log)
	store.Register(server)
	d.startQuarantine(client, server)
	go func() {
		if err := server.Serve(listener); !d.leaving.Load() {
			d.log.WithError(err).Error("other daemons not served")
		}
	}()
	return nil
}

// setTargets takes the listed targets of each service.
func (d *Daemon) setTargets(listed map[string][]placement.Entry) {
	d.gateway.SetTargets(listed)
	d.hasTargets.Store(true)
	d.update()
}

// configure takes a configuration. Older ones than the one in force have no effect.
func (d *Daemon) configure(table *route.Table) {
	d.gateway.Apply(table, func(limits route.Limits) {
		d.server.SetLimits(d.callerLimits(limits))
	})
	d.hasConfig.Store(true)
	d.update()
}
