package admin

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

const (
	// acceptedMaxAge is the age from which the accepted configuration is read again
	// before it is shown.
	acceptedMaxAge = time.Second
	// acceptedReads bounds the reads of a configuration that changes meanwhile.
	acceptedReads = 3
	// acceptedBodies bounds the bodies that are read for a request. A daemon that
	// lacks more has just started, or everything has just changed; it brings them
	// into force within seconds.
	acceptedBodies = 32
)

// accepted reads the accepted configuration. It is safe for concurrent use.
type accepted struct {
	store   platform.Store
	inForce func() *rollout.Applied
	now     func() time.Time
	// ahead is a configuration that was newer than the one in force when it was
	// read, or nil.
	ahead atomic.Pointer[rollout.Applied]
	// readMu is held during a read.
	readMu sync.Mutex
	// tried is when the last read began.
	tried atomic.Pointer[time.Time]
}

func newAccepted(store platform.Store, inForce func() *rollout.Applied, now func() time.Time) *accepted {
	a := &accepted{store: store, inForce: inForce, now: now}
	a.expire()
	return a
}

// fresh returns the configuration as the platform has it. Errors are those of
// rollout.ReadFrom.
func (a *accepted) fresh() (*rollout.Applied, error) {
	a.readMu.Lock()
	defer a.readMu.Unlock()
	return a.read()
}

// latest returns the configuration as the platform has it, and in an outage the
// newest that is known. The error is a *rollout.BehindError.
func (a *accepted) latest() (*rollout.Applied, error) {
	latest, err := a.fresh()
	if err == nil || is[*rollout.BehindError](err) {
		return latest, err
	}
	return a.newest(), nil
}

// recent returns the newest configuration known: at most acceptedMaxAge old while
// the platform answers, and at least the one in force here. It doesn't wait for a
// read that is under way.
func (a *accepted) recent() *rollout.Applied {
	if a.now().Sub(*a.tried.Load()) > acceptedMaxAge && a.readMu.TryLock() {
		defer a.readMu.Unlock()
		_, _ = a.read() // if it fails, what is known is shown
	}
	return a.newest()
}

// expire makes the next call of recent read the platform.
func (a *accepted) expire() { a.tried.Store(&time.Time{}) }

// read reads the platform. A body that is missing was replaced after the head had
// been read.
func (a *accepted) read() (*rollout.Applied, error) {
	now := a.now()
	a.tried.Store(&now)
	var err error
	for range acceptedReads {
		var latest *rollout.Applied
		latest, err = rollout.ReadFrom(a.store, a.newest(), acceptedBodies)
		if err == nil {
			a.ahead.Store(latest)
			return latest, nil
		}
		if !is[*platform.NotFoundError](err) {
			return nil, err
		}
	}
	return nil, err
}

// newest returns the newest configuration known. One that isn't ahead of the one in
// force any more is let go.
func (a *accepted) newest() *rollout.Applied {
	current := a.inForce()
	ahead := a.ahead.Load()
	if ahead != nil && ahead.Head.Revision > current.Head.Revision {
		return ahead
	}
	a.ahead.CompareAndSwap(ahead, nil)
	return current
}
