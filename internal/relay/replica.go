package relay

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/feed"
)

// maxChanges bounds the changes that a replica keeps.
const maxChanges = 512

// change is a change of an object together with the revision at which it was seen.
type change struct {
	revision uint64
	event    feed.Event
}

// replica is a daemon's copy of the objects of a kind and of their last changes, from which
// other daemons are served. It is safe for concurrent use.
type replica struct {
	// preferPeers is set if daemons that are not active read the kind from other daemons.
	preferPeers bool
	// neverStale is set if the kind is never read by stale reads.
	neverStale bool

	mu      sync.Mutex
	objects map[string]feed.Object
	// at is the position of objects. The replica has all changes of the same epoch after
	// revision oldest.
	at      feed.Position
	oldest  uint64
	changes []change
	// direct is set while the replica is kept up to date from the external store itself.
	direct bool
	// updated is closed and replaced when at or direct changes.
	updated chan struct{}
	// currency tells how current the replica is, and doubted wakes the current watch when there
	// is a reason to doubt it.
	currency currency
	doubted  chan struct{}
}

func newReplica(preferPeers bool) *replica {
	return &replica{
		preferPeers: preferPeers,
		objects:     map[string]feed.Object{},
		updated:     make(chan struct{}),
		doubted:     make(chan struct{}, 1),
	}
}

// reset replaces all objects by those of a list. Differences are recorded as changes at the
// revision of the list, so that followers needn't list again. A list that is older than the
// replica is ignored. A list of a new epoch begins a new history: followers have to list, too.
func (r *replica) reset(objects []feed.Object, at feed.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.at) {
		return
	}
	first := r.at.Revision == 0 || r.at.Epoch != at.Epoch
	previous := r.objects
	r.objects = make(map[string]feed.Object, len(objects))
	for _, object := range objects {
		r.objects[object.Name] = object
		if known, ok := previous[object.Name]; !ok || !bytes.Equal(known.Spec, object.Spec) {
			r.recordChange(at, feed.Event{Object: object})
		}
		delete(previous, object.Name)
	}
	for _, object := range previous {
		r.recordChange(at, feed.Event{Object: object, Deleted: true})
	}
	if first {
		r.changes, r.oldest = nil, at.Revision
		r.currency.changed = newest(at, objects)
	}
	r.advance(at)
}

// take applies the result of a watch.
func (r *replica) take(result changes) {
	r.apply(result.events, result.next)
	r.confirm(result.currentAt)
}

// apply applies changes up to a position. Changes of another epoch are ignored.
func (r *replica) apply(events []feed.Event, at feed.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Epoch != r.at.Epoch {
		return
	}
	for _, event := range events {
		if event.Deleted {
			delete(r.objects, event.Object.Name)
		} else {
			r.objects[event.Object.Name] = event.Object
		}
		r.recordChange(at, event)
	}
	r.advance(at)
}

// recordChange appends a change and drops the oldest ones beyond maxChanges.
func (r *replica) recordChange(at feed.Position, event feed.Event) {
	r.currency.recordChange(at, event.Object.Revision)
	r.changes = append(r.changes, change{revision: at.Revision, event: event})
	if excess := len(r.changes) - maxChanges; excess > 0 {
		r.oldest = r.changes[excess-1].revision
		r.changes = slices.Delete(r.changes, 0, excess)
	}
}

// advance raises the position and wakes waiting watches.
func (r *replica) advance(at feed.Position) {
	if r.at.Before(at) {
		r.at = at
		r.notify()
	}
	if !r.at.Before(r.currency.reported) {
		r.currency.behindSince = time.Time{}
	}
}

// isAfter reports whether the replica is newer than a position.
func (r *replica) isAfter(at feed.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return at.Before(r.at)
}

// setDirect sets whether the replica is kept up to date from the external store itself.
func (r *replica) setDirect(direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.direct != direct {
		r.direct = direct
		r.notify()
	}
}

// notify wakes all waiting watches. The caller holds the lock.
func (r *replica) notify() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// empty reports whether the replica has never been filled by a list.
func (r *replica) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at.Revision == 0
}

// all returns all objects and their position, whether the replica is direct or not.
func (r *replica) all() ([]feed.Object, feed.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.objects)), r.at
}

// list returns all objects and their position for a follower. It returns false if the replica
// isn't direct.
func (r *replica) list() ([]feed.Object, feed.Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.direct {
		return nil, feed.Position{}, false
	}
	return slices.Collect(maps.Values(r.objects)), r.at, true
}

// watchResult is the result of a follower's watch.
type watchResult struct {
	events []feed.Event
	at     feed.Position
	// unavailable means that the replica isn't direct or is of an earlier epoch, gone that it
	// no longer has all the changes asked for.
	unavailable, gone bool
}

// watch returns the changes after a position. If there are none, it waits until the replica
// is updated, at most for the given time.
func (r *replica) watch(after feed.Position, wait time.Duration) watchResult {
	result, updated := r.changesAfter(after)
	if result.unavailable || result.gone || len(result.events) > 0 {
		return result
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	}
	result, _ = r.changesAfter(after)
	return result
}

// changesAfter returns the changes after a position, and a channel that is closed when the
// replica is updated.
func (r *replica) changesAfter(after feed.Position) (watchResult, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.direct || r.at.Epoch < after.Epoch:
		return watchResult{unavailable: true}, r.updated
	case r.at.Epoch > after.Epoch || after.Revision < r.oldest:
		return watchResult{gone: true}, r.updated
	}
	result := watchResult{at: feed.Position{Epoch: after.Epoch, Revision: max(r.at.Revision, after.Revision)}}
	for _, change := range r.changes {
		if change.revision > after.Revision {
			result.events = append(result.events, change.event)
		}
	}
	return result, r.updated
}
