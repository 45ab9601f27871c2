package feed

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
)

// restoredStore is a store that was restored from an older copy and has reached the revision
// of the lost history again: no call fails, and watches return no changes.
type restoredStore struct {
	*fakeStore
	mu       sync.Mutex
	epoch    uint64
	restored chan struct{}
}

// List implements Store.
func (s *restoredStore) List(string, bool) ([]Object, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := "lost"
	if s.epoch > 1 {
		name = "written after the restore"
	}
	return []Object{{Name: name}}, Position{Epoch: s.epoch, Revision: 9}, nil
}

// Watch implements Store.
func (s *restoredStore) Watch(_ string, after Position, _ time.Duration, _ bool) ([]Event, Position, error) {
	if after.Epoch == 1 {
		<-s.restored
		return nil, Position{}, ErrRestored
	}
	<-s.done
	return nil, after, nil
}

// gapMirror is a mirror that holds the gaps before the lists.
type gapMirror struct {
	nameMirror
	gaps chan Gap
}

// Reset implements Mirror.
func (m *gapMirror) Reset(objects []Object, gap Gap) {
	m.nameMirror.Reset(objects, gap)
	m.gaps <- gap
}

func TestObjectsOfARestoredStoreAreListedThoughNoCallFails(t *testing.T) {
	store := &restoredStore{fakeStore: newFakeStore(t), epoch: 1, restored: make(chan struct{})}
	mirror := &gapMirror{gaps: make(chan Gap, 10)}
	monitor := NewMonitor(store, func() bool { return true }, logging.Discard())
	go NewFollower(store, monitor, "objects", mirror, logging.Discard()).Run()
	require.Equal(t, NoGap, <-mirror.gaps)
	require.True(t, mirror.has("lost"))
	store.mu.Lock()
	store.epoch = 2
	store.mu.Unlock()
	close(store.restored)
	require.Equal(t, Restore, <-mirror.gaps)
	require.True(t, mirror.has("written after the restore"))
	require.Equal(t, NoGap, <-mirror.gaps, "the second list is of the same epoch")
}
