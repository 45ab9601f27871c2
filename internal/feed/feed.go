// Package feed keeps a daemon's copy of objects in an external store up to date, also
// across outages of the store.
//
// A Follower lists the objects of one kind, watches for changes and applies both to a
// Mirror: TargetMirror or ConfigMirror. A Monitor pings the store to detect outages. A watch
// that hangs can't be told from one without changes; package relay bounds how long it is believed.
package feed

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
)

// Error is the class of the errors of this package.
var Error = errs.Class("feed")

const (
	// watchPause is the pause after a watch that returned changes. Changes that are made
	// within it are returned by a single call.
	watchPause = 300 * time.Millisecond
	// watchTimeout is how long a watch waits for changes. An outage is found sooner by pings, or
	// by the age of what is known.
	watchTimeout = 25 * time.Second
	// settleDelay is how long after a failure of a watch the store may omit changes.
	settleDelay = time.Second
	// noStaleReadsFor is how long after a failure of the store no stale reads are made.
	noStaleReadsFor = 20 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before a failed call is retried
	// while the store responds to other calls.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Object is an object of the store.
type Object struct {
	Name string
	// Spec is the content as stored, not decoded. It is empty if it is no valid JSON or too
	// large.
	Spec []byte
	// Revision is that of the last change of the object, 0 if the store doesn't tell it.
	Revision uint64
}

// Event is the creation, change or deletion of an object.
type Event struct {
	Object  Object
	Deleted bool
}

// Store is the external store. It is safe for concurrent use.
type Store interface {
	// List returns all objects of a kind and the position in the store's history that
	// they reflect. Stale reads cost less, but may lag behind by seconds.
	List(kind string, stale bool) (objects []Object, at Position, err error)
	// Watch waits up to a duration for changes of a kind after a position. It returns
	// them with the position to continue from, which is of the same epoch. The error may
	// be ErrHistoryGone or ErrRestored. A response of any call that shows a restore ends
	// the watches of former epochs, which may wait for changes that don't come.
	Watch(kind string, after Position, wait time.Duration, stale bool) (events []Event, next Position, err error)
	// Ping makes the cheapest call of the store. The error is nil if the store responds.
	Ping() error
	// Abort cancels all calls in progress, including watches.
	Abort()
	// AbortWatches cancels the watches of a kind. Later calls use none of the connections that
	// have been idle or that the watches used.
	AbortWatches(kind string)
	// Epoch returns the number of the store's history, which rises when the store is
	// restored from an older copy. It is 0 until the store has named one.
	Epoch() uint64
	// OnRestored adds a function that is called when a response of any call shows that the
	// epoch has risen. It must be called before the first call.
	OnRestored(f func(previous, current uint64))
}

// ErrHistoryGone means that the store no longer holds the changes after the revision
// that a watch continues from.
var ErrHistoryGone = Error.New("the store no longer holds the changes after the requested revision")

// ErrRestored means that the store was restored from an older copy since the position that a
// watch continues from.
var ErrRestored = Error.New("the store was restored from an older copy after the requested position")

// Mirror is the daemon's copy of the objects of one kind.
type Mirror interface {
	// Reset replaces all objects. Gap tells what may have happened since the last list.
	Reset(objects []Object, gap Gap)
	// Apply applies changes in their order.
	Apply(events []Event)
}

// Follower keeps a mirror up to date.
type Follower struct {
	store   Store
	monitor *Monitor
	kind    string
	mirror  Mirror
	log     logrus.FieldLogger

	rng        *rand.Rand
	retryDelay backoff.Backoff
	// lastFailureAt is when a call last failed or the history was gone; zero if never.
	lastFailureAt time.Time
	// listedAt is the position of the last list; zero before the first one.
	listedAt Position
}

// allowStale reports whether stale reads may be used. They may not for a while after a
// failure of the store, since they can then be seconds behind.
func (f *Follower) allowStale() bool {
	return f.lastFailureAt.IsZero() || time.Since(f.lastFailureAt) > noStaleReadsFor
}

// NewFollower returns a follower of the objects of a kind. Run starts it.
func NewFollower(store Store, monitor *Monitor, kind string, mirror Mirror, log logrus.FieldLogger) *Follower {
	return &Follower{
		store:      store,
		monitor:    monitor,
		kind:       kind,
		mirror:     mirror,
		log:        log,
		rng:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		retryDelay: backoff.Backoff{Base: minRetryDelay, Max: maxRetryDelay},
	}
}

// Run follows the store and doesn't return. After each failed watch it lists the objects
// twice, settleDelay apart: a store that has just closed its watches or dropped its
// history may omit changes made around that time from later watches.
func (f *Follower) Run() {
	position := f.list()
	for {
		f.watch(position)
		f.list()
		time.Sleep(settleDelay)
		position = f.list()
	}
}

// list resets the mirror to all objects and returns their position. It retries until the
// store responds.
func (f *Follower) list() Position {
	for {
		objects, position, err := f.store.List(f.kind, false)
		if err != nil {
			f.retryAfter(err)
			continue
		}
		gap := f.gapBefore(position)
		f.mirror.Reset(objects, gap)
		if gap != NoGap {
			f.log.WithFields(logrus.Fields{"kind": f.kind, "revision": position.Revision, "epoch": position.Epoch}).Info("feed regained")
		}
		f.retryDelay.Reset()
		f.listedAt = position
		return position
	}
}

// gapBefore returns what may have happened between the last list and one at a position.
func (f *Follower) gapBefore(position Position) Gap {
	switch {
	case f.listedAt != Position{} && position.Epoch != f.listedAt.Epoch:
		return Restore
	case f.retryDelay.Failures() > 0:
		return Outage
	default:
		return NoGap
	}
}

// watch applies changes after a position until a watch fails.
func (f *Follower) watch(position Position) {
	for {
		events, next, err := f.store.Watch(f.kind, position, watchTimeout, f.allowStale())
		if errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrRestored) {
			f.lastFailureAt = time.Now()
			return
		}
		if err != nil {
			f.retryAfter(err)
			return
		}
		if len(events) > 0 {
			f.mirror.Apply(events)
			time.Sleep(watchPause)
		}
		position = next
	}
}

// retryAfter records a failed call, requests a ping, and waits until the call may be
// retried.
func (f *Follower) retryAfter(err error) {
	f.lastFailureAt = time.Now()
	if f.retryDelay.Failures() == 0 {
		f.log.WithError(err).WithField("kind", f.kind).Warn("feed lost")
	}
	f.monitor.requestPing()
	f.monitor.waitToRetry(f.retryDelay.Next(f.rng))
}
