package daemon

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

const (
	// storeBacklog bounds the changes that wait to be written.
	storeBacklog = 64
	// storePause is the pause between two writes, and after a failed one.
	storePause = time.Second
)

// quarantineStore keeps quarantined contents on the platform.
type quarantineStore struct {
	daemon  *Daemon
	changes chan quarantine.Change
}

func newQuarantineStore(d *Daemon) *quarantineStore {
	return &quarantineStore{daemon: d, changes: make(chan quarantine.Change, storeBacklog)}
}

// change hands a change to the writer. It doesn't wait: with a full backlog the
// change is logged and dropped.
func (w *quarantineStore) change(change quarantine.Change) {
	select {
	case w.changes <- change:
	default:
		w.daemon.log.Warn("change of the kept quarantine dropped")
	}
}

// run writes changes until the daemon stops. Those of an outage are tried again.
func (w *quarantineStore) run() {
	var pending []quarantine.Change
	for {
		select {
		case <-w.daemon.stop:
			return
		case change := <-w.changes:
			pending = append(pending, change)
		}
		for len(pending) > 0 && !w.daemon.stopping() {
			pending = w.write(w.withBacklog(pending))
			w.daemon.sleep(storePause)
		}
	}
}

// withBacklog adds what has come meanwhile and keeps the newest changes.
func (w *quarantineStore) withBacklog(pending []quarantine.Change) []quarantine.Change {
	for {
		select {
		case change := <-w.changes:
			pending = append(pending, change)
		default:
			return pending[max(0, len(pending)-storeBacklog):]
		}
	}
}

// write returns the changes that are left.
func (w *quarantineStore) write(changes []quarantine.Change) []quarantine.Change {
	if err := quarantine.UpdateStored(w.daemon.store, time.Now(), changes); err != nil {
		w.daemon.log.WithError(err).WithField("changes", len(changes)).Warn("quarantine not kept")
		return changes
	}
	return nil
}

// learnStored takes the kept contents, after a start.
func (d *Daemon) learnStored() {
	for range suspectsAttempts {
		suspects, err := quarantine.ReadStored(d.store, time.Now())
		if err == nil {
			d.quarantine.Merge(time.Now(), suspects)
			return
		}
		d.log.WithError(err).Warn("kept quarantine not read")
		if d.stopping() {
			return
		}
		d.sleep(suspectsRetryDelay)
	}
}
