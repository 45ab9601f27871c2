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

// largeAnswer is more than the buffers of a connection hold.
const largeAnswer = 16 << 20

type largeHandler struct{}

func (largeHandler) Serve(_ *fasthttp.Request, exchange *Exchange) {
	response := &fasthttp.Response{}
	response.SetBody(make([]byte, largeAnswer))
	exchange.Reply(response)
}

func startLarge(t *testing.T) (*Server, string) {
	t.Helper()
	limits := Limits{HeaderBytes: 4096, BodyBytes: 256 << 10, SendTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	return startHandler(t, largeHandler{}, limits)
}

// TestLastAnswerIsWhole: a caller that reads slowly, and that has sent more
// before the answer told it to close, gets the whole answer.
func TestLastAnswerIsWhole(t *testing.T) {
	server, address := startLarge(t)
	server.Drain()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for range 2 {
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		require.NoError(t, err)
	}
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, int64(1), server.InFlight(), "the answer has not left the daemon yet")
	go func() {
		for err := error(nil); err == nil; time.Sleep(time.Millisecond) {
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		}
	}()
	response := &fasthttp.Response{}
	reader := bufio.NewReader(&slowReader{conn})
	require.NoError(t, response.Read(reader))
	require.Len(t, response.Body(), largeAnswer)
	require.True(t, response.ConnectionClose())
	rest, _ := io.ReadAll(reader)
	require.Empty(t, rest, "no answer follows the one that told the caller to close")
	require.Eventually(t, func() bool { return server.InFlight() == 0 }, 10*time.Second, 5*time.Millisecond)
}

// slowReader reads in small pieces with pauses.
type slowReader struct{ conn net.Conn }

// Read implements io.Reader.
func (r *slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.conn.Read(buffer[:min(len(buffer), 64<<10)])
}

// TestCallerGoneDuringAnswer: a caller that leaves in the middle of an answer
// isn't counted for ever.
func TestCallerGoneDuringAnswer(t *testing.T) {
	server, address := startLarge(t)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 1000))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return server.InFlight() == 0 }, 10*time.Second, 5*time.Millisecond)
}

// TestRejectionArrivesWhole: the reason for a refusal reaches a caller that is
// still sending.
func TestRejectionArrivesWhole(t *testing.T) {
	_, address := startLarge(t)
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
