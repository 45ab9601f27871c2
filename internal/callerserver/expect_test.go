package callerserver

import (
	"bufio"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// slowMirror is a mirrorHandler that responds after a pause.
type slowMirror struct{ mirrorHandler }

func (slowMirror) Serve(request *fasthttp.Request, exchange *Exchange) {
	time.AfterFunc(500*time.Millisecond, func() { mirrorHandler{}.Serve(request, exchange) })
}

func TestPipelinedCallerThatWaitsForContinueIsNotLeftWaiting(t *testing.T) {
	limits := serverLimits()
	limits.AnyRequest, limits.PipelineDepth = true, 16
	_, address := startHandler(t, slowMirror{}, limits)
	conn := dial(t, address)
	require.NoError(t, conn.SetDeadline(time.Now().Add(3*time.Second)))
	send(t, conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	reader := bufio.NewReader(conn)
	status, _ := readResponse(t, reader)
	require.Equal(t, fasthttp.StatusOK, status)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	send(t, conn, "ab")
	status, body := readResponse(t, reader)
	require.Equal(t, fasthttp.StatusOK, status)
	require.Equal(t, "/b ab", body)
}
