package feed

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
)

// eventTimeout bounds the wait for an expected event.
const eventTimeout = 8 * time.Second

// errConnectionLost is the error of a watch that the store ends, and of failed pings.
var errConnectionLost = errors.New("connection lost")

// fakeStore is a store whose first watch fails when cut is closed. Later watches never
// return changes, whatever is changed.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	objects  []Object
	watches  int
	lists    int
	pings    int
	// down makes pings fail.
	down bool
	// listed is called after each list with its number, starting at 1.
	listed func(number int)
	cut    chan struct{}
	done   chan struct{}
}

func newFakeStore(t *testing.T) *fakeStore {
	s := &fakeStore{revision: 1, cut: make(chan struct{}), done: make(chan struct{}), listed: func(int) {}}
	t.Cleanup(func() { close(s.done) })
	return s
}

// set replaces the objects of the store.
func (s *fakeStore) set(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.objects = nil
	for _, name := range names {
		s.objects = append(s.objects, Object{Name: name})
	}
}

// List implements Store.
func (s *fakeStore) List(string, bool) ([]Object, Position, error) {
	s.mu.Lock()
	s.lists++
	number, objects, revision := s.lists, s.objects, s.revision
	s.mu.Unlock()
	s.listed(number)
	return objects, Position{Epoch: 1, Revision: revision}, nil
}

// Watch implements Store.
func (s *fakeStore) Watch(_ string, after Position, _ time.Duration, _ bool) ([]Event, Position, error) {
	s.mu.Lock()
	s.watches++
	first := s.watches == 1
	s.mu.Unlock()
	if first {
		<-s.cut
		return nil, Position{}, errConnectionLost
	}
	<-s.done
	return nil, after, nil
}

// Ping implements Store.
func (s *fakeStore) Ping() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pings++
	if s.down {
		return errConnectionLost
	}
	return nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) pingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pings
}

// Abort implements Store.
func (s *fakeStore) Abort() {}

// AbortWatches implements Store.
func (s *fakeStore) AbortWatches(string) {}

// Epoch implements Store.
func (s *fakeStore) Epoch() uint64 { return 1 }

// OnRestored implements Store.
func (s *fakeStore) OnRestored(func(previous, current uint64)) {}

// nameMirror is a mirror that holds the names of the objects of the last list.
type nameMirror struct {
	mu    sync.Mutex
	names []string
}

// Reset implements Mirror.
func (m *nameMirror) Reset(objects []Object, _ Gap) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names = nil
	for _, object := range objects {
		m.names = append(m.names, object.Name)
	}
}

// Apply implements Mirror.
func (m *nameMirror) Apply([]Event) {}

func (m *nameMirror) has(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.names) == 1 && m.names[0] == name
}

func startFollower(store Store) *nameMirror {
	mirror := &nameMirror{}
	monitor := NewMonitor(store, func() bool { return true }, logging.Discard())
	go NewFollower(store, monitor, "objects", mirror, logging.Discard()).Run()
	return mirror
}

// A store that closes its watches may omit earlier changes from a new watch that continues
// at the old revision. The follower has to list the objects again.
func TestChangesBeforeALostWatchAreListed(t *testing.T) {
	store := newFakeStore(t)
	store.set("old")
	mirror := startFollower(store)
	require.Eventually(t, func() bool { return mirror.has("old") }, eventTimeout, time.Millisecond)
	store.set("new")
	close(store.cut)
	require.Eventually(t, func() bool { return mirror.has("new") }, eventTimeout, time.Millisecond)
}

// A store that has just closed its watches may also omit changes that are made between the
// next list and its full recovery. The follower has to list the objects a second time.
func TestChangesRightAfterALostWatchAreListed(t *testing.T) {
	store := newFakeStore(t)
	store.set("old")
	store.listed = func(number int) {
		if number == 2 {
			store.set("new")
		}
	}
	mirror := startFollower(store)
	require.Eventually(t, func() bool { return mirror.has("old") }, eventTimeout, time.Millisecond)
	close(store.cut)
	require.Eventually(t, func() bool { return mirror.has("new") }, eventTimeout, time.Millisecond)
}

// A daemon that no caller depends on doesn't ping the store regularly. It detects outages
// by the age of what it knows instead.
func TestStoreIsPingedRegularlyOnlyIfNeeded(t *testing.T) {
	store := newFakeStore(t)
	needed := false
	monitor := NewMonitor(store, func() bool { return needed }, logging.Discard())
	require.Equal(t, longOutagePingInterval, monitor.outagePause())
	needed = true
	require.Equal(t, outagePingInterval, monitor.outagePause())
}

// A failed call makes the monitor ping the store at once, even if no caller depends on it.
func TestRequestedPingIsSentAtOnce(t *testing.T) {
	store := newFakeStore(t)
	monitor := NewMonitor(store, func() bool { return false }, logging.Discard())
	go monitor.Run()
	require.Eventually(t, func() bool { return store.pingCount() == 1 }, eventTimeout, time.Millisecond)
	time.Sleep(2 * pingInterval)
	require.Equal(t, 1, store.pingCount())
	monitor.requestPing()
	require.Eventually(t, func() bool { return store.pingCount() == 2 }, eventTimeout, time.Millisecond)
}

// Requests for a ping that were made during an outage are dropped when the store recovers.
func TestRecoveryOfTheStoreDropsRequestedPings(t *testing.T) {
	store := newFakeStore(t)
	store.setDown(true)
	monitor := NewMonitor(store, func() bool { return false }, logging.Discard())
	go monitor.Run()
	require.Eventually(t, monitor.Unavailable, eventTimeout, time.Millisecond)
	monitor.requestPing()
	store.setDown(false)
	failedPings := store.pingCount()
	require.Eventually(t, func() bool { return !monitor.Unavailable() }, eventTimeout, time.Millisecond)
	time.Sleep(pingInterval)
	require.Equal(t, failedPings+1, store.pingCount())
}
