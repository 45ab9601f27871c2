package callerserver

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// largeResponseBytes is more than the buffers of a connection can hold.
const largeResponseBytes = 16 << 20

// largeHandler responds with largeResponseBytes of zeros.
type largeHandler struct{}

func (largeHandler) Serve(_ *fasthttp.Request, exchange *Exchange) {
	response := &fasthttp.Response{}
	response.SetBody(make([]byte, largeResponseBytes))
	exchange.Reply(response)
}

// startLargeServer starts a server with a largeHandler.
func startLargeServer(t *testing.T) (*Server, string) {
	t.Helper()
	limits := Limits{HeaderBytes: 4096, BodyBytes: 256 << 10, SendTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	return startHandler(t, largeHandler{}, limits)
}

// A caller that reads slowly, and that keeps sending before the response tells it to close,
// must receive the whole response. The server must not close the connection before the
// response is sent.
func TestLastResponseIsComplete(t *testing.T) {
	server, address := startLargeServer(t)
	server.Drain()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for range 2 {
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		require.NoError(t, err)
	}
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, int64(1), server.InFlight(), "the response was counted as sent before the caller read it")
	go func() {
		for err := error(nil); err == nil; time.Sleep(time.Millisecond) {
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		}
	}()
	response := &fasthttp.Response{}
	reader := bufio.NewReader(&slowReader{conn})
	require.NoError(t, response.Read(reader))
	require.Len(t, response.Body(), largeResponseBytes)
	require.True(t, response.ConnectionClose())
	rest, _ := io.ReadAll(reader)
	require.Empty(t, rest, "data follows the response that announced the close")
	require.Eventually(t, func() bool { return server.InFlight() == 0 }, 10*time.Second, 5*time.Millisecond)
}

// slowReader reads a connection in small pieces with pauses.
type slowReader struct{ conn net.Conn }

// Read implements io.Reader.
func (r *slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.conn.Read(buffer[:min(len(buffer), 64<<10)])
}

// A request whose caller disconnects in the middle of the response must not remain counted
// as in flight.
func TestCallerDisconnectsDuringResponse(t *testing.T) {
	server, address := startLargeServer(t)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 1000))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return server.InFlight() == 0 }, 10*time.Second, 5*time.Millisecond)
}

// A caller that is still sending must receive the complete error response. If the server
// closed the connection at once, a reset could destroy it.
func TestErrorResponseIsComplete(t *testing.T) {
	_, address := startLargeServer(t)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"))
	require.NoError(t, err)
	_, _ = conn.Write(make([]byte, 200_000))
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(bufio.NewReader(conn)))
	require.Equal(t, fasthttp.StatusRequestEntityTooLarge, response.StatusCode())
}
