package gateway

import (
	"container/heap"
	"time"
)

// timer calls a function on the event loop at a given time.
type timer struct {
	at   time.Time
	fire func(now time.Time)
	// index is the timer's position in the heap, or inactive.
	index int
}

// inactive is the index of a timer that isn't set.
const inactive = -1

// timers holds the active timers of the event loop. It multiplexes them on one timer of the
// Go runtime and is accessed only on the loop.
type timers struct {
	heap timerHeap
	// nextFire is when processTimer fires, or zero if it is not set.
	nextFire     time.Time
	processTimer *time.Timer
}

func newTimer(fire func(now time.Time)) *timer { return &timer{fire: fire, index: inactive} }

// set schedules a timer, or reschedules an active one.
func (t *timers) set(entry *timer, at time.Time) {
	entry.at = at
	if entry.index == inactive {
		heap.Push(&t.heap, entry)
	} else {
		heap.Fix(&t.heap, entry.index)
	}
	t.schedule()
}

// stop deactivates a timer.
func (t *timers) stop(entry *timer) {
	if entry.index != inactive {
		heap.Remove(&t.heap, entry.index)
	}
}

// schedule sets processTimer to the earliest active timer, unless it
// already fires by then.
func (t *timers) schedule() {
	if len(t.heap) == 0 {
		return
	}
	next := t.heap[0].at
	if !t.nextFire.IsZero() && !next.Before(t.nextFire) {
		return
	}
	t.nextFire = next
	t.processTimer.Reset(time.Until(next))
}

// run fires all timers that are due.
func (t *timers) run(now time.Time) {
	t.nextFire = time.Time{}
	for len(t.heap) > 0 && !t.heap[0].at.After(now) {
		entry := heap.Pop(&t.heap).(*timer)
		entry.fire(now)
	}
	t.schedule()
}

// timerHeap is a min-heap of timers by time.
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	entry := x.(*timer)
	entry.index = len(*h)
	*h = append(*h, entry)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	entry.index = inactive
	return entry
}
