package dispatch

// wakeHeap orders calls by the time of their next timer.
type wakeHeap []*Call

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(i, j int) bool { return h[i].state.wakeAt.Before(h[j].state.wakeAt) }

func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].state.heapIndex = i
	h[j].state.heapIndex = j
}

// Push implements heap.Interface.
func (h *wakeHeap) Push(x any) {
	call := x.(*Call)
	call.state.heapIndex = len(*h)
	call.state.queued = true
	*h = append(*h, call)
}

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	call := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	call.state.queued = false
	return call
}
