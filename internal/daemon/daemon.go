// Package daemon wires the parts of an entry daemon together.
package daemon

import (
	"context"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/admin"
	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/netdial"
	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/settings"
)

const (
	// sendTimeout bounds the time a caller takes to send a request.
	sendTimeout = 5 * time.Second
	// idleTimeout bounds the time between a caller's requests.
	idleTimeout = 2 * time.Minute
)

// Daemon is one entry daemon.
type Daemon struct {
	settings        *settings.Settings
	log             logrus.FieldLogger
	incarnation     string
	store           platform.Store
	follower        *rollout.Follower
	proxy           *proxy.Proxy
	callers         *callerserver.Server
	admin           *fasthttp.Server
	api             *admin.Server
	peers           *peer.Server
	peerClient      *peer.Client
	snapshot        atomic.Pointer[config.Snapshot]
	once            once
	quarantine      *quarantine.Coordinator
	quarantineStore *quarantineStore
	started         time.Time
	stop            chan struct{}
	members         *members
	observed        observed
	// targetsLeaving are the target VMs that the platform's list shows as leaving
	// or gone.
	targetsLeaving atomic.Pointer[map[string]bool]
}

// SetDial replaces the way that connections to targets and other daemons are
// opened. It must be called before Run.
func (d *Daemon) SetDial(dial netdial.Func) {
	d.proxy.SetDial(dial)
	d.peerClient.SetDial(dial)
}

// New returns a daemon that isn't running.
func New(s *settings.Settings, log logrus.FieldLogger) *Daemon {
	id := uuid.New()
	d := &Daemon{
		settings:    s,
		log:         log.WithField("vm", s.Name),
		incarnation: hex.EncodeToString(id[:8]),
		stop:        make(chan struct{}),
		observed:    newObserved(),
	}
	d.store = d.observed.metrics.Platform.Count(platform.NewClient(s.Platform, s.PlatformTimeout()))
	d.snapshot.Store(config.Empty())
	d.targetsLeaving.Store(&map[string]bool{})
	d.once = d.newOnce()
	d.proxy = proxy.New(d.incarnation, d.once.guard, d.log)
	d.proxy.SetRegion(s.Region)
	d.callers = callerserver.New(d, callerLimits(s), d.log)
	d.peers = peer.NewServer([]byte(s.PeerKey), d.log)
	if s.PeerKeyAlso != "" {
		d.peers.AcceptKey([]byte(s.PeerKeyAlso))
	}
	d.peerClient = peer.NewClient([]byte(s.PeerKey))
	d.follow()
	d.startOnce()
	d.startLeavingTargets()
	d.startQuarantine()
	d.observeParts()
	d.startAPI()
	d.admin = newAdminServer(d.serveAdmin, d.log)
	return d
}

func callerLimits(s *settings.Settings) callerserver.Limits {
	return callerserver.Limits{
		HeaderBytes:   s.MaxHeaderBytes,
		BodyBytes:     s.MaxBodyBytes,
		SendTimeout:   sendTimeout,
		IdleTimeout:   idleTimeout,
		Connections:   s.MaxCallerConnections,
		BufferedBytes: s.MaxBufferedBytes,
	}
}

// follow sets up the parts that follow configuration and membership.
func (d *Daemon) follow() {
	self := membership.Record{
		Name:        d.settings.Name,
		IP:          d.settings.IP,
		Region:      d.settings.Region,
		Zone:        d.settings.Zone,
		Incarnation: d.incarnation,
		Epoch:       uint64(time.Now().UnixMilli()),
		State:       membership.Joining,
	}
	d.members = newMembers(self, d.settings.PeerPort, d.peerClient, d.log)
	d.members.rejoined = d.rejoined
	d.members.detector.Seed(d.settings.Peers)
	d.follower = rollout.NewFollower(d.store, &configurationPeers{client: d.peerClient, members: d.members}, d.log, d.apply)
	d.members.follower = d.follower
	d.members.register(d.peers)
	registerConfiguration(d.peers, d.follower)
}

// apply brings a configuration into force. The first one waits for what peers know
// of leaving targets.
func (d *Daemon) apply(snapshot *config.Snapshot) {
	var leaving []string
	if d.snapshot.Load().Revision == 0 {
		leaving = d.learnLeavingTargets()
	}
	d.proxy.Apply(snapshot)
	d.proxy.SetTargetsLeavingByPeer(leaving)
	d.observed.metrics.Calls.Configure(snapshot)
	d.targetsConfigured()
	d.applyOnce(snapshot)
	d.snapshot.Store(snapshot)
	d.members.join()
}

// Run serves until ctx is done and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	d.started = time.Now()
	listeners, err := listen(d.settings.AdminAddress(), d.settings.PeerAddress(), d.settings.APIAddress())
	if err != nil {
		return err
	}
	defer closeAll(listeners)
	failed := make(chan error, len(listeners)+1)
	go func() { failed <- d.admin.Serve(listeners[0]) }()
	go func() { failed <- d.peers.Serve(listeners[1]) }()
	go func() { failed <- d.api.Serve(listeners[2]) }()
	go func() { failed <- d.callers.Run(d.settings.CallerAddress(), d.settings.EventLoops) }()
	go d.follower.Run()
	go d.followVMs()
	go d.sweep()
	go d.tellLeavingTargets()
	go d.members.run(d.stop)
	go d.once.recorder.Run(d.stop)
	go d.quarantine.Run(d.stop)
	go d.learnSuspects()
	go d.learnStored()
	go d.quarantineStore.run()
	d.log.WithField("callers", d.settings.CallerAddress()).WithField("admin", d.settings.AdminAddress()).WithField("api", d.settings.APIAddress()).Info("entry daemon started")
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	d.shutdown()
	return err
}

func (d *Daemon) shutdown() {
	apiStopped := d.stopAPI()
	d.drain()
	<-apiStopped
	d.once.recorder.Drain(recordDrainLimit)
	close(d.stop)
	d.follower.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	_ = d.callers.Stop(ctx)
	_ = d.admin.ShutdownWithContext(ctx)
	d.peers.Close()
	d.peerClient.Close()
	d.proxy.Close()
	d.log.Info("entry daemon stopped")
}

func (d *Daemon) stopping() bool {
	select {
	case <-d.stop:
		return true
	default:
		return false
	}
}

// sleep waits for pause, or until the daemon stops.
func (d *Daemon) sleep(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.stop:
	}
}
