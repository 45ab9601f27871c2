package daemon

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/membership"
)

const (
	// announceTime is how long the news that this VM leaves takes to reach the
	// other entry VMs.
	announceTime = 2 * time.Second
	// closeLead is how long before the end answers begin to tell callers to close
	// their connections.
	closeLead = time.Second
	// lastAnswerLimit bounds the wait for the last answers.
	lastAnswerLimit = 30 * time.Second
	// drainPoll is the pause between two looks at what is in flight.
	drainPoll = 20 * time.Millisecond
	// quietTime is how long no request may have been in flight before the daemon
	// closes.
	quietTime = 200 * time.Millisecond
)

// drain serves on until callers have forgotten this VM and nothing is in flight.
// The last answers tell callers to close their connections.
func (d *Daemon) drain() {
	d.log.WithField("in_flight", d.callers.InFlight()).Info("draining")
	d.members.setState(membership.Leaving)
	forgotten := time.Now().Add(d.settings.Keep() + announceTime)
	time.Sleep(time.Until(forgotten.Add(-closeLead)))
	d.callers.Drain()
	d.awaitQuiet(forgotten, forgotten.Add(lastAnswerLimit))
	d.members.setState(membership.Dead)
	d.log.WithField("in_flight", d.callers.InFlight()).Info("drained")
}

// awaitQuiet waits until earliest, and then until nothing has been in flight for
// quietTime, but not beyond latest.
func (d *Daemon) awaitQuiet(earliest, latest time.Time) {
	busy := time.Now()
	for now := busy; now.Before(latest); now = time.Now() {
		if d.callers.InFlight() > 0 {
			busy = now
		}
		if now.After(earliest) && now.Sub(busy) >= quietTime {
			return
		}
		time.Sleep(drainPoll)
	}
}
