package callerserver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/monotonic/monotonictest"
)

func TestStepOfWallClockDoesNotCloseConnections(t *testing.T) {
	server, _, address := startServer(t, serverLimits())
	conn := dial(t, address)
	send(t, conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	require.Eventually(t, server.Receiving, settleTimeout, time.Millisecond)
	server.conns.Range(func(_, value any) bool {
		state := value.(*connState)
		require.False(t, server.timedOut(state, monotonictest.Jump(time.Now(), time.Hour)))
		require.True(t, server.timedOut(state, time.Now().Add(time.Hour)))
		return true
	})
}
