// Package relay lets a few daemons of an availability zone read the external store on behalf
// of the others.
//
// Store wraps the external store. An active daemon, that is one whose address is given to
// callers or that would be next, reads the external store directly and keeps a replica of
// what it read. The other daemons follow an active one by the peer protocol. They read the
// external store only for their first list, or while no daemon can be followed. The reason
// is that the external store limits and charges every call, and its limits grow more slowly
// than the number of daemons. An active daemon that the external store rejects follows other
// daemons, too.
//
// A replica is passed on only while its owner reads the external store directly, so that two
// daemons never follow one another. Positions are those of the external store, so that a
// follower can change its source at any call. A daemon that has seen a later epoch of the
// external store doesn't follow one that hasn't.
//
// A connection may fall silent for good, on which a watch waits as if nothing changed. So no watch
// is believed for long: each replica has an age, the time since it was last shown to have all
// changes. One daemon of the zone, its reader, watches briefly and without stale reads, which may
// be seconds old. The others learn from the reports in heartbeats how current it is. A replica that
// is too old, or that lacks a change which another daemon reports, is brought up to date over a new
// connection.
package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/peer"
)

// Error is the class of this package's errors.
var Error = errs.Class("relay")

const (
	// listTimeout bounds a list at another daemon.
	listTimeout = time.Second
	// catchUpAttempts and catchUpPause bound the wait for other daemons to list the
	// objects after an outage.
	catchUpAttempts = 6
	catchUpPause    = 200 * time.Millisecond
)

// ErrUnavailable means that the requested daemon doesn't or can't read the external store
// directly, so that it can't be followed.
var ErrUnavailable = Error.New("the daemon doesn't read the external store directly")

// Caller makes calls of the peer protocol. It is safe for concurrent use.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Kind is a kind of objects that daemons pass on.
type Kind struct {
	Name string
	// PreferPeers is set if daemons that are not active read the kind from other daemons.
	// Otherwise it is passed on only to daemons that the external store doesn't answer.
	PreferPeers bool
	// Current is set if the kind is never read by stale reads, which cost less but may lag behind
	// by seconds. It is for kinds whose changes have to take effect within a second.
	Current bool
}

// Options are the dependencies of a Store.
type Options struct {
	// Store is the external store.
	Store feed.Store
	// Caller calls other daemons.
	Caller Caller
	// Kinds are the kinds that are passed on. Others are only read from the external
	// store.
	Kinds []Kind
	// Sources returns the peer addresses of daemons that may be followed, in order of
	// preference.
	Sources func() []string
	// ReadsDirectly reports whether this daemon is active, and so reads the external store
	// directly.
	ReadsDirectly func() bool
	// IsReader reports whether this daemon is the zone's reader, which shows the others by its
	// reports how current their replicas are.
	IsReader func() bool
	// StoreUnavailable reports whether the external store is known not to answer.
	StoreUnavailable func() bool
	Log              logrus.FieldLogger
}

// Store is a feed.Store that reads from other daemons instead of the external store where
// it can.
type Store struct {
	options  Options
	replicas map[string]*replica
}

var _ feed.Store = (*Store)(nil)

// New returns a Store with empty replicas.
func New(options Options) *Store {
	s := &Store{options: options, replicas: map[string]*replica{}}
	for _, kind := range options.Kinds {
		s.replicas[kind.Name] = newReplica(kind.PreferPeers)
		s.replicas[kind.Name].neverStale = kind.Current
	}
	return s
}

// Ping implements feed.Store.
func (s *Store) Ping() error { return s.options.Store.Ping() }

// Abort implements feed.Store.
func (s *Store) Abort() { s.options.Store.Abort() }

// AbortWatches implements feed.Store.
func (s *Store) AbortWatches(kind string) { s.options.Store.AbortWatches(kind) }

// Epoch implements feed.Store.
func (s *Store) Epoch() uint64 { return s.options.Store.Epoch() }

// OnRestored implements feed.Store.
func (s *Store) OnRestored(f func(previous, current uint64)) { s.options.Store.OnRestored(f) }

// MarkUnavailable records that the external store doesn't answer. Followers that wait in a
// watch are told at once, and watches of the external store are ended.
func (s *Store) MarkUnavailable() {
	for _, local := range s.replicas {
		local.setDirect(false)
		local.markStoreLost()
	}
}

// List implements feed.Store. It lists at the external store, and at other daemons if the
// external store doesn't answer. If a daemon that prefers to read from others has a replica,
// it first tries to bring that up to date by their changes. The first list of such a daemon
// may be stale, since its watches continue from the revision of the list; its age counts from then.
func (s *Store) List(kind string, stale bool) ([]feed.Object, feed.Position, error) {
	local := s.replicas[kind]
	if local == nil {
		return s.options.Store.List(kind, stale)
	}
	if s.readsFromPeers(local) {
		if s.catchUp(kind, local) {
			objects, at := local.all()
			return objects, at, nil
		}
		stale = stale || local.empty()
	}
	stale = stale && !local.neverStale
	began := time.Now()
	objects, at, err := s.options.Store.List(kind, stale)
	if err == nil {
		local.reset(objects, at)
		if !stale || local.neverConfirmed() {
			local.confirm(began)
		}
		local.setDirect(true)
		return objects, at, nil
	}
	local.setDirect(false)
	for _, source := range s.options.Sources() {
		if objects, at, sourceErr := s.listFrom(source, kind, local); sourceErr == nil {
			return objects, at, nil
		}
	}
	return nil, feed.Position{}, err
}

// readsFromPeers reports whether this daemon prefers to read the kind of a replica from
// other daemons.
func (s *Store) readsFromPeers(local *replica) bool {
	return local.preferPeers && !s.options.ReadsDirectly()
}

// catchUp brings a replica up to date by changes that other daemons have. It returns false if
// the replica is empty or of a former epoch, or they don't have the changes. It retries, since
// after an outage the other daemons first have to list the objects themselves.
func (s *Store) catchUp(kind string, local *replica) bool {
	for range catchUpAttempts {
		_, at := local.all()
		if local.empty() || at.Epoch < s.Epoch() {
			return false
		}
		if changes, err := s.watchPeers(context.Background(), kind, at); err == nil {
			local.take(changes)
			return true
		}
		if s.options.StoreUnavailable() {
			return false
		}
		time.Sleep(catchUpPause)
	}
	return false
}

// listFrom resets the local replica of a kind to the list of the daemon with peer address source. A
// list that is older than the replica, or of a former epoch of the external store, isn't used.
func (s *Store) listFrom(source, kind string, local *replica) ([]feed.Object, feed.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	var response peer.FeedObjects
	if err := s.options.Caller.Call(ctx, source, peer.MethodFeedList, peer.FeedRequest{Kind: kind}, &response); err != nil {
		return nil, feed.Position{}, err
	}
	at := feed.Position{Epoch: response.Epoch, Revision: response.Revision}
	if response.Unavailable || at.Epoch < s.Epoch() || local.isAfter(at) {
		return nil, feed.Position{}, ErrUnavailable
	}
	var objects []feed.Object
	for _, object := range response.Objects {
		objects = append(objects, feed.Object{Name: object.Name, Spec: object.Spec, Revision: object.Revision})
	}
	local.reset(objects, at)
	local.confirm(currentAt(response.AgeMillis))
	return objects, at, nil
}
