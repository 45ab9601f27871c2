package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// large returns a request whose answer is large.
func (b *bench) large() *Request {
	r := b.request(true)
	r.Bytes = 100 * kilobyte
	return r
}

func TestLargeRequestsWaitForTheOwnZone(t *testing.T) {
	for _, size := range []int{usualBytes, 100 * kilobyte} {
		b := newBench(t, entry("a1", "a"), entry("b1", "b"), entry("b2", "b"))
		b.place(b.request(true), quiet(0))
		b.place(b.request(true), quiet(1))
		r := b.request(true)
		r.Bytes = size
		began := b.now
		sent := b.follow(b.pool.Arrive(b.now, r), quiet(0))
		if size == usualBytes {
			require.Equal(t, "b", sent.Target.Zone)
			require.Less(t, b.now.Sub(began), objective/farWaitShare/2)
			continue
		}
		require.False(t, b.now.Before(r.farFrom()) && sent.Target.Zone == "b")
	}
}

func TestLargeRequestsGoFarIfTheOwnZoneHasNoTarget(t *testing.T) {
	b := newBench(t, entry("b1", "b"))
	began := b.now
	b.place(b.large(), quiet(0))
	require.Less(t, b.now.Sub(began), freeGap)
}

func TestTheWaitForTheOwnZoneIsBounded(t *testing.T) {
	b := newBench(t)
	r := b.large()
	r.arrived = b.now
	require.Equal(t, r.latestInTime().Sub(b.now)/farWaitShare, r.farFrom().Sub(b.now))
	r.Bytes = usualBytes
	require.Equal(t, b.now, r.farFrom())
	r.Due = b.now
	r.Bytes = 100 * kilobyte
	require.Equal(t, b.now, r.farFrom(), "a late request waits no longer")
}
