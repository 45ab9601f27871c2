package feed

import "sync"

// EpochTracker keeps the store's epoch, which rises when the store is restored from an older
// copy. The zero value is ready for use. It is safe for concurrent use.
type EpochTracker struct {
	mu sync.Mutex
	// known is set once a response has named the epoch.
	known   bool
	current uint64
	// watches is the number of watches in progress by the epoch of their positions.
	watches map[uint64]int
	// onRestored is called after the epoch has risen.
	onRestored []func(previous, current uint64)
}

// Subscribe adds a function that is called after the epoch has risen.
func (t *EpochTracker) Subscribe(f func(previous, current uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRestored = append(t.onRestored, f)
}

// Current returns the highest epoch seen, or 0 if no response has named one.
func (t *EpochTracker) Current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// BeginWatch records a watch after a position of an epoch. It returns false if the store has been
// restored since.
func (t *EpochTracker) BeginWatch(epoch uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch < t.current {
		return false
	}
	if t.watches == nil {
		t.watches = map[uint64]int{}
	}
	t.watches[epoch]++
	return true
}

// EndWatch records the end of a watch.
func (t *EpochTracker) EndWatch(epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watches[epoch]--
	if t.watches[epoch] == 0 {
		delete(t.watches, epoch)
	}
}

// HasOutdatedWatches reports whether watches of former epochs are in progress.
func (t *EpochTracker) HasOutdatedWatches() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for epoch := range t.watches {
		if epoch < t.current {
			return true
		}
	}
	return false
}

// Observe records the epoch that a response of the store has named.
func (t *EpochTracker) Observe(epoch uint64) {
	t.mu.Lock()
	previous, restored := t.current, t.known && epoch > t.current
	t.current, t.known = max(t.current, epoch), true
	subscribers := t.onRestored
	t.mu.Unlock()
	if restored {
		for _, f := range subscribers {
			f(previous, epoch)
		}
	}
}
