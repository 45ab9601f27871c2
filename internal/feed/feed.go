// Package feed keeps a daemon's copy of what an outside store holds up to date, through
// the store's outages.
//
// A Follower lists the objects of a kind and watches their changes. A Monitor looks
// whether the store answers, since a watch that hangs looks like one without news.
// Targets and Config are what the copies are for.
package feed

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
)

// Error is the class of this package's errors.
var Error = errs.Class("feed")

const (
	// pace is the pause between two watches, so that changes that come together
	// cost one call.
	pace = 300 * time.Millisecond
	// longWatch is how long a watch waits for changes while a monitor looks whether the
	// store answers, briefWatch while the watch alone has to show it.
	longWatch  = 25 * time.Second
	briefWatch = 2500 * time.Millisecond
	// settle is the time after a loss in which the store may withhold changes.
	settle = time.Second
	// staleAgain is how long after a failure of the store reads must not be stale.
	staleAgain = 20 * time.Second
	// firstRetry and lastRetry bound the pause after a call that failed while the
	// store answers others.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
)

// Object is an object of the store.
type Object struct {
	Name string
	// Spec is its content, as the store has it.
	Spec []byte
}

// Event is a change of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Store is the outside store. It is safe for concurrent use.
type Store interface {
	// List returns all objects of a kind and the revision that they show. Stale reads
	// cost less and may be seconds old.
	List(kind string, stale bool) (objects []Object, revision uint64, err error)
	// Watch waits for changes of a kind after a revision, at most for a time, and
	// returns them with the revision to go on from. The error may be ErrHistoryGone.
	Watch(kind string, revision uint64, wait time.Duration, stale bool) (events []Event, next uint64, err error)
	// Ping makes the cheapest call there is. Nil means that the store answers.
	Ping() error
	// Abort ends every call under way, watches included.
	Abort()
}

// ErrHistoryGone means that the store has dropped what a watch asked for.
var ErrHistoryGone = Error.New("the store's history is gone")

// Mirror takes the objects of a kind.
type Mirror interface {
	// Reset takes all objects. Lapsed is set if the store was away before.
	Reset(objects []Object, lapsed bool)
	// Apply takes changes.
	Apply(events []Event)
}

// Follower keeps a mirror up to date.
type Follower struct {
	store   Store
	monitor *Monitor
	kind    string
	mirror  Mirror
	log     logrus.FieldLogger

	rng   *rand.Rand
	pause backoff.Backoff
	// troubledAt is when the store last failed or dropped its history; zero before.
	troubledAt time.Time
}

// stale reports whether reads that may be behind will do: not for a while after the
// store has failed, as they may be seconds behind then.
func (f *Follower) stale() bool {
	return f.troubledAt.IsZero() || time.Since(f.troubledAt) > staleAgain
}

// NewFollower returns a follower of a kind of objects that doesn't run yet.
func NewFollower(store Store, monitor *Monitor, kind string, mirror Mirror, log logrus.FieldLogger) *Follower {
	return &Follower{
		store:   store,
		monitor: monitor,
		kind:    kind,
		mirror:  mirror,
		log:     log,
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pause:   backoff.Backoff{Base: firstRetry, Max: lastRetry},
	}
}

// Run follows the store for as long as the process runs. After each loss it lists the
// objects twice: a store that has just cut its watches or dropped its history may
// withhold changes of that time from the watches that follow.
func (f *Follower) Run() {
	revision := f.list()
	for {
		f.follow(revision)
		f.list()
		time.Sleep(settle)
		revision = f.list()
	}
}

// list takes all objects, as soon as the store tells them, and returns their revision.
func (f *Follower) list() uint64 {
	for {
		objects, revision, err := f.store.List(f.kind, false)
		if err != nil {
			f.failed(err)
			continue
		}
		lapsed := f.pause.Failures() > 0
		f.mirror.Reset(objects, lapsed)
		if lapsed {
			f.log.WithField("kind", f.kind).WithField("revision", revision).Info("feed regained")
		}
		f.pause.Reset()
		return revision
	}
}

// follow takes changes until a watch fails.
func (f *Follower) follow(revision uint64) {
	for {
		events, next, err := f.store.Watch(f.kind, revision, f.monitor.watchWait(), f.stale())
		if errors.Is(err, ErrHistoryGone) {
			f.troubledAt = time.Now()
			return
		}
		if err != nil {
			f.failed(err)
			return
		}
		if len(events) > 0 {
			f.mirror.Apply(events)
			time.Sleep(pace)
		}
		revision = next
	}
}

// failed waits after a call that failed.
func (f *Follower) failed(err error) {
	f.troubledAt = time.Now()
	if f.pause.Failures() == 0 {
		f.log.WithError(err).WithField("kind", f.kind).Warn("feed lost")
	}
	f.monitor.look()
	f.monitor.wait(f.pause.Next(f.rng))
}
