package callerserver

import (
	"bufio"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// holdingHandler holds requests until the test responds to them. GET requests may run
// concurrently.
type holdingHandler struct {
	mu           sync.Mutex
	held         map[string]*Exchange
	disconnected []string
}

func newHoldingHandler() *holdingHandler { return &holdingHandler{held: map[string]*Exchange{}} }

// Serve implements Handler.
func (h *holdingHandler) Serve(request *fasthttp.Request, exchange *Exchange) {
	path := string(request.Header.RequestURI())
	h.mu.Lock()
	h.held[path] = exchange
	h.mu.Unlock()
	exchange.WatchCaller(watcherFunc(func() {
		h.mu.Lock()
		h.disconnected = append(h.disconnected, path)
		h.mu.Unlock()
		exchange.Reply(&fasthttp.Response{})
	}))
}

// MayRunConcurrently implements ConcurrentHandler.
func (h *holdingHandler) MayRunConcurrently(request *fasthttp.Request) bool {
	return request.Header.IsGet()
}

// has reports whether exactly the requests with the given paths were received so far.
func (h *holdingHandler) has(paths ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, path := range paths {
		if h.held[path] == nil {
			return false
		}
	}
	return len(h.held) == len(paths)
}

// respond responds to the request with the given path. The connection is closed after the
// response if closing is set.
func (h *holdingHandler) respond(path string, closing bool) {
	h.mu.Lock()
	exchange := h.held[path]
	h.mu.Unlock()
	response := &fasthttp.Response{}
	response.SetBodyString(path)
	if closing {
		exchange.closeAfter.Store(true)
	}
	exchange.Reply(response)
}

func pipelineLimits() Limits {
	limits := serverLimits()
	limits.PipelineDepth = 3
	limits.AnyRequest = true
	return limits
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, settleTimeout, time.Millisecond)
}

func TestPipelinedRequestsRunConcurrentlyAndResponsesKeepOrder(t *testing.T) {
	h := newHoldingHandler()
	server, address := startHandler(t, h, pipelineLimits())
	conn := dial(t, address)
	send(t, conn, get("/1")+get("/2")+get("/3")+get("/4"))
	eventually(t, func() bool { return h.has("/1", "/2", "/3") })
	h.respond("/3", false)
	h.respond("/2", false)
	h.respond("/1", false)
	reader := bufio.NewReader(conn)
	for i := range 3 {
		_, body := readResponse(t, reader)
		require.Equal(t, fmt.Sprint("/", i+1), body)
	}
	eventually(t, func() bool { return h.has("/1", "/2", "/3", "/4") })
	h.respond("/4", false)
	_, body := readResponse(t, reader)
	require.Equal(t, "/4", body)
	eventually(t, func() bool { return server.InFlight() == 0 })
}

func TestNonConcurrentRequestWaitsForAllBefore(t *testing.T) {
	h := newHoldingHandler()
	_, address := startHandler(t, h, pipelineLimits())
	conn := dial(t, address)
	send(t, conn, get("/1")+"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"+get("/3"))
	eventually(t, func() bool { return h.has("/1") })
	time.Sleep(50 * time.Millisecond)
	require.True(t, h.has("/1"))
	h.respond("/1", false)
	eventually(t, func() bool { return h.has("/1", "/2") })
	time.Sleep(50 * time.Millisecond)
	require.True(t, h.has("/1", "/2"), "a request started before a non-concurrent request ahead of it was answered")
	h.respond("/2", false)
	eventually(t, func() bool { return h.has("/1", "/2", "/3") })
}

func TestRequestsAfterClosingResponseAreDropped(t *testing.T) {
	h := newHoldingHandler()
	server, address := startHandler(t, h, pipelineLimits())
	conn := dial(t, address)
	send(t, conn, get("/1")+get("/2")+get("/3"))
	eventually(t, func() bool { return h.has("/1", "/2", "/3") })
	h.respond("/3", false)
	h.respond("/1", true)
	reader := bufio.NewReader(conn)
	_, body := readResponse(t, reader)
	require.Equal(t, "/1", body)
	requireClosed(t, reader)
	eventually(t, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.disconnected) == 1 && h.disconnected[0] == "/2"
	})
	eventually(t, func() bool { return server.InFlight() == 0 })
}

func TestDisconnectIsReportedForEachPipelinedRequest(t *testing.T) {
	h := newHoldingHandler()
	server, address := startHandler(t, h, pipelineLimits())
	conn := dial(t, address)
	send(t, conn, get("/1")+get("/2"))
	eventually(t, func() bool { return h.has("/1", "/2") })
	require.NoError(t, conn.Close())
	eventually(t, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.disconnected) == 2
	})
	eventually(t, func() bool { return server.InFlight() == 0 })
}

func TestDrainClosesConnectionAfterLastPipelinedResponse(t *testing.T) {
	h := newHoldingHandler()
	server, address := startHandler(t, h, pipelineLimits())
	conn := dial(t, address)
	send(t, conn, get("/1")+get("/2"))
	eventually(t, func() bool { return h.has("/1", "/2") })
	server.Drain()
	h.respond("/1", false)
	reader := bufio.NewReader(conn)
	_, body := readResponse(t, reader)
	require.Equal(t, "/1", body)
	h.respond("/2", false)
	_, body = readResponse(t, reader)
	require.Equal(t, "/2", body)
	requireClosed(t, reader)
}

func TestChunkedBody(t *testing.T) {
	_, _, address := startServer(t, pipelineLimits())
	conn := dial(t, address)
	reader := bufio.NewReader(conn)
	for _, piece := range []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", "c\r\n2;x=y\r\nde\r\n", "0\r\nX-T: 1\r\n\r\n",
	} {
		send(t, conn, piece)
		time.Sleep(10 * time.Millisecond)
	}
	status, body := readResponse(t, reader)
	require.Equal(t, fasthttp.StatusOK, status)
	require.Equal(t, "abcde", body)
	send(t, conn, post("next"))
	_, body = readResponse(t, reader)
	require.Equal(t, "next", body)
}

// Requests whose body length is ambiguous or invalid could be used to smuggle other requests.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"length and chunks": "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"other coding":      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
		"bad chunk":         "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, address := startServer(t, pipelineLimits())
			conn := dial(t, address)
			send(t, conn, text)
			reader := bufio.NewReader(conn)
			status, _ := readResponse(t, reader)
			require.Equal(t, fasthttp.StatusBadRequest, status)
			requireClosed(t, reader)
		})
	}
}

func TestChunkedBodyAboveLimitIsRejected(t *testing.T) {
	_, _, address := startServer(t, pipelineLimits())
	conn := dial(t, address)
	send(t, conn, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n"+strings.Repeat("x", 0x2000)+"\r\n0\r\n\r\n")
	status, _ := readResponse(t, bufio.NewReader(conn))
	require.Equal(t, fasthttp.StatusRequestEntityTooLarge, status)
}

func TestExpectContinue(t *testing.T) {
	_, _, address := startServer(t, pipelineLimits())
	conn := dial(t, address)
	send(t, conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	send(t, conn, "ok")
	_, body := readResponse(t, reader)
	require.Equal(t, "ok", body)
}

func TestHeadResponseHasNoBody(t *testing.T) {
	_, _, address := startServer(t, pipelineLimits())
	conn := dial(t, address)
	send(t, conn, "HEAD /a HTTP/1.0\r\nHost: h\r\n\r\n")
	var response fasthttp.Response
	response.SkipBody = true
	require.NoError(t, response.Read(bufio.NewReader(conn)))
	require.Equal(t, fasthttp.StatusOK, response.StatusCode())
}
