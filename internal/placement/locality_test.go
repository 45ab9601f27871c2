package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// largeRequest returns a request with a large response.
func (h *harness) largeRequest() *Request {
	r := h.request(true)
	r.Bytes = 100 * kilobyte
	return r
}

func TestLargeRequestsWaitForLocalZone(t *testing.T) {
	for _, size := range []int{smallBytes, 100 * kilobyte} {
		h := newHarness(t, targetInfo("a1", "a"), targetInfo("b1", "b"), targetInfo("b2", "b"))
		h.arriveAndSend(h.request(true), normalReport(0))
		h.arriveAndSend(h.request(true), normalReport(1))
		r := h.request(true)
		r.Bytes = size
		started := h.now
		sent := h.runUntilSent(h.pool.Arrive(h.now, r), normalReport(0))
		if size == smallBytes {
			require.Equal(t, "b", sent.Target.Zone)
			require.Less(t, h.now.Sub(started), objective/localZoneWaitDivisor/2)
			continue
		}
		require.False(t, h.now.Before(r.crossZoneAllowedAt()) && sent.Target.Zone == "b")
	}
}

func TestLargeRequestsCrossZonesWithoutLocalTarget(t *testing.T) {
	h := newHarness(t, targetInfo("b1", "b"))
	started := h.now
	h.arriveAndSend(h.largeRequest(), normalReport(0))
	require.Less(t, h.now.Sub(started), freeProbeInterval)
}

func TestWaitForLocalZoneIsBounded(t *testing.T) {
	h := newHarness(t)
	r := h.largeRequest()
	r.arrived = h.now
	require.Equal(t, r.latestInTimeStart().Sub(h.now)/localZoneWaitDivisor, r.crossZoneAllowedAt().Sub(h.now))
	r.Bytes = smallBytes
	require.Equal(t, h.now, r.crossZoneAllowedAt())
	r.Due = h.now
	r.Bytes = 100 * kilobyte
	require.Equal(t, h.now, r.crossZoneAllowedAt(), "a late request does not wait for the local zone")
}
