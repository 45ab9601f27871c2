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

	mu      sync.Mutex
	objects map[string]feed.Object
	// revision is that of objects. The replica has all changes after revision oldest.
	revision, oldest uint64
	changes          []change
	// direct is set while the replica is kept up to date from the external store itself.
	direct bool
	// updated is closed and replaced when revision or direct changes.
	updated chan struct{}
}

func newReplica(preferPeers bool) *replica {
	return &replica{preferPeers: preferPeers, objects: map[string]feed.Object{}, updated: make(chan struct{})}
}

// reset replaces all objects by those of a list. Differences are recorded as changes at the
// revision of the list, so that followers needn't list again. A list that is older than the
// replica is ignored.
func (r *replica) reset(objects []feed.Object, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.revision {
		return
	}
	first := r.revision == 0
	previous := r.objects
	r.objects = make(map[string]feed.Object, len(objects))
	for _, object := range objects {
		r.objects[object.Name] = object
		if known, ok := previous[object.Name]; !ok || !bytes.Equal(known.Spec, object.Spec) {
			r.recordChange(revision, feed.Event{Object: object})
		}
		delete(previous, object.Name)
	}
	for _, object := range previous {
		r.recordChange(revision, feed.Event{Object: object, Deleted: true})
	}
	if first {
		r.changes, r.oldest = nil, revision
	}
	r.advance(revision)
}

// apply applies changes up to a revision.
func (r *replica) apply(events []feed.Event, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, event := range events {
		if event.Deleted {
			delete(r.objects, event.Object.Name)
		} else {
			r.objects[event.Object.Name] = event.Object
		}
		r.recordChange(revision, event)
	}
	r.advance(revision)
}

// recordChange appends a change and drops the oldest ones beyond maxChanges.
func (r *replica) recordChange(revision uint64, event feed.Event) {
	r.changes = append(r.changes, change{revision: revision, event: event})
	if excess := len(r.changes) - maxChanges; excess > 0 {
		r.oldest = r.changes[excess-1].revision
		r.changes = slices.Delete(r.changes, 0, excess)
	}
}

// advance raises the revision and wakes waiting watches.
func (r *replica) advance(revision uint64) {
	if revision > r.revision {
		r.revision = revision
		r.notify()
	}
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
	return r.revision == 0
}

// all returns all objects and their revision, whether the replica is direct or not.
func (r *replica) all() ([]feed.Object, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.objects)), r.revision
}

// list returns all objects and their revision for a follower. It returns false if the replica
// isn't direct.
func (r *replica) list() ([]feed.Object, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.direct {
		return nil, 0, false
	}
	return slices.Collect(maps.Values(r.objects)), r.revision, true
}

// watchResult is the result of a follower's watch.
type watchResult struct {
	events   []feed.Event
	revision uint64
	// unavailable means that the replica isn't direct, gone that it no longer has all the
	// changes asked for.
	unavailable, gone bool
}

// watch returns the changes after a revision. If there are none, it waits until the replica
// is updated, at most for the given time.
func (r *replica) watch(after uint64, wait time.Duration) watchResult {
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

// changesAfter returns the changes after a revision, and a channel that is closed when the
// replica is updated.
func (r *replica) changesAfter(after uint64) (watchResult, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.direct:
		return watchResult{unavailable: true}, r.updated
	case after < r.oldest:
		return watchResult{gone: true}, r.updated
	}
	result := watchResult{revision: max(r.revision, after)}
	for _, change := range r.changes {
		if change.revision > after {
			result.events = append(result.events, change.event)
		}
	}
	return result, r.updated
}
