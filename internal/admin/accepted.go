package admin

import (
	"errors"
	"sync"
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
)

// accepted reads the accepted configuration. It is safe for concurrent use.
type accepted struct {
	store   platform.Store
	inForce func() *rollout.Applied
	now     func() time.Time

	mu    sync.Mutex
	known *rollout.Applied
	tried time.Time
}

func newAccepted(store platform.Store, inForce func() *rollout.Applied, now func() time.Time) *accepted {
	return &accepted{store: store, inForce: inForce, now: now, known: rollout.NewApplied()}
}

// fresh returns the configuration as the platform has it. Errors are those of
// rollout.Read.
func (a *accepted) fresh() (*rollout.Applied, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.read()
}

// latest returns the configuration as the platform has it, and in an outage the
// newest that is known.
func (a *accepted) latest() *rollout.Applied {
	a.mu.Lock()
	defer a.mu.Unlock()
	if applied, err := a.read(); err == nil {
		return applied
	}
	return a.newest()
}

// recent returns the newest configuration known: at most acceptedMaxAge old while
// the platform answers, and at least the one in force here.
func (a *accepted) recent() *rollout.Applied {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.now().Sub(a.tried) > acceptedMaxAge {
		_, _ = a.read() // in an outage, what is known is shown
	}
	return a.newest()
}

// expire makes the next call of recent read the platform.
func (a *accepted) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tried = time.Time{}
}

// read reads the platform. A body that is missing was replaced after the head had
// been read.
func (a *accepted) read() (*rollout.Applied, error) {
	a.tried = a.now()
	var err error
	for range acceptedReads {
		var latest *rollout.Applied
		latest, err = rollout.ReadFrom(a.store, a.newest())
		if err == nil {
			a.known = latest
			return latest, nil
		}
		var missing *platform.NotFoundError
		if !errors.As(err, &missing) {
			return nil, err
		}
	}
	return nil, err
}

func (a *accepted) newest() *rollout.Applied {
	current := a.inForce()
	if a.known.Head.Revision > current.Head.Revision {
		return a.known
	}
	return current
}
