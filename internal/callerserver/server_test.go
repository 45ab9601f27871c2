package callerserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/loopback"
)

// settleTimeout is how long tests wait for a condition or for input.
const settleTimeout = 10 * time.Second

// echoHandler responds with the request body, from another goroutine. It responds to
// requests for /never only when their callers disconnect.
type echoHandler struct {
	disconnects atomic.Int64
}

func (h *echoHandler) Serve(request *fasthttp.Request, exchange *Exchange) {
	response := &fasthttp.Response{}
	response.SetBody(request.Body())
	if string(request.URI().Path()) == "/never" {
		exchange.WatchCaller(watcherFunc(func() {
			h.disconnects.Add(1)
			exchange.Reply(response)
		}))
		return
	}
	go exchange.Reply(response)
}

// watcherFunc is an adapter that makes a function a CallerWatcher.
type watcherFunc func()

func (f watcherFunc) CallerDisconnected() { f() }

// startServer starts a server with an echoHandler and returns its address.
func startServer(t *testing.T, limits Limits) (*Server, *echoHandler, string) {
	t.Helper()
	handler := &echoHandler{}
	server, address := startHandler(t, handler, limits)
	return server, handler, address
}

// startHandler starts a server on a free address. It stops at the end of the test.
func startHandler(t testing.TB, handler Handler, limits Limits) (*Server, string) {
	t.Helper()
	server := New(handler, limits, logging.Discard())
	return server, run(t, server)
}

// run runs a server on a free address, which it returns. The server stops at the end of the
// test.
func run(t testing.TB, server *Server) string {
	t.Helper()
	address := freeAddress(t)
	failed := make(chan error, 1)
	go func() { failed <- server.Run(address, 1) }()
	select {
	case <-server.Started():
	case err := <-failed:
		require.NoError(t, err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		require.NoError(t, server.Stop(ctx))
	})
	return address
}

// freeAddress returns an address in a loopback subnet reserved for this test, so that
// no other test process uses it.
func freeAddress(t testing.TB) string {
	t.Helper()
	subnet, err := loopback.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = subnet.Release() })
	return net.JoinHostPort(subnet.Host(1), "8080")
}

func serverLimits() Limits {
	return Limits{HeaderBytes: 1024, BodyBytes: 4096, SendTimeout: time.Minute, IdleTimeout: time.Minute}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(settleTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

func post(body string) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func readResponse(t *testing.T, reader *bufio.Reader) (int, string) {
	t.Helper()
	var response fasthttp.Response
	require.NoError(t, response.Read(reader))
	return response.StatusCode(), string(response.Body())
}

// requireClosed requires that the peer closes the connection before the read deadline.
func requireClosed(t *testing.T, reader io.Reader) {
	t.Helper()
	_, err := io.Copy(io.Discard, reader)
	var netErr net.Error
	require.False(t, err != nil && asNetError(err, &netErr) && netErr.Timeout(), "the connection is still open")
}

func asNetError(err error, target *net.Error) bool {
	netErr, ok := err.(net.Error)
	*target = netErr
	return ok
}

// requireServes requires that the server responds on a new connection.
func requireServes(t *testing.T, address string) {
	t.Helper()
	conn := dial(t, address)
	send(t, conn, post("still here"))
	status, body := readResponse(t, bufio.NewReader(conn))
	require.Equal(t, 200, status)
	require.Equal(t, "still here", body)
}

func TestBadInputGetsErrorResponseAndClose(t *testing.T) {
	_, _, address := startServer(t, serverLimits())
	for name, c := range map[string]struct {
		input   string
		status  int
		outcome string
	}{
		"garbage":          {"\x00\x01\x02\r\n\r\n", 400, "unknown"},
		"chunked":          {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 411, "not-run"},
		"header too large": {"GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 2048), 431, "unknown"},
		"body too large":   {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4097\r\n\r\n", 413, "not-run"},
		"expectation":      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n", 417, "not-run"},
		"resend":           {"POST /a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: t:1\r\nPoplarwheel-Resend: 1\r\nContent-Length: 4097\r\n\r\n", 413, "unknown"},
		"first send":       {"POST /a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: t:1\r\nPoplarwheel-Resend: 0\r\nContent-Length: 4097\r\n\r\n", 413, "not-run"},
		"unnumbered key":   {"POST /a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: t:1\r\nContent-Length: 4097\r\n\r\n", 413, "unknown"},
		"HEAD":             {"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n", 501, "not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			send(t, conn, c.input)
			reader := bufio.NewReader(conn)
			status, body := readResponse(t, reader)
			require.Equal(t, c.status, status)
			require.Contains(t, body, `"outcome":"`+c.outcome+`"`)
			requireClosed(t, reader)
			requireServes(t, address)
		})
	}
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	_, _, address := startServer(t, serverLimits())
	conn := dial(t, address)
	var all strings.Builder
	for i := range 20 {
		all.WriteString(post(fmt.Sprint("body ", i)))
	}
	send(t, conn, all.String())
	reader := bufio.NewReader(conn)
	for i := range 20 {
		status, body := readResponse(t, reader)
		require.Equal(t, 200, status)
		require.Equal(t, fmt.Sprint("body ", i), body)
	}
}

func TestRequestInSmallPieces(t *testing.T) {
	_, _, address := startServer(t, serverLimits())
	conn := dial(t, address)
	reader := bufio.NewReader(conn)
	for range 3 {
		for _, piece := range strings.SplitAfter(post("a body in pieces"), "e") {
			send(t, conn, piece)
			time.Sleep(time.Millisecond)
		}
		status, body := readResponse(t, reader)
		require.Equal(t, 200, status)
		require.Equal(t, "a body in pieces", body)
	}
}

func TestHTTP10ConnectionIsClosedAfterResponse(t *testing.T) {
	_, _, address := startServer(t, serverLimits())
	conn := dial(t, address)
	send(t, conn, "POST /a HTTP/1.0\r\nContent-Length: 3\r\n\r\nold")
	reader := bufio.NewReader(conn)
	status, body := readResponse(t, reader)
	require.Equal(t, 200, status)
	require.Equal(t, "old", body)
	requireClosed(t, reader)
}

func TestSlowAndIdleConnectionsAreClosed(t *testing.T) {
	limits := serverLimits()
	limits.SendTimeout, limits.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond
	server, _, address := startServer(t, limits)
	slow, idle := dial(t, address), dial(t, address)
	send(t, slow, "POST /a HTTP/1.1\r\nHost")
	requireClosed(t, slow)
	requireClosed(t, idle)
	require.Eventually(t, func() bool { return server.Connections() == 0 }, settleTimeout, time.Millisecond)
}

func TestCallerDisconnects(t *testing.T) {
	server, handler, address := startServer(t, serverLimits())
	disconnects := map[string]func(net.Conn) error{
		"closed":      net.Conn.Close,
		"half closed": func(conn net.Conn) error { return conn.(*net.TCPConn).CloseWrite() },
		"reset": func(conn net.Conn) error {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return conn.Close()
		},
	}
	want := int64(0)
	for name, disconnect := range disconnects {
		conn := dial(t, address)
		send(t, conn, "GET /never HTTP/1.1\r\nHost: h\r\n\r\n")
		require.Eventually(t, func() bool { return server.InFlight() == 1 }, settleTimeout, time.Millisecond, name)
		require.NoError(t, disconnect(conn))
		want++
		require.Eventually(t, func() bool { return handler.disconnects.Load() == want }, settleTimeout, time.Millisecond, name)
		require.Eventually(t, func() bool { return server.InFlight() == 0 }, settleTimeout, time.Millisecond, name)
	}
	requireServes(t, address)
}

// A caller that keeps sending while its request is served and never reads must not make the
// server buffer more than the maximum size of one request.
func TestFloodDuringRequestClosesConnection(t *testing.T) {
	server, _, address := startServer(t, serverLimits())
	conn := dial(t, address)
	send(t, conn, "GET /never HTTP/1.1\r\nHost: h\r\n\r\n")
	chunk := strings.Repeat("x", 4096)
	var err error
	for err == nil {
		_, err = io.WriteString(conn, chunk)
	}
	require.Eventually(t, func() bool { return server.Connections() == 0 && server.InFlight() == 0 }, settleTimeout, time.Millisecond)
	requireServes(t, address)
}

// Corrupted, truncated and repeated requests on connections that close at random points must
// not stop the server or leave connections and requests counted.
func TestRandomInput(t *testing.T) {
	server, _, address := startServer(t, serverLimits())
	var senders sync.WaitGroup
	for seed := range uint64(16) {
		senders.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 0))
			for range 20 {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				_, _ = conn.Write(randomInput(rng))
				_ = conn.Close()
			}
		})
	}
	senders.Wait()
	require.Eventually(t, func() bool { return server.Connections() == 0 && server.InFlight() == 0 }, settleTimeout, time.Millisecond)
	requireServes(t, address)
}

func randomInput(rng *rand.Rand) []byte {
	input := []byte(strings.Repeat(post("some body"), 1+rng.IntN(4)))
	for range rng.IntN(4) {
		input[rng.IntN(len(input))] = byte(rng.IntN(256))
	}
	return input[:1+rng.IntN(len(input))]
}

func TestConnectionLimit(t *testing.T) {
	limits := serverLimits()
	limits.Connections = 2
	server, _, address := startServer(t, limits)
	first, second := dial(t, address), dial(t, address)
	for _, conn := range []net.Conn{first, second} {
		send(t, conn, post("in"))
		_, body := readResponse(t, bufio.NewReader(conn))
		require.Equal(t, "in", body)
	}
	third := bufio.NewReader(dial(t, address))
	status, body := readResponse(t, third)
	require.Equal(t, 503, status)
	require.Contains(t, body, "too_many_connections")
	requireClosed(t, third)
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return server.Connections() == 1 }, settleTimeout, time.Millisecond)
	requireServes(t, address)
}

// Many incomplete requests, each within the limits of one request, must not together exceed
// the limit on buffered bytes.
func TestBufferedBytesLimit(t *testing.T) {
	limits := serverLimits()
	limits.BufferedBytes = 16 << 10
	server, _, address := startServer(t, limits)
	incomplete := post(strings.Repeat("x", 4000))[:3500]
	for i := range int64(4) {
		send(t, dial(t, address), incomplete)
		want := (i + 1) * int64(len(incomplete))
		require.Eventually(t, func() bool { return server.buffered.Load() == want }, settleTimeout, time.Millisecond)
	}
	for range 4 {
		conn := dial(t, address)
		send(t, conn, incomplete)
		status, body := readResponse(t, bufio.NewReader(conn))
		require.Equal(t, 503, status)
		require.Contains(t, body, "buffers_full")
	}
	requireServes(t, address)
}
