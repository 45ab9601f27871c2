package relay

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/peer"
)

const kind = "things"

var errDown = errors.New("external store is down")

// fakeStore is an external store whose watches return at once.
type fakeStore struct {
	mu       sync.Mutex
	objects  []feed.Object
	events   []feed.Event
	revision uint64
	epoch    uint64
	down     bool
	calls    int
	// stale is the argument of the last List.
	stale bool
}

func (s *fakeStore) List(_ string, stale bool) ([]feed.Object, feed.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.stale = stale
	if s.down {
		return nil, feed.Position{}, errDown
	}
	return s.objects, feed.Position{Epoch: s.epoch, Revision: s.revision}, nil
}

func (s *fakeStore) Watch(_ string, after feed.Position, _ time.Duration, _ bool) ([]feed.Event, feed.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, feed.Position{}, errDown
	}
	if after.Epoch != s.epoch {
		return nil, feed.Position{}, feed.ErrRestored
	}
	return s.events, feed.Position{Epoch: s.epoch, Revision: s.revision}, nil
}

func (s *fakeStore) Ping() error { return nil }
func (s *fakeStore) Abort()      {}

func (s *fakeStore) AbortWatches(string) {}

func (s *fakeStore) OnRestored(func(uint64, uint64)) {}

func (s *fakeStore) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// at returns a position in the first epoch.
func at(revision uint64) feed.Position { return feed.Position{Epoch: 1, Revision: revision} }

// zone connects the stores of several daemons without a network. It implements Caller.
type zone map[string]*daemon

// daemon is one daemon of a zone.
type daemon struct {
	external *fakeStore
	store    *Store
	direct   bool
	away     atomic.Bool
	sources  []string
}

// Call implements Caller.
func (z zone) Call(ctx context.Context, address, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	serve := z[address].store.serveWatch
	if method == peer.MethodFeedList {
		serve = z[address].store.serveList
	}
	response, err := serve(ctx, encoded)
	if err != nil {
		return err
	}
	if encoded, err = json.Marshal(response); err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

// add adds a daemon that follows the given sources, best first.
func (z zone) add(name string, preferPeers bool, sources ...string) *daemon {
	d := &daemon{external: &fakeStore{revision: 1, epoch: 1}, sources: sources}
	d.store = New(Options{
		Store:            d.external,
		Caller:           z,
		Kinds:            []Kind{{Name: kind, PreferPeers: preferPeers}},
		Sources:          func() []string { return d.sources },
		ReadsDirectly:    func() bool { return d.direct },
		IsReader:         func() bool { return false },
		StoreUnavailable: d.away.Load,
		Log:              logging.Discard(),
	})
	z[name] = d
	return d
}

func object(name, spec string) feed.Object { return feed.Object{Name: name, Spec: []byte(spec)} }

// list lists at a daemon, requires success and returns the position.
func (d *daemon) list(t *testing.T) feed.Position {
	t.Helper()
	_, position, err := d.store.List(kind, false)
	require.NoError(t, err)
	return position
}

func TestFollowersGetChangesWithoutExternalStore(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.direct = true
	follower := z.add("follower", true, "reader")
	reader.external.objects = []feed.Object{object("a", `1`)}
	follower.external.objects = reader.external.objects
	reader.list(t)
	revision := follower.list(t)
	calls := follower.external.calls

	reader.external.events = []feed.Event{{Object: object("b", `2`)}, {Object: object("a", `1`), Deleted: true}}
	reader.external.revision = 3
	_, _, err := reader.store.Watch(kind, at(1), time.Second, true)
	require.NoError(t, err)
	events, next, err := follower.store.Watch(kind, revision, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, at(3), next)
	require.Len(t, events, 2)
	require.Equal(t, object("b", `2`), events[0].Object)
	require.True(t, events[1].Deleted)
	require.Equal(t, calls, follower.external.calls, "the follower must not call the external store")
}

// A change, or the loss of the external store, ends a follower's watch at once.
func TestWaitingWatchIsWoken(t *testing.T) {
	r := newReplica(false)
	r.reset(nil, at(5))
	r.setDirect(true)
	result := make(chan watchResult)
	go func() { result <- r.watch(at(5), time.Hour) }()
	r.apply([]feed.Event{{Object: object("a", `1`)}}, at(6))
	require.Equal(t, watchResult{events: []feed.Event{{Object: object("a", `1`)}}, at: at(6)}, <-result)

	go func() { result <- r.watch(at(6), time.Hour) }()
	r.setDirect(false)
	require.True(t, (<-result).unavailable, "the watch must end when the external store is lost")
	require.Equal(t, watchResult{unavailable: true}, r.watch(at(6), 0))
}

// Two daemons that can't reach the external store must not serve one another old replicas.
func TestDaemonsWithoutExternalStoreDoNotFollowOneAnother(t *testing.T) {
	z := zone{}
	a := z.add("a", true, "b")
	b := z.add("b", true, "a")
	for _, d := range []*daemon{a, b} {
		d.direct = true
		d.list(t)
		d.external.down = true
		d.away.Store(true)
	}
	for _, d := range []*daemon{a, b} {
		_, _, err := d.store.Watch(kind, at(1), time.Second, true)
		require.ErrorIs(t, err, errDown)
		_, _, err = d.store.List(kind, false)
		require.ErrorIs(t, err, errDown)
	}
}

// What a daemon reads from another daemon must not be passed on to a third.
func TestOnlyDirectReplicasArePassedOn(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.direct = true
	middle := z.add("middle", true, "reader")
	last := z.add("last", true, "middle")
	for _, d := range []*daemon{reader, middle, last} {
		d.list(t)
	}
	reader.external.revision = 2
	reader.external.events = []feed.Event{{Object: object("a", `1`)}}
	_, _, err := reader.store.Watch(kind, at(1), time.Second, true)
	require.NoError(t, err)
	_, next, err := middle.store.Watch(kind, at(1), time.Second, true)
	require.NoError(t, err)
	require.Equal(t, at(2), next)
	calls := last.external.calls
	_, _, err = last.store.Watch(kind, at(1), time.Second, true)
	require.NoError(t, err)
	require.Equal(t, calls+1, last.external.calls, "it must read the external store instead")

	// Once the middle one reads the external store directly, it passes on all changes,
	// those included that it got as a follower.
	middle.direct = true
	middle.external.revision = 3
	_, _, err = middle.store.Watch(kind, at(2), time.Second, true)
	require.NoError(t, err)
	events, next, err := last.store.Watch(kind, at(1), time.Second, true)
	require.NoError(t, err)
	require.Equal(t, at(3), next)
	require.Len(t, events, 1)
}

// Kinds without PreferPeers are read from other daemons only while the external store is
// unavailable.
func TestDaemonRejectedByExternalStoreFollowsOthers(t *testing.T) {
	z := zone{}
	reader := z.add("reader", false)
	rejected := z.add("rejected", false, "reader")
	reader.external.objects = []feed.Object{object("a", `1`)}
	reader.external.revision = 7
	reader.list(t)
	rejected.list(t)
	_, _, err := rejected.store.Watch(kind, at(1), time.Second, true)
	require.NoError(t, err)
	require.Equal(t, 2, rejected.external.calls)

	rejected.external.down = true
	rejected.away.Store(true)
	require.Equal(t, at(7), rejected.list(t))
	reader.external.revision = 8
	reader.external.events = []feed.Event{{Object: object("a", `2`)}}
	_, _, err = reader.store.Watch(kind, at(7), time.Second, true)
	require.NoError(t, err)
	events, next, err := rejected.store.Watch(kind, at(7), time.Second, true)
	require.NoError(t, err)
	require.Equal(t, at(8), next)
	require.Equal(t, object("a", `2`), events[0].Object)

	reader.away.Store(true)
	_, _, err = rejected.store.Watch(kind, at(8), time.Second, true)
	require.ErrorIs(t, err, errDown, "a source must not be followed while the external store is unavailable to it")
}

// A follower whose revision is older than the first list of its source must watch at the
// external store, which still has the changes, instead of listing all objects again.
func TestChangesOlderThanSourceAreReadFromExternalStore(t *testing.T) {
	z := zone{}
	follower := z.add("follower", true, "reader")
	revision := follower.list(t)
	reader := z.add("reader", true)
	reader.external.revision = 5
	reader.list(t)
	follower.external.revision = 6
	follower.external.events = []feed.Event{{Object: object("a", `1`)}}
	events, next, err := follower.store.Watch(kind, revision, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, at(6), next)
	require.Len(t, events, 1)
	calls := follower.external.calls
	reader.external.revision = 7
	_, _, err = reader.store.Watch(kind, at(5), time.Second, true)
	require.NoError(t, err)
	_, next, err = follower.store.Watch(kind, next, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, at(7), next)
	require.Equal(t, calls, follower.external.calls, "it must follow its source from then on")
}

// After an outage a follower brings its replica up to date by the changes that its source
// has, and lists at the external store only if no source has them.
func TestFollowersCatchUpWithoutListAfterOutage(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.direct = true
	follower := z.add("follower", true, "reader")
	before := []feed.Object{object("a", `1`), object("b", `1`)}
	reader.external.objects, follower.external.objects = before, before
	reader.list(t)
	require.False(t, reader.external.stale)
	follower.list(t)
	require.True(t, follower.external.stale, "the first list of a follower may be stale")

	reader.store.MarkUnavailable()
	reader.external.objects, reader.external.revision = []feed.Object{object("b", `1`), object("c", `1`)}, 9
	reader.list(t)
	calls := follower.external.calls
	objects, revision, err := follower.store.List(kind, false)
	require.NoError(t, err)
	require.Equal(t, at(9), revision)
	require.ElementsMatch(t, reader.external.objects, objects)
	require.Equal(t, calls, follower.external.calls)

	reader.away.Store(true)
	follower.external.revision = 9
	follower.list(t)
	require.Equal(t, calls+1, follower.external.calls)
	require.False(t, follower.external.stale)
}

// Followers must be told at once that the external store is unavailable to their source.
func TestLossOfExternalStoreEndsWatches(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.list(t)
	result := make(chan watchResult)
	go func() { result <- reader.store.replicas[kind].watch(at(1), time.Hour) }()
	reader.store.MarkUnavailable()
	require.True(t, (<-result).unavailable)
}

// When a daemon has to list again because the external store dropped its history, followers
// get the differences as changes.
func TestListIsPassedOnAsChanges(t *testing.T) {
	r := newReplica(false)
	r.reset([]feed.Object{object("a", `1`), object("b", `1`), object("c", `1`)}, at(5))
	r.reset([]feed.Object{object("a", `1`), object("b", `2`), object("d", `1`)}, at(9))
	r.setDirect(true)
	result := r.watch(at(5), 0)
	require.False(t, result.gone)
	require.Equal(t, at(9), result.at)
	require.ElementsMatch(t, []feed.Event{
		{Object: object("b", `2`)}, {Object: object("d", `1`)}, {Object: object("c", `1`), Deleted: true},
	}, result.events)
	require.True(t, r.watch(at(4), 0).gone, "changes before the first list must be gone")

	r.reset([]feed.Object{object("old", `1`)}, at(8))
	_, revision, _ := r.list()
	require.Equal(t, at(9), revision, "an older list must be ignored")
}

// A replica keeps at most maxChanges changes. A follower that is further behind gets gone and
// has to list again.
func TestOldChangesAreDroppedAboveTheBound(t *testing.T) {
	r := newReplica(false)
	r.reset(nil, at(1))
	r.setDirect(true)
	for i := range maxChanges + 10 {
		r.apply([]feed.Event{{Object: object("a", `1`)}}, at(uint64(i+2)))
	}
	require.True(t, r.watch(at(5), 0).gone)
	result := r.watch(at(11), 0)
	require.False(t, result.gone)
	require.Len(t, result.events, maxChanges)
}
