package callerserver

import (
	"bufio"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/monotonic/monotonictest"
)

// startWithClock starts a server whose time of day the test can change.
func startWithClock(t *testing.T, limits Limits) (*Server, *monotonictest.Clock, string) {
	t.Helper()
	clock := &monotonictest.Clock{}
	server := New(&echoHandler{}, limits, logging.Discard())
	server.now = clock.Now
	return server, clock, run(t, server)
}

// A time of day that jumps ahead must not close connections that have not timed out.
func TestTimeOfDayJumpsAhead(t *testing.T) {
	server, clock, address := startWithClock(t, serverLimits())
	idle, partial := dial(t, address), dial(t, address)
	send(t, partial, post("in parts")[:20])
	require.Eventually(t, func() bool { return server.Connections() == 2 && server.Receiving() }, settleTimeout, time.Millisecond)
	clock.Jump(time.Hour)
	server.OnTick()
	send(t, idle, post("whole"))
	send(t, partial, post("in parts")[20:])
	_, body := readResponse(t, bufio.NewReader(idle))
	require.Equal(t, "whole", body)
	_, body = readResponse(t, bufio.NewReader(partial))
	require.Equal(t, "in parts", body)
}

// A time of day that jumps back must not keep connections open that time out.
func TestTimeOfDayJumpsBack(t *testing.T) {
	limits := serverLimits()
	limits.SendTimeout, limits.IdleTimeout = time.Second, time.Second
	server, clock, address := startWithClock(t, limits)
	idle, partial := dial(t, address), dial(t, address)
	send(t, partial, post("in parts")[:20])
	require.Eventually(t, func() bool { return server.Connections() == 2 && server.Receiving() }, settleTimeout, time.Millisecond)
	clock.Jump(-time.Hour)
	requireClosed(t, idle)
	requireClosed(t, partial)
}
