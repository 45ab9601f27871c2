package targetclient

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/segments"
)

// Address identifies a target and its connection limit.
type Address struct {
	// HostPort is the target's "ip:port".
	HostPort string
	// MaxConnections is the maximum number of open connections to the target. 0 means no
	// limit.
	MaxConnections int
}

// Attempt is a handle to start and cancel one attempt.
type Attempt struct {
	// Address must be set before Client.Start is called.
	Address Address
	// Previous is the attempt before this one to send the same request, or nil. It must be set
	// before Client.Start is called. A connection carries a request only once, since a second
	// copy of the response to an earlier attempt can't be told from that to this one.
	Previous *Attempt
	// Body is the body of the request if the request has it not itself, or nil. It must be set
	// before Client.Start is called and be retained until the attempt ends.
	Body *segments.Body

	mu sync.Mutex
	// loop is nil until the attempt is started.
	loop     gnet.EventLoop
	exchange exchange
	canceled bool
	// sentOn is the connection that carried the attempt. It is accessed only on the event loop.
	sentOn *targetConn
}

// usedBefore reports whether an earlier attempt to send the same request used a connection.
func (a *Attempt) usedBefore(conn *targetConn) bool {
	for earlier := a.Previous; earlier != nil; earlier = earlier.Previous {
		if earlier.sentOn == conn {
			return true
		}
	}
	return false
}

// Cancel cancels the attempt and closes its connection. It may be called at any time, from
// any goroutine.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	a.canceled = true
	loop := a.loop
	a.mu.Unlock()
	if loop != nil {
		onLoop(loop, a.exchange.cancel)
	}
}

// CancelOnLoop is Cancel for code that runs on the attempt's event loop.
func (a *Attempt) CancelOnLoop() {
	a.mu.Lock()
	a.canceled = true
	started := a.loop != nil
	a.mu.Unlock()
	if started {
		a.exchange.cancel()
	}
}

// bind stores the event loop and the exchange of a started attempt.
func (a *Attempt) bind(loop gnet.EventLoop, e exchange) *exchange {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loop, a.exchange = loop, e
	return &a.exchange
}

func (a *Attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// exchange is a request and its response. It is accessed only on its event loop, except by
// the goroutine that dials its connection.
type exchange struct {
	attempt  *Attempt
	request  *fasthttp.Request
	deadline time.Time
	handler  Handler
	conn     *targetConn
	finished bool
}

// finish passes the result to the handler. Only the first call has an effect.
func (e *exchange) finish(response *fasthttp.Response, err error) {
	if e.finished {
		return
	}
	e.finished = true
	e.conn = nil
	e.handler.Ended(response, err)
}

// cancel fails the exchange. If its connection is still being dialed, the exchange ends
// once the connection is open.
func (e *exchange) cancel() {
	if e.conn != nil {
		e.conn.fail(ErrCanceled)
	}
}
