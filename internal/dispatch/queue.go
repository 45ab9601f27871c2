package dispatch

import (
	"container/heap"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// maxQueued is the maximum number of queued calls of one service.
const maxQueued = 1000

// fairQueue holds the calls that wait for a free slot. It serves callers
// round-robin: the caller with the lowest turn is next, and each served call raises
// its turn by one. Ties go to the earliest deadline. The calls of one caller are
// served by deadline.
type fairQueue struct {
	// callers holds the callers with queued calls, byTurn the same in order.
	callers map[string]*callerQueue
	byTurn  callerHeap
	// turn is the turn at which a caller was last served. New callers start with
	// it, so that the turns of all queued callers stay within one of each other.
	turn   uint64
	length int
}

// callerQueue holds the queued calls of one caller.
type callerQueue struct {
	caller string
	// turn orders the callers; see fairQueue.
	turn  uint64
	calls deadlineHeap
	// index is the position in callerHeap.
	index int
}

// firstDeadline returns the earliest deadline of the queued calls; zero if there are
// none.
func (q *callerQueue) firstDeadline() time.Time {
	if len(q.calls) == 0 {
		return time.Time{}
	}
	return q.calls[0].Deadline
}

func newFairQueue() fairQueue {
	return fairQueue{callers: map[string]*callerQueue{}}
}

// push adds a call.
func (q *fairQueue) push(call *Call) {
	waiting := q.callers[call.Caller]
	if waiting == nil {
		waiting = &callerQueue{caller: call.Caller, turn: q.turn}
		q.callers[call.Caller] = waiting
	}
	heap.Push(&waiting.calls, call)
	if len(waiting.calls) == 1 {
		heap.Push(&q.byTurn, waiting)
	} else {
		heap.Fix(&q.byTurn, waiting.index)
	}
	q.length++
	invariant.Check(q.length <= maxQueued, invariant.QueueBounded, "%d calls queued", q.length)
}

// next returns the call to be served next. The queue must not be empty.
func (q *fairQueue) next() *Call { return q.byTurn[0].calls[0] }

// pop removes and returns the call to be served next. The queue must not be empty.
func (q *fairQueue) pop() *Call {
	waiting := q.byTurn[0]
	call := waiting.calls[0]
	q.turn = waiting.turn
	waiting.turn++
	q.remove(call)
	return call
}

// remove removes a queued call.
func (q *fairQueue) remove(call *Call) {
	waiting := q.callers[call.Caller]
	heap.Remove(&waiting.calls, call.state.queueIndex)
	q.length--
	if len(waiting.calls) > 0 {
		heap.Fix(&q.byTurn, waiting.index)
		return
	}
	heap.Remove(&q.byTurn, waiting.index)
	delete(q.callers, call.Caller)
}

// ahead estimates how many queued calls are served before a new one of the caller.
func (q *fairQueue) ahead(caller string) int {
	own := 0
	if waiting := q.callers[caller]; waiting != nil {
		own = len(waiting.calls)
	}
	return min(q.length, own+(own+1)*len(q.byTurn))
}

// deadlineHeap orders the queued calls of one caller by deadline. It implements
// heap.Interface.
type deadlineHeap []*Call

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].state.queueIndex = i
	h[j].state.queueIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	call := x.(*Call)
	call.state.queueIndex = len(*h)
	call.state.waiting = true
	*h = append(*h, call)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	call := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	call.state.waiting = false
	return call
}

// callerHeap orders callers by turn, then by earliest deadline. It implements
// heap.Interface.
type callerHeap []*callerQueue

// Len implements heap.Interface.
func (h callerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h callerHeap) Less(i, j int) bool {
	if h[i].turn != h[j].turn {
		return h[i].turn < h[j].turn
	}
	return h[i].firstDeadline().Before(h[j].firstDeadline())
}

// Swap implements heap.Interface.
func (h callerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *callerHeap) Push(x any) {
	waiting := x.(*callerQueue)
	waiting.index = len(*h)
	*h = append(*h, waiting)
}

// Pop implements heap.Interface.
func (h *callerHeap) Pop() any {
	last := len(*h) - 1
	waiting := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return waiting
}
