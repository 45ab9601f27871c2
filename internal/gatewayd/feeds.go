package gatewayd

import (
	"net"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/relay"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// startFeeds starts to pass configuration and targets to the gateway, for as long as the
// process runs. Daemons that aren't active read the targets from other daemons of the zone
// instead of the platform's store.
func (d *Daemon) startFeeds() error {
	feeds := d.platform.Feeds()
	d.monitor = feed.NewMonitor(feeds.Store, d.node.Active, d.log)
	client := peer.NewClient([]byte(d.settings.PeerKey))
	store := relay.New(relay.Options{
		Store:            feeds.Store,
		Caller:           client,
		Kinds:            d.relayedKinds(feeds),
		Sources:          d.node.Sources,
		ReadsDirectly:    d.node.Active,
		IsReader:         d.isReader,
		StoreUnavailable: d.monitor.Unavailable,
		Log:              d.log,
	})
	d.feeds = store
	d.node.SetFeeds(store)
	d.monitor.OnLost(store.MarkUnavailable)
	config := &feed.ConfigMirror{Name: feeds.ConfigName, Decode: d.countRejected(feeds.DecodeConfig), OnChange: d.configure, Log: d.log}
	d.configPeers = &configPeers{daemon: d, mirror: config, client: client}
	if err := d.servePeers(store, client); err != nil {
		return err
	}
	targets := feed.NewTargetMirror(feeds.DecodeTarget, d.setTargets, d.log)
	go d.monitor.Run()
	go feed.NewFollower(store, d.monitor, feeds.ConfigKind, config, d.log).Run()
	go feed.NewFollower(store, d.monitor, feeds.TargetsKind, targets, d.log).Run()
	d.followEvacuations(store, feeds)
	return nil
}

// discoveryTime is how long a starting daemon may not know those that rank before it.
const discoveryTime = 2 * time.Second

// isReader reports whether this daemon reads the store more often than the others of the zone, and
// reports to them what it knows. A daemon that starts doesn't take itself for the reader before it
// can know the others.
func (d *Daemon) isReader() bool { return time.Since(d.started) > discoveryTime && d.node.IsFirst() }

// servePeers starts to serve requests of other daemons.
func (d *Daemon) servePeers(store *relay.Store, client *peer.Client) error {
	listener, err := net.Listen("tcp4", d.settings.PeerAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	d.closers = append(d.closers, listener)
	server := peer.NewServer([]byte(d.settings.PeerKey), d.log)
	store.Register(server)
	server.Register(peer.MethodNewestConfig, d.configPeers.serve)
	d.startQuarantine(client, server)
	d.startQuotas(client, server)
	go func() {
		if err := server.Serve(listener); !d.stopping.Load() {
			d.log.WithError(err).Error("peer server failed")
		}
	}()
	return nil
}

// setTargets passes the listed targets of each service to the gateway.
func (d *Daemon) setTargets(listed map[string][]placement.TargetInfo) {
	d.gateway.SetTargets(listed)
	d.hasTargets.Store(true)
	d.updateReadiness()
}

// countRejected returns a function that decodes a configuration by decode and counts those that
// are invalid.
func (d *Daemon) countRejected(decode func(spec []byte) (*route.Table, error)) func(spec []byte) (*route.Table, error) {
	return func(spec []byte) (*route.Table, error) {
		table, err := decode(spec)
		if err != nil {
			d.rejectedConfigs.Add(1)
		}
		return table, err
	}
}

// configure passes a configuration to the gateway, which ignores it if it isn't newer than
// the active one.
func (d *Daemon) configure(table *route.Table) {
	d.gateway.Apply(table, func(limits route.Limits) {
		d.server.SetLimits(d.callerLimits(limits))
	})
	d.hasConfig.Store(true)
	d.updateReadiness()
}
