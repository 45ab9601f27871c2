package gatewayd

import (
	"context"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
)

// leave hands the daemon's callers over: others are named to them, whoever still
// comes is served, and nothing under way is cut.
func (d *Daemon) leave() {
	began := time.Now()
	d.leaving.Store(true)
	d.serving.Store(false)
	d.node.SetState(heartbeat.Leaving)
	end := began.Add(d.settings.Grace - leaveMargin)
	d.gateway.BeginDrain(began.Add(keepFactor*keepTime+lateMargin), end)
	d.server.Drain()
	d.log.WithField("in_flight", d.server.InFlight()).Info("leaving")
	go d.forget()
	for time.Now().Before(end) {
		time.Sleep(leavePoll)
		if time.Since(began) > keepFactor*keepTime+leaveMargin && d.server.InFlight() == 0 {
			break
		}
	}
	d.stop()
}

// stop ends the daemon at once.
func (d *Daemon) stop() {
	d.leaving.Store(true)
	d.log.WithField("in_flight", d.server.InFlight()).Info("stopped")
	d.node.Close()
	for _, closer := range d.listening {
		// What isn't closed ends with the process.
		_ = closer.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	// Connections that don't close in time are cut by the end of the process.
	_ = d.server.Stop(ctx)
}

// forget takes the daemon out. If that fails, others forget it since it
// is silent.
func (d *Daemon) forget() {
	if err := d.platform.Leave(); err != nil {
		d.log.WithError(err).Warn("daemon not taken out")
	}
}
