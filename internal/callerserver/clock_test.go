package callerserver

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// wallSecondShift is the position of the seconds of the wall clock in the first word of a
// time.Time that also has a reading of the monotonic clock.
const wallSecondShift = 30

// stepped returns a time after the wall clock was set forward. Its reading of the monotonic clock
// is unchanged.
func stepped(t *testing.T, now time.Time, step time.Duration) time.Time {
	t.Helper()
	after := now
	*(*uint64)(unsafe.Pointer(&after)) += uint64(step/time.Second) << wallSecondShift
	require.Zero(t, after.Sub(now))
	require.Equal(t, step, after.Round(0).Sub(now.Round(0)))
	return after
}

func TestStepOfWallClockDoesNotCloseConnections(t *testing.T) {
	server, _, address := startServer(t, serverLimits())
	conn := dial(t, address)
	send(t, conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	require.Eventually(t, server.Receiving, settleTimeout, time.Millisecond)
	server.conns.Range(func(_, value any) bool {
		state := value.(*connState)
		require.False(t, server.timedOut(state, stepped(t, time.Now(), time.Hour)))
		require.True(t, server.timedOut(state, time.Now().Add(time.Hour)))
		return true
	})
}
