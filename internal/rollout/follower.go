package rollout

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

const (
	// watchWait is how long one watch of the head waits.
	watchWait = 5 * time.Second
	// retryDelay is the pause after a failed call to the platform.
	retryDelay = 500 * time.Millisecond
)

// Follower keeps a daemon at the accepted configuration. It never applies a
// revision below the one in force.
type Follower struct {
	store   platform.Store
	log     logrus.FieldLogger
	apply   func(*config.Snapshot)
	applied atomic.Pointer[Applied]
	stop    chan struct{}
	done    chan struct{}
}

// NewFollower returns a follower that calls apply for each new revision, from
// one goroutine.
func NewFollower(store platform.Store, log logrus.FieldLogger, apply func(*config.Snapshot)) *Follower {
	f := &Follower{store: store, log: log, apply: apply, stop: make(chan struct{}), done: make(chan struct{})}
	f.applied.Store(NewApplied())
	return f
}

// Applied returns the configuration in force.
func (f *Follower) Applied() *Applied { return f.applied.Load() }

// Run follows the head until Stop.
func (f *Follower) Run() {
	defer close(f.done)
	var seen platform.Version
	for !f.stopped() {
		next, err := f.step(seen)
		if err != nil {
			f.log.WithError(err).Warn("configuration not read")
			f.pause()
			continue
		}
		seen = next
	}
}

// Stop ends Run.
func (f *Follower) Stop() {
	close(f.stop)
	<-f.done
}

func (f *Follower) step(seen platform.Version) (platform.Version, error) {
	object, err := f.store.Watch(HeadKey, seen, watchWait)
	if err != nil {
		return seen, err
	}
	if object.Version == seen {
		return seen, nil
	}
	head, err := parseHead(object.Value)
	if err != nil {
		return seen, err
	}
	if err := f.advance(head); err != nil {
		return seen, err
	}
	return object.Version, nil
}

func (f *Follower) advance(head Head) error {
	current := f.applied.Load()
	if head.Revision <= current.Head.Revision {
		return nil
	}
	next, err := Load(f.store, head, current)
	if err != nil {
		return err
	}
	f.applied.Store(next)
	f.apply(next.Snapshot())
	f.log.WithField("revision", head.Revision).WithField("services", len(head.Services)).Info("configuration applied")
	return nil
}

func (f *Follower) stopped() bool {
	select {
	case <-f.stop:
		return true
	default:
		return false
	}
}

func (f *Follower) pause() {
	select {
	case <-f.stop:
	case <-time.After(retryDelay):
	}
}
