package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
)

// start is the time at which the replicas of these tests were listed.
var start = time.Unix(1_000_000, 0)

// listedReplica returns a replica that was listed at a position at the time start.
func listedReplica(position feed.Position) *replica {
	r := newReplica(false)
	r.reset([]feed.Object{object("a", `1`)}, position)
	r.confirm(start)
	return r
}

// doubtAfter returns the doubt about a watch some time after start.
func doubtAfter(r *replica, passed time.Duration) doubt {
	reason, _ := r.doubt(start.Add(passed), maxAge)
	return reason
}

func TestWatchIsInDoubtOnceNothingHasShownForLongThatItReturnsChanges(t *testing.T) {
	r := listedReplica(at(5))
	require.Equal(t, noDoubt, doubtAfter(r, maxAge-time.Millisecond))
	require.Equal(t, tooOld, doubtAfter(r, maxAge))
	_, checkAfter := r.doubt(start.Add(time.Second), maxAge)
	require.Equal(t, readerMaxAge-time.Second, checkAfter, "the daemon may become the reader")
	_, checkAfter = r.doubt(start.Add(readerMaxAge), maxAge)
	require.Equal(t, maxAge-readerMaxAge, checkAfter)
}

// A report without a later change is as good as a response of the store.
func TestReportsOfAnotherDaemonShowThatAReplicaIsCurrent(t *testing.T) {
	r := listedReplica(at(5))
	r.handleReport(start.Add(2*time.Second), heartbeat.FeedReport{Epoch: 1, Revision: 4, AgeMillis: 500})
	require.Equal(t, 500*time.Millisecond, r.age(start.Add(2*time.Second)))
	require.Equal(t, noDoubt, doubtAfter(r, maxAge+time.Second))
	r.handleReport(start.Add(3*time.Second), heartbeat.FeedReport{Epoch: 0, Revision: 4})
	require.Equal(t, tooOld, doubtAfter(r, maxAge+1500*time.Millisecond), "a report of a former epoch shows nothing")
}

func TestWatchIsInDoubtIfAnotherDaemonHasALaterChange(t *testing.T) {
	for _, later := range []heartbeat.FeedReport{{Epoch: 1, Revision: 6}, {Epoch: 2, Revision: 1}} {
		r := listedReplica(at(5))
		r.handleReport(start, later)
		r.handleReport(start.Add(behindGrace/2), later)
		require.Len(t, r.doubted, 1, "the watch must be woken")
		require.Equal(t, noDoubt, doubtAfter(r, behindGrace-time.Millisecond), "the change may be on its way")
		require.Equal(t, behind, doubtAfter(r, behindGrace))
		r.forgetReports()
		require.Equal(t, noDoubt, doubtAfter(r, behindGrace))
	}
}

func TestDoubtEndsWithTheReportedChange(t *testing.T) {
	r := listedReplica(at(5))
	r.handleReport(start, heartbeat.FeedReport{Epoch: 1, Revision: 6})
	r.apply([]feed.Event{{Object: object("b", `2`)}}, at(7))
	require.Equal(t, noDoubt, doubtAfter(r, behindGrace))
	r.markStoreLost()
	require.Equal(t, storeLost, doubtAfter(r, 0))
	r.beginWatch()
	require.Equal(t, noDoubt, doubtAfter(r, 0))
}

// A report names the last change of its kind, not the revision of the response that contained it:
// otherwise daemons with the same changes would doubt one another's.
func TestReportNamesTheLastChange(t *testing.T) {
	changed := func(r *replica) uint64 {
		report, _ := r.report(start)
		return report.Revision
	}
	r := newReplica(false)
	_, ok := r.report(start)
	require.False(t, ok, "an empty replica reports nothing")
	listed, odd := object("a", `1`), object("odd", `1`)
	listed.Revision, odd.Revision = 3, 1<<60
	r.reset([]feed.Object{odd}, at(2))
	require.EqualValues(t, 2, changed(r), "an odd object may name a revision that doesn't exist yet")
	r = newReplica(false)
	r.reset([]feed.Object{listed}, at(9))
	require.EqualValues(t, 3, changed(r))
	written := object("b", `2`)
	written.Revision = 12
	r.apply([]feed.Event{{Object: written}}, at(15))
	require.EqualValues(t, 12, changed(r))
	r.apply(nil, at(17))
	require.EqualValues(t, 12, changed(r))
	r.apply([]feed.Event{{Object: written, Deleted: true}}, at(20))
	require.EqualValues(t, 20, changed(r), "the revision of a deleted object may be that of its last change")
	r.reset([]feed.Object{listed}, restored(4))
	require.EqualValues(t, 3, changed(r))
}

// hangingStore is an external store whose watches hang until they are aborted, but for those that
// don't wait.
type hangingStore struct {
	*fakeStore
	aborted chan struct{}
}

// Watch implements feed.Store.
func (s *hangingStore) Watch(kind string, after feed.Position, wait time.Duration, stale bool) ([]feed.Event, feed.Position, error) {
	if wait > renewWait {
		<-s.aborted
		return nil, feed.Position{}, errDown
	}
	return s.fakeStore.Watch(kind, after, wait, stale)
}

// AbortWatches implements feed.Store.
func (s *hangingStore) AbortWatches(string) { close(s.aborted) }

// Guards against a watch that hangs while another daemon has a change.
func TestHangingWatchIsReplacedIfAnotherDaemonReportsAChange(t *testing.T) {
	z := zone{}
	d := z.add("daemon", false)
	external := &hangingStore{fakeStore: d.external, aborted: make(chan struct{})}
	d.store.options.Store = external
	d.list(t)
	time.AfterFunc(10*time.Millisecond, func() {
		d.store.HandleReports([]heartbeat.FeedReport{{Kind: kind, Epoch: 1, Revision: 2}, {Kind: "unknown"}})
	})
	d.external.revision, d.external.events = 2, []feed.Event{{Object: object("b", `2`)}}
	events, next, err := d.store.Watch(kind, at(1), time.Hour, true)
	require.NoError(t, err)
	require.Equal(t, at(2), next)
	require.Equal(t, "b", events[0].Object.Name)
	require.Less(t, d.store.replicas[kind].age(time.Now()), maxAge)
}

// Guards against a watch that hangs after the store was lost, while others can be followed.
func TestHangingWatchIsReplacedByAnotherDaemonsOnceTheStoreIsLost(t *testing.T) {
	z := zone{}
	source := z.add("source", false)
	source.list(t)
	d := z.add("daemon", false, "source")
	d.store.options.Store = &hangingStore{fakeStore: d.external, aborted: make(chan struct{})}
	d.list(t)
	source.external.revision, source.external.events = 2, []feed.Event{{Object: object("b", `2`)}}
	_, _, err := source.store.Watch(kind, at(1), time.Second, true)
	require.NoError(t, err)
	time.AfterFunc(10*time.Millisecond, func() {
		d.away.Store(true)
		d.store.MarkUnavailable()
	})
	events, next, err := d.store.Watch(kind, at(1), time.Hour, true)
	require.NoError(t, err)
	require.Equal(t, at(2), next)
	require.Len(t, events, 1)
}

// Guards against a stale read, which may be seconds old, that counts as if it showed all changes.
func TestStaleReadsDoNotShowThatAReplicaIsCurrent(t *testing.T) {
	z := zone{}
	d := z.add("daemon", false)
	d.list(t)
	local := d.store.replicas[kind]
	confirmedAt := local.currency.currentAt
	for _, stale := range []bool{true, false} {
		_, _, err := d.store.Watch(kind, at(1), time.Second, stale)
		require.NoError(t, err)
		require.Equal(t, stale, local.currency.currentAt.Equal(confirmedAt))
	}
	confirmedAt = local.currency.currentAt
	_, _, err := d.store.List(kind, true)
	require.NoError(t, err)
	require.Equal(t, confirmedAt, local.currency.currentAt)
}
