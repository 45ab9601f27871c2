package relay

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/peer"
)

const kind = "things"

var errDown = errors.New("store down")

// fakeStore is an outside store whose watches end at once.
type fakeStore struct {
	mu       sync.Mutex
	objects  []feed.Object
	events   []feed.Event
	revision uint64
	down     bool
	calls    int
	// stale is set if the last list was.
	stale bool
}

func (s *fakeStore) List(_ string, stale bool) ([]feed.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.stale = stale
	if s.down {
		return nil, 0, errDown
	}
	return s.objects, s.revision, nil
}

func (s *fakeStore) Watch(string, uint64, time.Duration, bool) ([]feed.Event, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errDown
	}
	return s.events, s.revision, nil
}

func (s *fakeStore) Ping() error { return nil }
func (s *fakeStore) Abort()      {}

// zone connects the stores of several daemons without a network. It implements Caller.
type zone map[string]*member

type member struct {
	outside *fakeStore
	store   *Store
	direct  bool
	away    bool
	sources []string
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
	answer, err := serve(ctx, encoded)
	if err != nil {
		return err
	}
	if encoded, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

func (z zone) add(name string, spared bool, sources ...string) *member {
	m := &member{outside: &fakeStore{revision: 1}, sources: sources}
	m.store = New(Options{
		Store:   m.outside,
		Caller:  z,
		Kinds:   []Kind{{Name: kind, Spared: spared}},
		Sources: func() []string { return m.sources },
		Direct:  func() bool { return m.direct },
		Away:    func() bool { return m.away },
	})
	z[name] = m
	return m
}

func object(name, spec string) feed.Object { return feed.Object{Name: name, Spec: []byte(spec)} }

// list lists at a daemon, which must succeed.
func (m *member) list(t *testing.T) uint64 {
	t.Helper()
	_, revision, err := m.store.List(kind, false)
	require.NoError(t, err)
	return revision
}

func TestFollowersLearnChangesWithoutTheStore(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.direct = true
	follower := z.add("follower", true, "reader")
	reader.outside.objects = []feed.Object{object("a", `1`)}
	follower.outside.objects = reader.outside.objects
	reader.list(t)
	revision := follower.list(t)
	calls := follower.outside.calls

	reader.outside.events = []feed.Event{{Object: object("b", `2`)}, {Object: object("a", `1`), Deleted: true}}
	reader.outside.revision = 3
	_, _, err := reader.store.Watch(kind, 1, time.Second, true)
	require.NoError(t, err)
	events, next, err := follower.store.Watch(kind, revision, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, uint64(3), next)
	require.Len(t, events, 2)
	require.Equal(t, object("b", `2`), events[0].Object)
	require.True(t, events[1].Deleted)
	require.Equal(t, calls, follower.outside.calls, "the store wasn't asked")
}

// A change wakes the followers at once.
func TestWaitingFollowerIsWoken(t *testing.T) {
	r := newReplica(false)
	r.reset(nil, 5)
	r.follow(true)
	seen := make(chan watched)
	go func() { seen <- r.watch(5, time.Hour) }()
	r.apply([]feed.Event{{Object: object("a", `1`)}}, 6)
	require.Equal(t, watched{events: []feed.Event{{Object: object("a", `1`)}}, revision: 6}, <-seen)

	go func() { seen <- r.watch(6, time.Hour) }()
	r.follow(false)
	require.True(t, (<-seen).unavailable, "its source is lost")
	require.Equal(t, watched{unavailable: true}, r.watch(6, 0))
}

// Daemons that both lack the store must not take one another for it.
func TestDaemonsWithoutTheStoreDoNotFollowOneAnother(t *testing.T) {
	z := zone{}
	a := z.add("a", true, "b")
	b := z.add("b", true, "a")
	for _, m := range []*member{a, b} {
		m.direct = true
		m.list(t)
		m.outside.down, m.away = true, true
	}
	for _, m := range []*member{a, b} {
		_, _, err := m.store.Watch(kind, 1, time.Second, true)
		require.ErrorIs(t, err, errDown)
		_, _, err = m.store.List(kind, false)
		require.ErrorIs(t, err, errDown)
	}
}

// What one daemon follows at another isn't passed on to a third.
func TestOnlyWhatComesFromTheStoreIsPassedOn(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.direct = true
	middle := z.add("middle", true, "reader")
	last := z.add("last", true, "middle")
	for _, m := range []*member{reader, middle, last} {
		m.list(t)
	}
	reader.outside.revision = 2
	reader.outside.events = []feed.Event{{Object: object("a", `1`)}}
	_, _, err := reader.store.Watch(kind, 1, time.Second, true)
	require.NoError(t, err)
	_, next, err := middle.store.Watch(kind, 1, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, uint64(2), next)
	calls := last.outside.calls
	_, _, err = last.store.Watch(kind, 1, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, calls+1, last.outside.calls, "it reads the store instead")

	// Once the middle one reads the store itself it passes all on, what it followed
	// before included.
	middle.direct = true
	middle.outside.revision = 3
	_, _, err = middle.store.Watch(kind, 2, time.Second, true)
	require.NoError(t, err)
	events, next, err := last.store.Watch(kind, 1, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, uint64(3), next)
	require.Len(t, events, 1)
}

// Kinds that aren't spared are read off others only while the store is away.
func TestDaemonThatTheStoreTurnsAwayFollowsOthers(t *testing.T) {
	z := zone{}
	reader := z.add("reader", false)
	refused := z.add("refused", false, "reader")
	reader.outside.objects = []feed.Object{object("a", `1`)}
	reader.outside.revision = 7
	reader.list(t)
	refused.list(t)
	_, _, err := refused.store.Watch(kind, 1, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, 2, refused.outside.calls)

	refused.outside.down, refused.away = true, true
	require.Equal(t, uint64(7), refused.list(t))
	reader.outside.revision = 8
	reader.outside.events = []feed.Event{{Object: object("a", `2`)}}
	_, _, err = reader.store.Watch(kind, 7, time.Second, true)
	require.NoError(t, err)
	events, next, err := refused.store.Watch(kind, 7, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, uint64(8), next)
	require.Equal(t, object("a", `2`), events[0].Object)

	reader.away = true
	_, _, err = refused.store.Watch(kind, 8, time.Second, true)
	require.ErrorIs(t, err, errDown, "a source whose store is away is not believed")
}

// A follower whose revision is older than its source's first list reads on at the store,
// which still has the changes, rather than list all again.
func TestChangesThatASourceNeverSawAreReadOffTheStore(t *testing.T) {
	z := zone{}
	follower := z.add("follower", true, "reader")
	revision := follower.list(t)
	reader := z.add("reader", true)
	reader.outside.revision = 5
	reader.list(t)
	follower.outside.revision = 6
	follower.outside.events = []feed.Event{{Object: object("a", `1`)}}
	events, next, err := follower.store.Watch(kind, revision, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, uint64(6), next)
	require.Len(t, events, 1)
	calls := follower.outside.calls
	reader.outside.revision = 7
	_, _, err = reader.store.Watch(kind, 5, time.Second, true)
	require.NoError(t, err)
	_, next, err = follower.store.Watch(kind, next, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, uint64(7), next)
	require.Equal(t, calls, follower.outside.calls, "from there on it follows")
}

// After an outage a follower goes on from what it has, and lists at the store only if
// nobody can tell it what is new.
func TestFollowersNeedNotListAfterAnOutage(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.direct = true
	follower := z.add("follower", true, "reader")
	before := []feed.Object{object("a", `1`), object("b", `1`)}
	reader.outside.objects, follower.outside.objects = before, before
	reader.list(t)
	require.False(t, reader.outside.stale)
	follower.list(t)
	require.True(t, follower.outside.stale, "its watches go on from there")

	reader.store.Lost()
	reader.outside.objects, reader.outside.revision = []feed.Object{object("b", `1`), object("c", `1`)}, 9
	reader.list(t)
	calls := follower.outside.calls
	objects, revision, err := follower.store.List(kind, false)
	require.NoError(t, err)
	require.Equal(t, uint64(9), revision)
	require.ElementsMatch(t, reader.outside.objects, objects)
	require.Equal(t, calls, follower.outside.calls)

	reader.away = true
	follower.outside.revision = 9
	follower.list(t)
	require.Equal(t, calls+1, follower.outside.calls)
	require.False(t, follower.outside.stale)
}

// Followers learn at once that their source has lost the store.
func TestLossOfTheStoreReachesFollowers(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.list(t)
	seen := make(chan watched)
	go func() { seen <- reader.store.replicas[kind].watch(1, time.Hour) }()
	reader.store.Lost()
	require.True(t, (<-seen).unavailable)
}

// A list after lost history is passed on as what has changed.
func TestFollowersNeedNotListAgainAfterTheirSourceDid(t *testing.T) {
	r := newReplica(false)
	r.reset([]feed.Object{object("a", `1`), object("b", `1`), object("c", `1`)}, 5)
	r.reset([]feed.Object{object("a", `1`), object("b", `2`), object("d", `1`)}, 9)
	r.follow(true)
	seen := r.watch(5, 0)
	require.False(t, seen.gone)
	require.Equal(t, uint64(9), seen.revision)
	require.ElementsMatch(t, []feed.Event{
		{Object: object("b", `2`)}, {Object: object("d", `1`)}, {Object: object("c", `1`), Deleted: true},
	}, seen.events)
	require.True(t, r.watch(4, 0).gone, "what was before the first list isn't known")

	r.reset([]feed.Object{object("old", `1`)}, 8)
	_, revision, _ := r.list()
	require.Equal(t, uint64(9), revision, "an older list changes nothing")
}

// A replica's memory is bounded; who is too far behind lists again.
func TestChangesAreForgottenAboveTheBound(t *testing.T) {
	r := newReplica(false)
	r.reset(nil, 1)
	r.follow(true)
	for i := range maxChanges + 10 {
		r.apply([]feed.Event{{Object: object("a", `1`)}}, uint64(i+2))
	}
	require.True(t, r.watch(5, 0).gone)
	seen := r.watch(11, 0)
	require.False(t, seen.gone)
	require.Len(t, seen.events, maxChanges)
}
