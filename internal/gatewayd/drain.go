package gatewayd

import (
	"context"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
)

const (
	// directoryCacheTime is for how long callers may keep using a list of entry VMs.
	directoryCacheTime = directoryCacheFactor * directoryTTL
	// acceptAllFor is how long a draining daemon accepts every request. Requests that are sent
	// within directoryCacheTime may arrive later, but one that was sent later must not be
	// accepted unless it ends before the exit.
	acceptAllFor = directoryCacheTime - requestMargin
)

// drain shuts the daemon down without aborting requests in progress: callers are directed to
// other daemons, and requests that still arrive here are served.
func (d *Daemon) drain() {
	began := time.Now()
	d.stopping.Store(true)
	d.serving.Store(false)
	d.node.SetState(heartbeat.Draining)
	end := began.Add(d.settings.TerminationGrace - exitMargin)
	d.gateway.BeginDrain(began.Add(acceptAllFor), end)
	d.server.Drain()
	if d.quotas != nil {
		d.quotas.resign()
	}
	d.log.WithField("in_flight", d.server.InFlight()).Info("leaving")
	go d.deregister()
	d.awaitIdle(began.Add(directoryCacheTime+exitMargin), end)
	d.stop()
}

// awaitIdle waits from earliest until no request is in progress or arriving, and until latest at
// most. Before the exit, requests are refused for a moment instead of accepted, so that the exit
// cuts off none that was read just before it.
func (d *Daemon) awaitIdle(earliest, latest time.Time) {
	refusing := false
	for time.Now().Before(latest) {
		time.Sleep(drainPollInterval)
		if time.Now().Before(earliest) || d.server.InFlight() > 0 || d.server.Receiving() {
			continue
		}
		if refusing {
			return
		}
		refusing = true
		now := time.Now()
		d.gateway.BeginDrain(now, now)
	}
}

// stop stops the daemon at once.
func (d *Daemon) stop() {
	d.stopping.Store(true)
	d.log.WithField("in_flight", d.server.InFlight()).Info("stopped")
	d.node.Close()
	for _, closer := range d.closers {
		// What fails to close is closed when the process exits.
		_ = closer.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	// Connections that don't close in time are closed when the process exits.
	_ = d.server.Stop(ctx)
}

// deregister removes the daemon from the platform's list. If that fails, the other daemons
// drop it because it stops sending heartbeats.
func (d *Daemon) deregister() {
	if err := d.deleteRegistration(); err != nil {
		d.log.WithError(err).Warn("failed to deregister the daemon from the platform")
	}
}
