package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// flowRequest is a request of a flow that arrives now.
func (h *harness) flowRequest(name string, weight float64) *Request {
	r := h.request(true)
	r.Flow = Flow{Name: name, Weight: weight}
	return r
}

// sendInOrder queues requests at a pool without room, and returns the flows in the order in which they
// are sent when there is room for one after the other.
func sendInOrder(t *testing.T, requests func(h *harness) []*Request) []string {
	t.Helper()
	h := newHarness(t)
	for _, r := range requests(h) {
		r.arrived = h.now
		h.pool.fair.join(r)
		h.pool.enqueue(r)
	}
	var order []string
	for len(h.pool.queue) > 0 {
		h.pool.sortQueue(h.now)
		r := h.pool.queue[0]
		h.pool.fair.charge(r)
		h.pool.dequeue(r)
		order = append(order, r.Flow.Name)
	}
	return order
}

// A flow with many waiting requests must not delay one that comes later with few.
func TestFlowsAreServedInTurn(t *testing.T) {
	order := sendInOrder(t, func(h *harness) (requests []*Request) {
		for _, name := range []string{"busy", "busy", "busy", "busy", "other", "other"} {
			requests = append(requests, h.flowRequest(name, 1))
		}
		return requests
	})
	require.ElementsMatch(t, []string{"busy", "other", "busy", "other"}, order[:4])
}

func TestFlowsAreServedByWeight(t *testing.T) {
	order := sendInOrder(t, func(h *harness) (requests []*Request) {
		for range 6 {
			requests = append(requests, h.flowRequest("heavy", 3), h.flowRequest("light", 1))
		}
		return requests
	})
	heavy := 0
	for _, name := range order[:8] {
		if name == "heavy" {
			heavy++
		}
	}
	require.Equal(t, 6, heavy)
}

// A more urgent request comes first whatever its flow has used.
func TestPriorityComesBeforeShares(t *testing.T) {
	order := sendInOrder(t, func(h *harness) (requests []*Request) {
		for range 3 {
			other, urgent := h.flowRequest("other", 1), h.flowRequest("busy", 1)
			other.Priority, urgent.Priority = 1, 0
			requests = append(requests, other, urgent)
		}
		return requests
	})
	require.Equal(t, []string{"busy", "busy", "busy", "other", "other", "other"}, order)
}

// A flow must not save up its share while it sends nothing, and flows without requests must not stay
// in memory.
func TestIdleFlowsAreForgotten(t *testing.T) {
	var shares fairShares
	for i := range 10 * maxIdleFlows {
		r := &Request{ServiceTime: serviceTime, Flow: Flow{Name: fmt.Sprint(i), Weight: 1}}
		shares.join(r)
		shares.add(r)
		require.Equal(t, shares.floor, r.use.runtime)
		shares.charge(r)
		shares.remove(r)
		shares.floor += serviceTime
	}
	require.LessOrEqual(t, len(shares.flows), maxIdleFlows)
}
