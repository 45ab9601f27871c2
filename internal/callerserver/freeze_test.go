package callerserver

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// blockingHandler blocks the event loop during requests for /block and never responds to others.
type blockingHandler struct {
	blocked  atomic.Bool
	proceed  chan struct{}
	received atomic.Int64
}

func (h *blockingHandler) Serve(request *fasthttp.Request, exchange *Exchange) {
	if string(request.URI().Path()) == "/block" {
		h.blocked.Store(true)
		<-h.proceed
		exchange.ReplyOnLoop(&fasthttp.Response{})
		return
	}
	h.received.Add(1)
	time.AfterFunc(100*time.Millisecond, func() { exchange.Reply(&fasthttp.Response{}) })
}

func TestRequestThatArrivedBeforeTheIdleTimeoutIsNotCutOffAfterAFreeze(t *testing.T) {
	limits := serverLimits()
	limits.IdleTimeout = 2 * time.Second
	handler := &blockingHandler{proceed: make(chan struct{})}
	_, address := startHandler(t, handler, limits)
	var kept [8]net.Conn
	for i := range kept {
		kept[i] = dial(t, address)
	}
	time.Sleep(100 * time.Millisecond)
	blocker := dial(t, address)
	send(t, blocker, "GET /block HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, handler.blocked.Load, settleTimeout, time.Millisecond)
	for _, conn := range kept {
		send(t, conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	time.Sleep(limits.IdleTimeout + 2*sweepInterval)
	close(handler.proceed)
	for _, conn := range kept {
		buffer := make([]byte, 64)
		n, err := conn.Read(buffer)
		require.NoError(t, err)
		require.Contains(t, string(buffer[:n]), "HTTP/1.1 200 OK")
	}
	require.EqualValues(t, len(kept), handler.received.Load())
}
