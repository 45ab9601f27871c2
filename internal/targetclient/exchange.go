package targetclient

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// Address is where to send an attempt.
type Address struct {
	// HostPort is the target's "ip:port".
	HostPort string
	// MaxConnections bounds the open connections to the target; 0 is no bound.
	MaxConnections int
}

// Attempt is the handle of one attempt.
type Attempt struct {
	// Address is set before the handle is used.
	Address Address

	mu       sync.Mutex
	loop     gnet.EventLoop
	exchange *exchange
	canceled bool
}

// Cancel closes the attempt's connection. It may be called at any time, from any
// goroutine.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	a.canceled = true
	loop, e := a.loop, a.exchange
	a.mu.Unlock()
	if e != nil {
		onLoop(loop, e.cancel)
	}
}

func (a *Attempt) bind(loop gnet.EventLoop, e *exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loop, a.exchange = loop, e
}

func (a *Attempt) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceled
}

// exchange is a request and its answer. It is touched only on its event loop,
// but for the dial of its connection.
type exchange struct {
	attempt  *Attempt
	request  *fasthttp.Request
	deadline time.Time
	done     Done
	conn     *targetConn
	finished bool
}

// finish reports the end once.
func (e *exchange) finish(response *fasthttp.Response, err error) {
	if e.finished {
		return
	}
	e.finished = true
	e.conn = nil
	e.done(response, err)
}

// cancel ends the exchange. One that waits for its connection ends when that is
// open.
func (e *exchange) cancel() {
	if e.conn != nil {
		e.conn.fail(ErrCanceled)
	}
}
