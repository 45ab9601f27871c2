package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/feed"
)

// restored returns a position in the epoch after a restore.
func restored(revision uint64) feed.Position { return feed.Position{Epoch: 2, Revision: revision} }

// restore makes the external store of a daemon come back with other objects at a revision of
// the second epoch.
func (s *fakeStore) restore(revision uint64, objects ...feed.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.revision, s.objects, s.events = 2, revision, objects, nil
}

func TestListOfARestoredStoreReplacesTheReplica(t *testing.T) {
	r := newReplica(false)
	r.setDirect(true)
	r.reset([]feed.Object{object("lost", `1`)}, at(9))
	waiting := make(chan watchResult)
	go func() { waiting <- r.watch(at(9), time.Hour) }()
	r.reset([]feed.Object{object("old", `1`)}, restored(5))
	require.True(t, (<-waiting).gone, "a watch of the former epoch must end")
	objects, position := r.all()
	require.Equal(t, []feed.Object{object("old", `1`)}, objects)
	require.Equal(t, restored(5), position)
	r.apply([]feed.Event{{Object: object("new", `1`)}}, restored(9))
	require.True(t, r.watch(at(8), 0).gone, "equal revisions of different epochs are different changes")
	require.Len(t, r.watch(restored(5), 0).events, 1)

	r.reset([]feed.Object{object("lost", `1`)}, at(20))
	r.apply([]feed.Event{{Object: object("lost", `1`)}}, at(21))
	objects, position = r.all()
	require.Len(t, objects, 2)
	require.Equal(t, restored(9), position, "a late response of the former epoch must be ignored")
}

// The follower's revision has been assigned again, so that its source has changes after it.
func TestFollowerListsAgainOnceItsSourceHasARestoredStore(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.direct = true
	follower := z.add("follower", true, "reader")
	for _, d := range []*daemon{reader, follower} {
		d.external.objects, d.external.revision = []feed.Object{object("lost", `1`)}, 9
		d.list(t)
	}
	reader.external.restore(5, object("old", `1`))
	reader.list(t)
	reader.external.revision, reader.external.events = 12, []feed.Event{{Object: object("new", `1`)}}
	_, _, err := reader.store.Watch(kind, restored(5), time.Second, true)
	require.NoError(t, err)

	follower.external.restore(12, object("old", `1`), object("new", `1`))
	_, _, err = follower.store.Watch(kind, at(9), time.Second, true)
	require.ErrorIs(t, err, feed.ErrRestored)
	objects, position, err := follower.store.List(kind, false)
	require.NoError(t, err)
	require.Equal(t, restored(12), position)
	require.ElementsMatch(t, []feed.Object{object("old", `1`), object("new", `1`)}, objects)
	calls := follower.external.calls
	_, _, err = follower.store.Watch(kind, position, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, calls, follower.external.calls, "it must follow its source again")
}

// A follower has seen the restored store, and its source hasn't.
func TestSourceOfAFormerEpochIsNotFollowed(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.direct = true
	reader.external.objects, reader.external.revision = []feed.Object{object("lost", `1`)}, 9
	reader.list(t)
	follower := z.add("follower", true, "reader")
	follower.external.restore(5, object("old", `1`))
	position := follower.list(t)
	require.Equal(t, restored(5), position)
	calls := follower.external.calls
	_, next, err := follower.store.Watch(kind, position, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, position, next)
	require.Equal(t, calls+1, follower.external.calls)

	follower.external.down = true
	follower.away.Store(true)
	_, _, err = follower.store.List(kind, false)
	require.ErrorIs(t, err, errDown, "a list of the former epoch must not be used")
}

// A daemon that can't reach the external store gets the restored objects from its source.
func TestRejectedDaemonFollowsARestoredStore(t *testing.T) {
	z := zone{}
	reader := z.add("reader", false)
	rejected := z.add("rejected", false, "reader")
	for _, d := range []*daemon{reader, rejected} {
		d.external.objects, d.external.revision = []feed.Object{object("lost", `1`)}, 9
		d.list(t)
	}
	rejected.external.down = true
	rejected.away.Store(true)
	reader.external.restore(12, object("old", `1`))
	reader.list(t)
	_, _, err := rejected.store.Watch(kind, at(9), time.Second, true)
	require.Error(t, err)
	objects, position, err := rejected.store.List(kind, false)
	require.NoError(t, err)
	require.Equal(t, restored(12), position)
	require.Equal(t, []feed.Object{object("old", `1`)}, objects)
	_, next, err := rejected.store.Watch(kind, position, time.Second, true)
	require.NoError(t, err)
	require.Equal(t, position, next)
}

// The external store turns the daemon away, so that a watch there fails or hangs until it times
// out.
func TestDaemonTurnedAwayListsAtItsSourceThatHasARestoredStore(t *testing.T) {
	z := zone{}
	reader := z.add("reader", true)
	reader.direct = true
	outdated := z.add("outdated", true)
	turnedAway := z.add("turned away", true, "reader", "outdated")
	for _, d := range z {
		d.external.objects, d.external.revision = []feed.Object{object("lost", `1`)}, 9
		d.list(t)
	}
	outdated.away.Store(true)
	turnedAway.external.down = true
	turnedAway.away.Store(true)
	reader.external.restore(5, object("new", `1`))
	reader.list(t)

	calls := turnedAway.external.calls
	_, _, err := turnedAway.store.Watch(kind, at(9), time.Second, true)
	require.ErrorIs(t, err, feed.ErrHistoryGone)
	require.Equal(t, calls, turnedAway.external.calls, "the external store is known not to answer")
	objects, position, err := turnedAway.store.List(kind, false)
	require.NoError(t, err)
	require.Equal(t, restored(5), position)
	require.Equal(t, []feed.Object{object("new", `1`)}, objects)
}
