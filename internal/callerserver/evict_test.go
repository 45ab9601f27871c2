package callerserver

import (
	"bufio"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
)

// Callers that stop in the middle of their requests must not keep others out for as long as they may
// take to send them.
func TestStoppedCallersMakeRoomForOthers(t *testing.T) {
	const connections = 4
	budget := bytebudget.New(0)
	server, address := startWithBudget(t, bodyMirror{}, budget)
	limits := budgetLimits()
	limits.Connections = connections
	server.SetLimits(limits)
	require.Eventually(t, func() bool { return server.Connections() == 0 }, settleTimeout, time.Millisecond)
	stopped := sendUpload(t, address, 1000, 1)
	for range connections - 1 {
		sendUpload(t, address, 1000, 1)
	}
	time.Sleep(stoppedTime + 100*time.Millisecond)
	require.Eventually(t, func() bool {
		conn := dial(t, address)
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write([]byte(post("a"))); err != nil {
			return false
		}
		response := &fasthttp.Response{}
		return response.Read(bufio.NewReader(conn)) == nil && response.StatusCode() == fasthttp.StatusOK
	}, settleTimeout, 20*time.Millisecond)
	status, body := readResponse(t, bufio.NewReader(stopped))
	require.Equal(t, fasthttp.StatusRequestTimeout, status)
	require.Contains(t, body, "not-run")
}
