// Package relay lets few daemons of an availability zone read the outside store for the
// others.
//
// Store stands before the outside store. A daemon that callers are sent to, or may be
// sent to next, reads the store itself and keeps a replica. The others follow such a
// daemon by the inner protocol and go to the store only for their first list, or while
// nobody can be followed: the store counts and charges every call, and its rates grow
// more slowly than the fleet. A daemon that the store turns away follows others, too.
//
// A replica is passed on only while it comes from the store itself, so that two
// daemons never follow one another. Revisions are the store's, so that a follower can
// change its source at any call.
package relay

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/peer"
)

// Error is the class of this package's errors.
var Error = errs.Class("relay")

const (
	// watchWait is how long a daemon holds a watch without news.
	watchWait = time.Second
	// watchMargin is the time after which a watch without an answer is given up.
	watchMargin = 500 * time.Millisecond
	// listTimeout bounds a list.
	listTimeout = time.Second
	// catchUpTries and catchUpPause bound the wait for daemons that list the objects
	// after an outage.
	catchUpTries = 6
	catchUpPause = 200 * time.Millisecond
)

// ErrUnavailable means that a daemon doesn't follow the store itself, or can't.
var ErrUnavailable = Error.New("the daemon doesn't follow the store")

// Caller makes calls of the inner protocol. It is safe for concurrent use.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Kind is a kind of objects that daemons pass on.
type Kind struct {
	Name string
	// Spared kinds are read off other daemons by those that needn't read the store
	// themselves. The rest is passed on only to daemons that the store doesn't answer.
	Spared bool
}

// Options are what a Store needs to know.
type Options struct {
	// Store is the outside store.
	Store feed.Store
	// Caller reaches other daemons.
	Caller Caller
	// Kinds are those that are passed on; others are read off the store alone.
	Kinds []Kind
	// Sources returns the addresses of daemons of the zone that may be followed, the
	// best first.
	Sources func() []string
	// Direct reports whether this daemon reads the store itself.
	Direct func() bool
	// Away reports whether the store is known not to answer.
	Away func() bool
}

// Store is a feed.Store that follows other daemons where that will do.
type Store struct {
	options  Options
	replicas map[string]*replica
}

var _ feed.Store = (*Store)(nil)

// New returns a store without replicas.
func New(options Options) *Store {
	s := &Store{options: options, replicas: map[string]*replica{}}
	for _, kind := range options.Kinds {
		s.replicas[kind.Name] = newReplica(kind.Spared)
	}
	return s
}

// Ping implements feed.Store.
func (s *Store) Ping() error { return s.options.Store.Ping() }

// Abort implements feed.Store.
func (s *Store) Abort() { s.options.Store.Abort() }

// Lost takes word that the store doesn't answer: followers learn it at once.
func (s *Store) Lost() {
	for _, copied := range s.replicas {
		copied.follow(false)
	}
}

// List implements feed.Store. It asks the store, and others if the store doesn't answer.
// A daemon that needn't read the store itself goes on from what it has, if others can
// tell what is new; its first list may be stale, since its watches go on from there.
func (s *Store) List(kind string, stale bool) ([]feed.Object, uint64, error) {
	copied := s.replicas[kind]
	if copied == nil {
		return s.options.Store.List(kind, stale)
	}
	if s.spares(copied) {
		if s.catchUp(kind, copied) {
			objects, revision := copied.all()
			return objects, revision, nil
		}
		stale = stale || copied.empty()
	}
	objects, revision, err := s.options.Store.List(kind, stale)
	if err == nil {
		copied.reset(objects, revision)
		copied.follow(true)
		return objects, revision, nil
	}
	copied.follow(false)
	for _, source := range s.options.Sources() {
		if objects, revision, relayed := s.listFrom(source, kind); relayed == nil {
			copied.reset(objects, revision)
			return objects, revision, nil
		}
	}
	return nil, 0, err
}

// spares reports whether the daemon reads the kind of a replica off others.
func (s *Store) spares(copied *replica) bool { return copied.spared && !s.options.Direct() }

// catchUp brings a replica up to date from others; false means that it can't. After an
// outage they need a moment to list the objects themselves.
func (s *Store) catchUp(kind string, copied *replica) bool {
	if copied.empty() {
		return false
	}
	for range catchUpTries {
		_, revision := copied.all()
		if events, next, err := s.watchOthers(kind, revision); err == nil {
			copied.apply(events, next)
			return true
		}
		if s.options.Away() {
			return false
		}
		time.Sleep(catchUpPause)
	}
	return false
}

// watchOthers watches a kind at the first daemon that can be followed.
func (s *Store) watchOthers(kind string, revision uint64) ([]feed.Event, uint64, error) {
	err := ErrUnavailable
	for _, source := range s.options.Sources() {
		var events []feed.Event
		var next uint64
		if events, next, err = s.watchAt(source, kind, revision); err == nil {
			return events, next, nil
		}
	}
	return nil, 0, err
}

func (s *Store) listFrom(source, kind string) ([]feed.Object, uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	var answer peer.FeedObjects
	if err := s.options.Caller.Call(ctx, source, peer.MethodFeedList, peer.FeedRequest{Kind: kind}, &answer); err != nil {
		return nil, 0, err
	}
	if answer.Unavailable {
		return nil, 0, ErrUnavailable
	}
	var objects []feed.Object
	for _, object := range answer.Objects {
		objects = append(objects, feed.Object{Name: object.Name, Spec: object.Spec})
	}
	return objects, answer.Revision, nil
}

// Watch implements feed.Store. A daemon that needn't read the store itself, or can't,
// asks others first. What they have forgotten the store still has, mostly.
func (s *Store) Watch(kind string, revision uint64, wait time.Duration, stale bool) ([]feed.Event, uint64, error) {
	copied := s.replicas[kind]
	if copied == nil {
		return s.options.Store.Watch(kind, revision, wait, stale)
	}
	if s.options.Away() || s.spares(copied) {
		copied.follow(false)
		if events, next, err := s.watchOthers(kind, revision); err == nil {
			copied.apply(events, next)
			return events, next, nil
		}
	}
	events, next, err := s.options.Store.Watch(kind, revision, wait, stale)
	if err != nil {
		copied.follow(false)
		return nil, 0, err
	}
	copied.apply(events, next)
	copied.follow(true)
	return events, next, nil
}

func (s *Store) watchAt(source, kind string, revision uint64) ([]feed.Event, uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), watchWait+watchMargin)
	defer cancel()
	request := peer.FeedRequest{Kind: kind, After: revision}
	var answer peer.FeedChanges
	if err := s.options.Caller.Call(ctx, source, peer.MethodFeedWatch, request, &answer); err != nil {
		return nil, 0, err
	}
	switch {
	case answer.Unavailable:
		return nil, 0, ErrUnavailable
	case answer.Gone:
		return nil, 0, feed.ErrHistoryGone
	}
	var events []feed.Event
	for _, changed := range answer.Changes {
		object := feed.Object{Name: changed.Name, Spec: changed.Spec}
		events = append(events, feed.Event{Object: object, Deleted: changed.Deleted})
	}
	return events, max(answer.Revision, revision), nil
}
