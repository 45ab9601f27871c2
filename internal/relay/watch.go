package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/peer"
)

const (
	// watchWait is how long a daemon holds a watch of a follower while nothing changes.
	watchWait = time.Second
	// watchMargin is the time after watchWait at which a watch without a response times
	// out.
	watchMargin = 500 * time.Millisecond
	// readerWatchWait is how long the watches of the zone's reader, which are never stale reads,
	// wait for changes.
	readerWatchWait = 2 * time.Second
	// renewWait is how long a call waits for changes that only brings a replica up to date.
	renewWait = time.Millisecond
)

// changes are the result of a watch: the changes of a kind up to a position.
type changes struct {
	events []feed.Event
	next   feed.Position
	// currentAt is a time until which there are no later changes, zero if none is known.
	currentAt time.Time
	// direct is set if the changes come from the external store itself.
	direct bool
}

// watched is the end of a watch.
type watched struct {
	changes changes
	err     error
}

// Watch implements feed.Store. A daemon that prefers to read from others, or for which the
// external store is unavailable, watches at other daemons first. If that fails, it watches at the
// external store, unless that is unavailable and the other daemons have to be listed at, because
// they no longer have changes that are as old. A watch that is in doubt is replaced by a call that
// doesn't wait.
func (s *Store) Watch(kind string, after feed.Position, wait time.Duration, stale bool) ([]feed.Event, feed.Position, error) {
	local := s.replicas[kind]
	if local == nil {
		return s.options.Store.Watch(kind, after, wait, stale)
	}
	if s.options.IsReader() {
		wait, stale = min(wait, readerWatchWait), false
	}
	stale = stale && !local.neverStale
	local.beginWatch()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pending := make(chan watched, 1)
	go func() {
		result, err := s.watchAnywhere(ctx, kind, after, wait, stale)
		pending <- watched{changes: result, err: err}
	}()
	ended, reason := s.await(pending, local)
	if reason != noDoubt {
		s.logDoubt(kind, local, reason)
		cancel()
		ended.changes, ended.err = s.renew(kind, after)
	}
	if ended.err != nil {
		local.setDirect(false)
		return nil, feed.Position{}, ended.err
	}
	local.take(ended.changes)
	local.setDirect(ended.changes.direct)
	return ended.changes.events, ended.changes.next, nil
}

// watchAnywhere watches a kind at other daemons or at the external store. It begins no call once ctx
// is done.
func (s *Store) watchAnywhere(ctx context.Context, kind string, after feed.Position, wait time.Duration, stale bool) (changes, error) {
	local := s.replicas[kind]
	if s.options.StoreUnavailable() || s.readsFromPeers(local) {
		local.setDirect(false)
		result, err := s.watchPeers(ctx, kind, after)
		if err == nil || errors.Is(err, feed.ErrHistoryGone) && s.options.StoreUnavailable() {
			return result, err
		}
	}
	if ctx.Err() != nil {
		return changes{}, ctx.Err()
	}
	return s.watchStore(kind, after, wait, stale)
}

// await waits for the end of a watch, or until it is in doubt.
func (s *Store) await(pending <-chan watched, local *replica) (watched, doubt) {
	check := time.NewTimer(0)
	defer check.Stop()
	for {
		select {
		case ended := <-pending:
			return ended, noDoubt
		case <-local.doubted:
		case <-check.C:
		}
		reason, checkAfter := local.doubt(time.Now(), s.ageLimit())
		if reason == noDoubt {
			check.Reset(checkAfter)
			continue
		}
		select {
		case ended := <-pending:
			return ended, noDoubt
		default:
			return watched{}, reason
		}
	}
}

func (s *Store) logDoubt(kind string, local *replica, reason doubt) {
	s.options.Log.WithFields(logrus.Fields{"kind": kind, "reason": reason, "age_ms": local.age(time.Now()).Milliseconds()}).Info("watch in doubt; reading again")
}

// renew brings the replica of a kind up to date over a new connection: at the external store, or at
// other daemons if that is unavailable.
func (s *Store) renew(kind string, after feed.Position) (changes, error) {
	local := s.replicas[kind]
	s.options.Store.AbortWatches(kind)
	err := ErrUnavailable
	if !s.options.StoreUnavailable() {
		var result changes
		if result, err = s.watchStore(kind, after, renewWait, false); err == nil {
			local.forgetReports()
			result.direct = !s.readsFromPeers(local)
			return result, nil
		}
	}
	for range catchUpAttempts {
		if !s.options.StoreUnavailable() {
			break
		}
		var result changes
		if result, err = s.watchPeers(context.Background(), kind, after); err == nil || errors.Is(err, feed.ErrHistoryGone) {
			return result, err
		}
		time.Sleep(catchUpPause)
	}
	return changes{}, err
}

// watchStore watches a kind at the external store. A stale read doesn't show that there are no later
// changes.
func (s *Store) watchStore(kind string, after feed.Position, wait time.Duration, stale bool) (changes, error) {
	events, next, err := s.options.Store.Watch(kind, after, wait, stale)
	result := changes{events: events, next: next, direct: true}
	if !stale {
		result.currentAt = time.Now()
	}
	return result, err
}

// watchPeers watches a kind at the first daemon that can be followed. If there is none, the error
// is ErrHistoryGone if a daemon no longer has the changes, so that it can be listed at.
func (s *Store) watchPeers(ctx context.Context, kind string, after feed.Position) (changes, error) {
	err := ErrUnavailable
	for _, source := range s.options.Sources() {
		result, sourceErr := s.watchFrom(ctx, source, kind, after)
		if sourceErr == nil {
			return result, nil
		}
		if !errors.Is(err, feed.ErrHistoryGone) {
			err = sourceErr
		}
	}
	return changes{}, err
}

// watchFrom watches a kind at the daemon with peer address source.
func (s *Store) watchFrom(ctx context.Context, source, kind string, after feed.Position) (changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	request := peer.FeedRequest{Kind: kind, After: after.Revision, Epoch: after.Epoch}
	var response peer.FeedChanges
	if err := s.options.Caller.Call(ctx, source, peer.MethodFeedWatch, request, &response); err != nil {
		return changes{}, err
	}
	switch {
	case response.Unavailable:
		return changes{}, ErrUnavailable
	case response.Gone:
		return changes{}, feed.ErrHistoryGone
	}
	result := changes{
		next:      feed.Position{Epoch: after.Epoch, Revision: max(response.Revision, after.Revision)},
		currentAt: currentAt(response.AgeMillis),
	}
	for _, changed := range response.Changes {
		object := feed.Object{Name: changed.Name, Spec: changed.Spec, Revision: changed.Revision}
		result.events = append(result.events, feed.Event{Object: object, Deleted: changed.Deleted})
	}
	return result, nil
}
