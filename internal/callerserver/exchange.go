package callerserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/segments"
)

// EnrolledConn is the gnet context of a connection that another package has enrolled in the
// server's event loops. The server passes the connection's events to it, on its event loop.
type EnrolledConn interface {
	HandleOpen(conn gnet.Conn) gnet.Action
	HandleTraffic(conn gnet.Conn) gnet.Action
	HandleClose(err error)
}

// Exchange is a request and its response.
type Exchange struct {
	server  *Server
	conn    gnet.Conn
	loop    gnet.EventLoop
	state   *connState
	replied atomic.Bool
	// closeAfter is set if the connection is closed after the response.
	closeAfter atomic.Bool
	// concurrent is set if other requests of the connection may run at the same time.
	concurrent bool
	// dropped is set if the connection ends before the response can be sent.
	dropped bool
	// disconnected is set once the caller has disconnected.
	disconnected bool
	// charged are the bytes of the exchange that count in the server's budget.
	charged int32
	// body is the body of the request if it isn't part of it, or nil.
	body *segments.Body
	// serialized holds the response until the responses before it are sent.
	serialized *bytebufferpool.ByteBuffer

	observer Observer
	started  time.Time

	// mu protects watcher and disconnected.
	mu      sync.Mutex
	watcher CallerWatcher
}

// CallerWatcher is notified when a caller closes its connection.
type CallerWatcher interface {
	// CallerDisconnected is called at most once, if the caller closes the connection before
	// the response.
	CallerDisconnected()
}

// WatchCaller sets the watcher. If the caller has already disconnected, the watcher is
// notified at once.
func (e *Exchange) WatchCaller(watcher CallerWatcher) {
	e.mu.Lock()
	disconnected := e.disconnected
	e.watcher = watcher
	e.mu.Unlock()
	if disconnected {
		watcher.CallerDisconnected()
	}
}

// LocalAddr returns the local address at which the request arrived.
func (e *Exchange) LocalAddr() net.Addr { return e.conn.LocalAddr() }

// Body returns the body of the request if the request has it not itself, as it is the case for large
// bodies of a server with a budget, or nil. It is dropped at the end of the exchange unless the
// handler has retained it.
func (e *Exchange) Body() *segments.Body { return e.body }

// CallerIP returns the IP of the caller.
func (e *Exchange) CallerIP() string { return e.state.callerIP }

// callerDisconnected notifies the watcher unless the response was already given.
func (e *Exchange) callerDisconnected() {
	e.mu.Lock()
	watcher := e.watcher
	e.disconnected = true
	e.mu.Unlock()
	if watcher != nil && !e.replied.Load() {
		watcher.CallerDisconnected()
	}
}

// Loop returns the event loop of the caller's connection.
func (e *Exchange) Loop() gnet.EventLoop { return e.loop }

// Reply sends the response. Only the first call has an effect. It may be called from any
// goroutine.
func (e *Exchange) Reply(response *fasthttp.Response) {
	if e.replied.Swap(true) {
		return
	}
	buffer := e.serialize(response)
	err := e.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		e.server.deliver(e, buffer)
		return nil
	}))
	if err != nil {
		e.server.inFlight.Add(-1)
	}
}

// ReplyOnLoop is Reply for code that runs on the event loop of Loop. It saves a wake-up
// of the event loop.
func (e *Exchange) ReplyOnLoop(response *fasthttp.Response) {
	if e.replied.Swap(true) {
		return
	}
	e.server.deliver(e, e.serialize(response))
}

// serialize returns the bytes of the response in a pooled buffer.
func (e *Exchange) serialize(response *fasthttp.Response) *bytebufferpool.ByteBuffer {
	e.observe(response)
	if e.closesConnection() {
		e.closeAfter.Store(true)
		response.SetConnectionClose()
	}
	buffer := bytebufferpool.Get()
	_, _ = response.WriteTo(buffer)
	return buffer
}

// closesConnection reports whether the connection is closed after the response. While the
// server drains, this is so for a response behind which no exchange is queued.
func (e *Exchange) closesConnection() bool {
	return e.closeAfter.Load() || e.server.draining.Load() && !e.state.pipelined.Load()
}
