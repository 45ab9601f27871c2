package relay

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/feed"
)

// maxChanges bounds the changes that a replica remembers.
const maxChanges = 512

// change is a change that showed at a revision.
type change struct {
	revision uint64
	event    feed.Event
}

// replica is a daemon's copy of the objects of a kind with their last changes, for
// daemons that follow this one. It is safe for concurrent use.
type replica struct {
	// spared is set if daemons that needn't read the store themselves follow others.
	spared bool

	mu      sync.Mutex
	objects map[string]feed.Object
	// revision is the one that objects shows, oldest the one after which all changes
	// are remembered.
	revision, oldest uint64
	changes          []change
	// followed is set while the copy is kept up to date from the store itself.
	followed bool
	// news is closed when revision or followed changes.
	news chan struct{}
}

func newReplica(spared bool) *replica {
	return &replica{spared: spared, objects: map[string]feed.Object{}, news: make(chan struct{})}
}

// reset takes all objects. What differs counts as changed at their revision, so that
// followers needn't list again.
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
			r.remember(revision, feed.Event{Object: object})
		}
		delete(previous, object.Name)
	}
	for _, object := range previous {
		r.remember(revision, feed.Event{Object: object, Deleted: true})
	}
	if first {
		r.changes, r.oldest = nil, revision
	}
	r.advance(revision)
}

// apply takes changes up to a revision.
func (r *replica) apply(events []feed.Event, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, event := range events {
		if event.Deleted {
			delete(r.objects, event.Object.Name)
		} else {
			r.objects[event.Object.Name] = event.Object
		}
		r.remember(revision, event)
	}
	r.advance(revision)
}

func (r *replica) remember(revision uint64, event feed.Event) {
	r.changes = append(r.changes, change{revision: revision, event: event})
	if excess := len(r.changes) - maxChanges; excess > 0 {
		r.oldest = r.changes[excess-1].revision
		r.changes = slices.Delete(r.changes, 0, excess)
	}
}

func (r *replica) advance(revision uint64) {
	if revision > r.revision {
		r.revision = revision
		r.tell()
	}
}

// follow says whether the copy is kept up to date from the store itself.
func (r *replica) follow(followed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followed != followed {
		r.followed = followed
		r.tell()
	}
}

func (r *replica) tell() {
	close(r.news)
	r.news = make(chan struct{})
}

// empty reports whether there has been no list yet.
func (r *replica) empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision == 0
}

// all returns all objects and the revision that they show, followed or not.
func (r *replica) all() ([]feed.Object, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.objects)), r.revision
}

// list returns all objects; false means that the copy isn't followed.
func (r *replica) list() ([]feed.Object, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.followed {
		return nil, 0, false
	}
	return slices.Collect(maps.Values(r.objects)), r.revision, true
}

// watched is what a replica has for a follower.
type watched struct {
	events   []feed.Event
	revision uint64
	// unavailable means that the copy isn't followed, gone that changes are forgotten.
	unavailable, gone bool
}

// watch returns the changes after a revision. Without any it waits for the next one, at
// most for a time.
func (r *replica) watch(after uint64, wait time.Duration) watched {
	seen, news := r.since(after)
	if seen.unavailable || seen.gone || len(seen.events) > 0 {
		return seen
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	}
	seen, _ = r.since(after)
	return seen
}

func (r *replica) since(after uint64) (watched, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.followed:
		return watched{unavailable: true}, r.news
	case after < r.oldest:
		return watched{gone: true}, r.news
	}
	seen := watched{revision: max(r.revision, after)}
	for _, change := range r.changes {
		if change.revision > after {
			seen.events = append(seen.events, change.event)
		}
	}
	return seen, r.news
}
