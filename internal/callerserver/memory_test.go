package callerserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
	"github.com/poplarwheel/poplarwheel/internal/logging"
)

// bodyMirror is a mirrorHandler for servers with a budget.
type bodyMirror struct{ mirrorHandler }

func (bodyMirror) Serve(request *fasthttp.Request, exchange *Exchange) {
	body := request.Body()
	if exchange.Body() != nil {
		body = exchange.Body().Bytes()
	}
	response := &fasthttp.Response{}
	response.SetBodyString(string(request.Header.RequestURI()) + " " + string(body))
	go exchange.Reply(response)
}

// budgetLimits are the limits of servers with a budget.
func budgetLimits() Limits {
	limits := serverLimits()
	limits.AnyRequest, limits.PipelineDepth, limits.BodyBytes, limits.SendTimeout = true, 16, 1<<20, time.Minute
	return limits
}

// startWithBudget starts a server that relieves its budget when it is short.
func startWithBudget(t testing.TB, handler Handler, budget *bytebudget.Budget) (*Server, string) {
	t.Helper()
	server := New(handler, budgetLimits(), logging.Discard())
	server.SetBudget(budget)
	address := run(t, server)
	loop, err := server.Loop(address)
	require.NoError(t, err)
	budget.OnShort(func() {
		_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			server.Relieve()
			if budget.Short() {
				time.AfterFunc(time.Millisecond, budget.Rearm)
			} else {
				budget.Rearm()
			}
			return nil
		}))
	})
	return server, address
}

// requireNothingHeld requires that the budget comes to be empty, except for open connections.
func requireNothingHeld(t *testing.T, budget *bytebudget.Budget) {
	t.Helper()
	require.Eventually(t, func() bool {
		for kind, held := range budget.Held() {
			if held != 0 && kind != bytebudget.Connections.String() {
				return false
			}
		}
		return true
	}, settleTimeout, time.Millisecond, "held: %v", budget.Held())
}

// sendUpload sends the header of an upload and a part of its body.
func sendUpload(t *testing.T, address string, announced, sent int) net.Conn {
	t.Helper()
	conn := dial(t, address)
	send(t, conn, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", announced))
	send(t, conn, strings.Repeat("x", sent))
	return conn
}

// Guards against requests that a server with a budget reads otherwise than one without, and against
// bytes that stay counted.
func TestProperRequestsInRandomPiecesAreServedWithABudget(t *testing.T) {
	const connections, perConnection = 8, 60
	budget := bytebudget.New(0)
	server, address := startWithBudget(t, bodyMirror{}, budget)
	var callers sync.WaitGroup
	for caller := range uint64(connections) {
		callers.Go(func() {
			for i := range uint64(perConnection) {
				seed := 1000 + caller*perConnection + i
				if err := checkRandomRequests(address, seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
					return
				}
			}
		})
	}
	callers.Wait()
	require.Empty(t, server.Rejections())
	requireNothingHeld(t, budget)
}

// A body that arrives behind a request in progress must be served however large it is.
func TestLargeBodyBehindAnotherRequestIsServed(t *testing.T) {
	budget := bytebudget.New(0)
	_, address := startWithBudget(t, bodyMirror{}, budget)
	conn := dial(t, address)
	body := strings.Repeat("0123456789", 50<<10)
	go func() { _, _ = io.WriteString(conn, strings.Repeat(post(body), 3)+post("next")) }()
	reader := bufio.NewReader(conn)
	for _, want := range []string{body, body, body, "next"} {
		status, got := readResponse(t, reader)
		require.Equal(t, fasthttp.StatusOK, status)
		require.True(t, strings.HasSuffix(got, " "+want))
	}
	requireNothingHeld(t, budget)
}

// The upload that holds most and has stopped must give way, with the promise that it hasn't run, and
// the smaller ones must be served.
func TestLargestStoppedUploadGivesWayFirst(t *testing.T) {
	const size = 256 << 10
	budget := bytebudget.New(640 << 10)
	_, address := startWithBudget(t, bodyMirror{}, budget)
	largest := sendUpload(t, address, 2*size, 2*size-1)
	require.Eventually(t, func() bool { return budget.Held()["arriving"] >= 2*size-64<<10 }, settleTimeout, time.Millisecond)
	time.Sleep(stoppedTime + 100*time.Millisecond)
	small := sendUpload(t, address, size, size-1)
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(bufio.NewReader(largest)))
	require.Equal(t, fasthttp.StatusRequestTimeout, response.StatusCode())
	require.True(t, response.ConnectionClose())
	require.Contains(t, string(response.Body()), "not-run")
	send(t, small, "x")
	status, _ := readResponse(t, bufio.NewReader(small))
	require.Equal(t, fasthttp.StatusOK, status)
	requireNothingHeld(t, budget)
}

// Small requests must be served while the budget is short, and be refused as not run when it is
// exhausted.
func TestSmallRequestsAreRefusedLast(t *testing.T) {
	const limit = 1 << 20
	budget := bytebudget.New(limit)
	server, address := startWithBudget(t, bodyMirror{}, budget)
	budget.Add(bytebudget.Bodies, limit+limit/16)
	conn := dial(t, address)
	reader := bufio.NewReader(conn)
	send(t, conn, post("a"))
	status, _ := readResponse(t, reader)
	require.Equal(t, fasthttp.StatusOK, status)
	budget.Add(bytebudget.Bodies, limit/8)
	send(t, conn, post("b"))
	status, body := readResponse(t, reader)
	require.Equal(t, fasthttp.StatusServiceUnavailable, status)
	require.Contains(t, body, "not-run")
	requireClosed(t, reader)
	require.EqualValues(t, 1, server.Rejections()[reasonMemory])
}

// largeResponder responds with largeResponseBytes, and to GET only after a while.
type largeResponder struct{}

func (largeResponder) Serve(request *fasthttp.Request, exchange *Exchange) {
	response := &fasthttp.Response{}
	if request.Header.IsGet() {
		time.AfterFunc(300*time.Millisecond, func() { exchange.Reply(response) })
		return
	}
	response.SetBody(make([]byte, largeResponseBytes))
	exchange.Reply(response)
}

// Callers that don't read their responses must not hold memory that others need.
func TestUnreadResponseGivesWay(t *testing.T) {
	budget := bytebudget.New(largeResponseBytes / 4)
	server, address := startWithBudget(t, largeResponder{}, budget)
	conn := dial(t, address)
	send(t, conn, post("a"))
	require.Eventually(t, func() bool { return server.Closes()[closeSlowReader] == 1 }, settleTimeout, time.Millisecond)
	requireNothingHeld(t, budget)
}

// Input behind a request in progress must give way, and the request must be answered.
func TestPipelinedInputGivesWayAndTheRequestBeforeIsAnswered(t *testing.T) {
	budget := bytebudget.New(256 << 10)
	server, address := startWithBudget(t, largeResponder{}, budget)
	conn := dial(t, address)
	send(t, conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	send(t, conn, post(strings.Repeat("x", 512<<10)))
	reader := bufio.NewReader(conn)
	status, _ := readResponse(t, reader)
	require.Equal(t, fasthttp.StatusOK, status)
	requireClosed(t, reader)
	require.EqualValues(t, 1, server.Closes()[closePipelined])
	requireNothingHeld(t, budget)
}

// An upload whose caller disconnects, or whose chunks are invalid, must not stay counted.
func TestEndedUploadsAreNotCounted(t *testing.T) {
	budget := bytebudget.New(0)
	_, address := startWithBudget(t, bodyMirror{}, budget)
	conn := sendUpload(t, address, 1000, 999)
	require.Eventually(t, func() bool { return budget.Held()["arriving"] > 0 }, settleTimeout, time.Millisecond)
	require.NoError(t, conn.Close())
	requireNothingHeld(t, budget)
	conn = dial(t, address)
	send(t, conn, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel")
	time.Sleep(10 * time.Millisecond)
	send(t, conn, "loXX5\r\n")
	status, _ := readResponse(t, bufio.NewReader(conn))
	require.Equal(t, fasthttp.StatusBadRequest, status)
	requireNothingHeld(t, budget)
}
