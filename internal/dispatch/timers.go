package dispatch

import (
	"container/heap"
	"time"
)

// timer is the timer of a call. Each call has at most one.
type timer struct {
	at time.Time
	// index is the position in timers.
	index int
	set   bool
}

// timers orders the calls with a timer by its time. It implements heap.Interface.
type timers []*Call

// set starts the timer of a call or changes its time.
func (t *timers) set(call *Call, at time.Time) {
	call.state.timer.at = at
	if call.state.timer.set {
		heap.Fix(t, call.state.timer.index)
		return
	}
	heap.Push(t, call)
}

// stop stops the timer of a call.
func (t *timers) stop(call *Call) {
	if call.state.timer.set {
		heap.Remove(t, call.state.timer.index)
	}
}

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].state.timer.at.Before(t[j].state.timer.at) }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].state.timer.index = i
	t[j].state.timer.index = j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	call := x.(*Call)
	call.state.timer.index = len(*t)
	call.state.timer.set = true
	*t = append(*t, call)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	call := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	call.state.timer.set = false
	return call
}
