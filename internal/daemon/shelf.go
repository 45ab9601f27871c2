package daemon

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

const (
	// shelfBacklog bounds the changes that wait to be written.
	shelfBacklog = 64
	// shelfPause is the pause between two writes, and after a failed one.
	shelfPause = time.Second
)

// shelfWriter keeps quarantined contents on the platform.
type shelfWriter struct {
	daemon  *Daemon
	changes chan quarantine.Change
}

func newShelfWriter(d *Daemon) *shelfWriter {
	return &shelfWriter{daemon: d, changes: make(chan quarantine.Change, shelfBacklog)}
}

// change hands a change to the writer. It doesn't wait: with a full backlog the
// change is logged and dropped.
func (w *shelfWriter) change(change quarantine.Change) {
	select {
	case w.changes <- change:
	default:
		w.daemon.log.Warn("change of the kept quarantine dropped")
	}
}

// run writes changes until the daemon stops. Those of an outage are tried again.
func (w *shelfWriter) run() {
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
			w.daemon.sleep(shelfPause)
		}
	}
}

// withBacklog adds what has come meanwhile and keeps the newest changes.
func (w *shelfWriter) withBacklog(pending []quarantine.Change) []quarantine.Change {
	for {
		select {
		case change := <-w.changes:
			pending = append(pending, change)
		default:
			return pending[max(0, len(pending)-shelfBacklog):]
		}
	}
}

// write returns the changes that are left.
func (w *shelfWriter) write(changes []quarantine.Change) []quarantine.Change {
	if err := quarantine.ChangeShelf(w.daemon.store, time.Now(), changes); err != nil {
		w.daemon.log.WithError(err).WithField("changes", len(changes)).Warn("quarantine not kept")
		return changes
	}
	return nil
}

// learnShelved takes the kept contents, after a start.
func (d *Daemon) learnShelved() {
	for range suspectsAttempts {
		suspects, err := quarantine.ReadShelf(d.store, time.Now())
		if err == nil {
			d.quarantine.Told(time.Now(), suspects)
			return
		}
		d.log.WithError(err).Warn("kept quarantine not read")
		if d.stopping() {
			return
		}
		d.sleep(suspectsRetryDelay)
	}
}
