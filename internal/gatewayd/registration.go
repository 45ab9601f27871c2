package gatewayd

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
)

const (
	// registerRetryInterval is the pause before a failed registration is retried.
	registerRetryInterval = time.Second
	// secondListDelay is the pause between the first and the second listing of the
	// registered daemons.
	secondListDelay = time.Second
	// listRetryInterval is the pause before a failed listing of the daemons to ask for
	// their configuration is retried. maxListFailures bounds the failures while the
	// platform responds to other calls.
	listRetryInterval = 400 * time.Millisecond
	maxListFailures   = 3
	// listInterval is the pause between later listings. It can be long: a daemon that
	// starts contacts all daemons that it finds, so later listings only find missed ones.
	listInterval = 15 * time.Second
)

// register registers the daemon on the platform and discovers the other daemons. It lists them a
// second time soon, when daemons that started at the same time are registered. That list is no stale
// read, which may leave out all of them.
func (d *Daemon) register(self heartbeat.Member) {
	d.askPeers()
	// Heartbeats carry what changes with each start. Without it, the registration of a
	// daemon that restarts is already up to date.
	self.State, self.StartedMillis = "", 0
	for !d.stopping.Load() {
		err := d.storeRegistration(self)
		if err == nil {
			break
		}
		d.log.WithError(err).Warn("failed to register the daemon on the platform; retrying")
		time.Sleep(registerRetryInterval)
	}
	pause := secondListDelay
	for lists := 1; !d.stopping.Load(); lists++ {
		if err := d.discover(lists != 2); err != nil {
			d.log.WithError(err).Info("failed to list the registered daemons; retrying")
		}
		time.Sleep(pause)
		pause = listInterval
	}
}

// askPeers asks the registered daemons for a newer configuration than the platform's. If they
// can't be listed although the platform responds to other calls, the daemon starts without.
func (d *Daemon) askPeers() {
	for failures := 0; failures < maxListFailures && !d.stopping.Load(); {
		members, err := d.registeredDaemons(true)
		if err == nil {
			d.learnQuotaMembers(members)
			d.configPeers.askAll(members)
			break
		}
		if d.hasConfig.Load() {
			failures++
		}
		d.log.WithError(err).Info("failed to list the daemons to ask for their configuration")
		time.Sleep(listRetryInterval)
	}
	d.askedPeers.Store(true)
	d.updateReadiness()
}

// discover passes the registered daemons to the heartbeat node.
func (d *Daemon) discover(stale bool) error {
	members, err := d.registeredDaemons(stale)
	if err != nil {
		return err
	}
	d.node.Learn(members)
	d.learnQuotaMembers(members)
	return nil
}
