// Package gatewayd assembles a gateway daemon from the server for callers, the gateway, the
// heartbeats between daemons, the external platform and the admin port. It decides when the
// daemon is ready, which entry VMs it advertises to callers, and how it shuts down.
package gatewayd

import (
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/relay"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// Error is the class of this package's errors.
var Error = errs.Class("gatewayd")

const (
	// directoryTTL is how long callers may cache the list of entry VMs.
	directoryTTL = time.Second
	// directoryCacheFactor is the multiple of directoryTTL for which some callers cache
	// the list.
	directoryCacheFactor = 3
	// exitMargin is how long before the end of the grace period a draining daemon exits,
	// even if requests are in flight.
	exitMargin = 300 * time.Millisecond
	// requestMargin covers the time from the sending of a request to its arrival, and that from
	// a signal to its handling.
	requestMargin = 200 * time.Millisecond
	// drainPollInterval is the interval at which a draining daemon checks whether it can
	// exit.
	drainPollInterval = 50 * time.Millisecond
	// stopTimeout bounds the time for closing connections before the exit.
	stopTimeout = 100 * time.Millisecond
	// maxPipelined is the maximum number of pending requests of a caller's connection.
	maxPipelined = 16
	// maxProcs is 2 so that other threads can run while the event loop waits for events.
	maxProcs = 2
	// gcPercent trades processor time for memory.
	gcPercent = 50
)

// initialLimits apply until there is a configuration.
var initialLimits = route.Limits{
	HeaderBytes:    16 << 10,
	BodyBytes:      1 << 20,
	ReceiveTimeout: 10 * time.Second,
	IdleTimeout:    10 * time.Second,
}

// Daemon is a gateway daemon.
type Daemon struct {
	settings Settings
	platform Platform
	log      *logrus.Logger
	started  time.Time
	node     *heartbeat.Node
	monitor  *feed.Monitor
	feeds    *relay.Store
	gateway  *gateway.Gateway
	server   *callerserver.Server
	// budget accounts for what is held for callers and targets.
	budget *bytebudget.Budget
	// closers are the listeners and servers to close on exit.
	closers []io.Closer
	// quarantine detects requests that crash targets.
	quarantine *quarantine.Coordinator
	// quotas is nil if no quota is enforced.
	quotas *quotas
	// retryShare is accessed only by updateShares.
	retryShare retryShare
	// coldShare is accessed only by updateShares.
	coldShare coldShare

	// rejectedConfigs counts the configurations that were invalid.
	rejectedConfigs atomic.Uint64
	// configPeers asks other daemons for their configuration.
	configPeers *configPeers

	hasConfig  atomic.Bool
	hasTargets atomic.Bool
	// hasEvacuations is set once the evacuated zones are known, or if they are not watched.
	hasEvacuations atomic.Bool
	// askedPeers is set once other daemons were asked for a newer configuration than the
	// platform's, whether they have answered or not.
	askedPeers atomic.Bool
	// stopping is set once the daemon drains or stops.
	stopping atomic.Bool
	// serving is set while callers may be directed to this daemon.
	serving atomic.Bool
}

// New returns a daemon. Run starts it.
func New(settings Settings, platform Platform, log *logrus.Logger) *Daemon {
	return &Daemon{settings: settings, platform: platform, log: log}
}

// ConfigureProcess configures the Go runtime and returns the channel of the signals that Run
// handles.
func ConfigureProcess() <-chan os.Signal {
	runtime.GOMAXPROCS(maxProcs)
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// signalBuffer is the number of signals that are kept while another one is handled.
const signalBuffer = 4

// Run serves until SIGTERM, after which it drains, or SIGINT, after which it stops at once.
// SIGHUP reloads the settings.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	d.started = time.Now()
	d.retryShare.startedAt = d.started
	d.coldShare = newColdShare(d.settings.ColdSlack, len(d.settings.Zones))
	self := heartbeat.Member{
		Name:          d.settings.Name,
		Zone:          d.settings.Zone,
		CallerAddress: d.settings.CallerAddress,
		PeerAddress:   d.settings.PeerAddress,
		StartedMillis: d.started.UnixMilli(),
		State:         heartbeat.Starting,

		Capacity: d.settings.Resources.capacity(),
	}
	node, err := heartbeat.Listen(self, d.settings.MinEntryVMs, d.log)
	if err != nil {
		return err
	}
	d.node = node
	failed, err := d.listen()
	if err != nil {
		return err
	}
	d.log.WithField("vm", d.settings.Name).WithField("zone", d.settings.Zone).Info("started")
	if err := d.startFeeds(); err != nil {
		return err
	}
	go d.register(self)
	d.serveAdmin()
	for {
		select {
		case err := <-failed:
			return Error.Wrap(err)
		case s := <-signals:
			switch s {
			case syscall.SIGHUP:
				d.reload()
			case syscall.SIGINT:
				d.stop()
				return nil
			default:
				d.drain()
				return nil
			}
		}
	}
}

// listen starts the server for callers and the gateway on its event loop. The channel
// receives the error with which the server ends.
func (d *Daemon) listen() (<-chan error, error) {
	d.budget = bytebudget.New(d.settings.Resources.heldBytes())
	d.gateway = gateway.New(gateway.Options{
		Zone:        d.settings.Zone,
		Zones:       d.settings.Zones,
		Dialect:     d.platform.Dialect(),
		RetryWindow: d.settings.RetryWindow,
		RetryRatio:  d.settings.RetryRatio,
		RetryFixed:  d.settings.RetryFixed,
		HedgeRatio:  d.settings.HedgeRatio,
		ProbeRate:   d.settings.ProbeRate,

		TargetConnections: d.settings.Resources.targetConnections(),
		ResponseBytes:     d.settings.Resources.responseBytes(),
		Budget:            d.budget,
	}, d.log)
	handler, err := d.newPortDispatcher()
	if err != nil {
		return nil, err
	}
	limits := d.callerLimits(initialLimits)
	limits.Provisional = true
	d.server = callerserver.New(handler, limits, d.log)
	d.server.SetBudget(d.budget)
	failed := make(chan error, 1)
	go func() {
		failed <- d.server.RunSingleLoop([]string{d.settings.CallerAddress, d.settings.DirectoryAddress, d.settings.ReadinessAddress})
	}()
	select {
	case err := <-failed:
		return nil, Error.Wrap(err)
	case <-d.server.Started():
	}
	loop, err := d.server.Loop(d.settings.ReadinessAddress)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.relieveWhenShort(loop)
	d.gateway.Start(loop)
	go d.updateShares()
	return failed, nil
}

// callerLimits returns the limits of the server for callers.
func (d *Daemon) callerLimits(limits route.Limits) callerserver.Limits {
	return callerserver.Limits{
		HeaderBytes:   limits.HeaderBytes,
		BodyBytes:     limits.BodyBytes,
		SendTimeout:   limits.ReceiveTimeout,
		IdleTimeout:   limits.IdleTimeout,
		PipelineDepth: maxPipelined,
		Connections:   d.settings.Resources.callerConnections(),
		AnyRequest:    true,
	}
}

// updateReadiness announces to other daemons that this one is ready, once it has a
// configuration and targets, knows the evacuated zones and has asked other daemons for a newer configuration.
func (d *Daemon) updateReadiness() {
	if d.stopping.Load() || !d.hasConfig.Load() || !d.hasTargets.Load() || !d.hasEvacuations.Load() || !d.askedPeers.Load() {
		return
	}
	if !d.serving.Swap(true) {
		d.node.SetState(heartbeat.Ready)
		d.log.Info("ready")
	}
}

// reload reads and validates the settings again. Only the log level can change in a running
// daemon.
func (d *Daemon) reload() {
	text, err := d.platform.Reload()
	if err != nil {
		d.log.WithError(err).Error("settings not reloaded")
		return
	}
	level, err := logrus.ParseLevel(text)
	if err != nil {
		d.log.WithError(err).Error("settings not reloaded")
		return
	}
	d.log.SetLevel(level)
	d.log.Info("settings reloaded")
}
