// Package platformd is a small stand-in for the platform: an object API with
// versions, conditional updates and watches, and a lagging list of VMs.
package platformd

import (
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// Store keeps objects in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	version platform.Version
	objects map[string]platform.Object
	changed chan struct{}
	closed  chan struct{}
	list    vmList
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[string]platform.Object{},
		changed: make(chan struct{}),
		closed:  make(chan struct{}),
	}
}

// Close ends all waits, present and future. It may be called once.
func (s *Store) Close() { close(s.closed) }

// Get returns an object. The error is a *platform.NotFoundError.
func (s *Store) Get(key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return platform.Object{}, &platform.NotFoundError{Key: key}
	}
	return object, nil
}

// Put replaces an object that is at exactly the given version; version 0 means
// that it must not exist. The error is a *platform.ConflictError.
func (s *Store) Put(key string, version platform.Version, value []byte) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.objects[key].Version; have != version {
		return 0, &platform.ConflictError{Key: key, Have: have}
	}
	next := s.advance()
	s.objects[key] = platform.Object{Key: key, Version: next, Value: append([]byte(nil), value...)}
	return next, nil
}

// Delete removes an object that is at exactly the given version.
func (s *Store) Delete(key string, version platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return &platform.NotFoundError{Key: key}
	}
	if object.Version != version {
		return &platform.ConflictError{Key: key, Have: object.Version}
	}
	s.advance()
	delete(s.objects, key)
	return nil
}

// Watch waits until the object's version is above after, for wait at most. The
// result is false on timeout.
func (s *Store) Watch(key string, after platform.Version, wait time.Duration) (platform.Object, bool) {
	var object platform.Object
	ok := s.await(wait, func() bool {
		object = s.objects[key]
		return object.Version > after
	})
	return object, ok
}

func (s *Store) advance() platform.Version {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// await calls ready with the lock held until it returns true or wait is over.
func (s *Store) await(wait time.Duration, ready func() bool) bool {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		done := ready()
		changed := s.changed
		s.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-s.closed:
			return false
		}
	}
}

// Len returns the number of objects.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}
