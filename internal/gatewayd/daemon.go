// Package gatewayd wires the parts of a gateway daemon together: the callers' server,
// the gateway, heartbeats in the zone, the outside platform and the admin port. It
// decides when the daemon serves, whom it names to callers, and how it leaves.
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

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// Error is the class of this package's errors.
var Error = errs.Class("gatewayd")

const (
	// keepTime is how long callers keep a list of entry VMs.
	keepTime = time.Second
	// keepFactor is the multiple of it for which some callers keep a list.
	keepFactor = 3
	// leaveMargin is the time before the end of the grace at which a leaving daemon
	// ends, whatever is under way.
	leaveMargin = 300 * time.Millisecond
	// lateMargin is added to the time for which callers keep a list, for their way.
	lateMargin = 200 * time.Millisecond
	// leavePoll is the pause between two looks whether a leaving daemon can end.
	leavePoll = 50 * time.Millisecond
	// stopTimeout bounds the closing of connections at the end.
	stopTimeout = 100 * time.Millisecond
	// pipelined bounds the unanswered requests of one caller's connection.
	pipelined = 16
	// processors lets other threads run while the event loop waits for events.
	processors = 2
	// gcPercent trades processor time for memory.
	gcPercent = 50
)

// firstLimits bound callers until a configuration is there.
var firstLimits = route.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     1 << 20,
	HeaderTimeout: 10 * time.Second,
	IdleTimeout:   10 * time.Second,
}

// Daemon is one gateway daemon.
type Daemon struct {
	settings Settings
	platform Platform
	log      *logrus.Logger
	started  time.Time
	node     *heartbeat.Node
	monitor  *feed.Monitor
	gateway  *gateway.Gateway
	server   *callerserver.Server
	// listening holds what is closed at the end.
	listening []io.Closer
	// quarantine keeps requests that crash targets.
	quarantine *quarantine.Keeper

	hasConfig  atomic.Bool
	hasTargets atomic.Bool
	leaving    atomic.Bool
	// serving is set while callers may be sent here.
	serving atomic.Bool
}

// New returns a daemon that doesn't run yet.
func New(settings Settings, platform Platform, log *logrus.Logger) *Daemon {
	return &Daemon{settings: settings, platform: platform, log: log}
}

// Prepare sets up the process: it leaves room for other threads while the event loop
// waits, and catches the signals that Run takes.
func Prepare() <-chan os.Signal {
	runtime.GOMAXPROCS(processors)
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// signalBuffer holds signals that come while another one is handled.
const signalBuffer = 4

// Run serves until SIGTERM, after which it hands its callers over, or SIGINT, which ends
// it at once. SIGHUP reads the settings again.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	d.started = time.Now()
	self := heartbeat.Member{
		Name:  d.settings.Name,
		Zone:  d.settings.Zone,
		Front: d.settings.Front,
		Peer:  d.settings.Peer,
		Born:  d.started.UnixMilli(),
		State: heartbeat.Starting,

		Capacity: d.settings.Resources.capacity(),
	}
	node, err := heartbeat.Listen(self, d.settings.EntrySet, d.log)
	if err != nil {
		return err
	}
	d.node = node
	failed, err := d.listen()
	if err != nil {
		return err
	}
	d.log.WithField("vm", d.settings.Name).WithField("zone", d.settings.Zone).Info("started")
	if err := d.follow(); err != nil {
		return err
	}
	go d.join(self)
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
				d.leave()
				return nil
			}
		}
	}
}

// listen opens the addresses. The channel takes the error that ends the server.
func (d *Daemon) listen() (<-chan error, error) {
	d.gateway = gateway.New(gateway.Options{
		Zone:        d.settings.Zone,
		Zones:       d.settings.Zones,
		Dialect:     d.platform.Dialect(),
		RetryWindow: d.settings.RetryWindow,
		RetryRatio:  d.settings.RetryRatio,
		RetryFixed:  d.settings.RetryFixed,
		ProbeRate:   d.settings.ProbeRate,

		TargetConnections: d.settings.Resources.targetConnections(),
	}, d.log)
	handler, err := d.newListeners()
	if err != nil {
		return nil, err
	}
	d.server = callerserver.New(handler, d.callerLimits(firstLimits), d.log)
	failed := make(chan error, 1)
	go func() {
		failed <- d.server.RunLoop([]string{d.settings.Front, d.settings.Directory, d.settings.Ready})
	}()
	select {
	case err := <-failed:
		return nil, Error.Wrap(err)
	case <-d.server.Started():
	}
	loop, err := d.server.Loop(d.settings.Ready)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.gateway.Start(loop)
	go d.shareBudgets()
	return failed, nil
}

// callerLimits bounds what callers may send, and how.
func (d *Daemon) callerLimits(limits route.Limits) callerserver.Limits {
	return callerserver.Limits{
		HeaderBytes: limits.HeaderBytes,
		BodyBytes:   limits.BodyBytes,
		SendTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout,
		Pipelined:   pipelined,
		Connections: d.settings.Resources.callerConnections(),
		AnyRequest:  true,
	}
}

// update tells others once the daemon can serve.
func (d *Daemon) update() {
	if d.leaving.Load() || !d.hasConfig.Load() || !d.hasTargets.Load() {
		return
	}
	if !d.serving.Swap(true) {
		d.node.SetState(heartbeat.Ready)
		d.log.Info("ready")
	}
}

// reload checks the settings again. What can change in a running daemon is its log
// level.
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
