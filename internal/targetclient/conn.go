package targetclient

import (
	"bytes"
	"errors"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// targetConn is one connection to a target. It is touched only on its event
// loop.
type targetConn struct {
	pool    *pool
	loop    gnet.EventLoop
	conn    gnet.Conn
	first   *exchange
	current *exchange
	need    int
	idleAt  time.Time
	// reading is set while the event loop is inside Traffic, which closes the
	// connection by its result.
	reading bool
	closing bool
}

// Opened takes the connection into use for the exchange that dialed it.
func (c *targetConn) Opened(conn gnet.Conn) gnet.Action {
	c.conn = conn
	if c.first.attempt.isCanceled() {
		return gnet.Close
	}
	first := c.first
	c.first = nil
	c.send(first)
	return gnet.None
}

// send writes the request.
func (c *targetConn) send(e *exchange) {
	buffer, err := serialize(e.request)
	if err != nil {
		c.release()
		e.finish(nil, &NotSentError{Cause: err})
		return
	}
	defer bytebufferpool.Put(buffer)
	c.current, e.conn = e, c
	c.need = 0
	c.pool.busy[c] = struct{}{}
	if _, err := c.conn.Write(buffer.B); err != nil {
		c.fail(err)
	}
}

// Traffic takes the bytes of an answer.
func (c *targetConn) Traffic(conn gnet.Conn) gnet.Action {
	c.reading = true
	c.read(conn)
	c.reading = false
	if c.closing {
		return gnet.Close
	}
	return gnet.None
}

func (c *targetConn) read(conn gnet.Conn) {
	if c.current == nil {
		c.close()
		return
	}
	if conn.InboundBuffered() < c.need {
		return
	}
	buffered, err := conn.Peek(-1)
	if err != nil {
		return
	}
	response, size, err := parse(buffered, c.current.request.Header.IsHead())
	switch {
	case err != nil:
		c.fail(err)
	case response == nil && len(buffered) > MaxAnswerBytes:
		c.fail(ErrTooLarge)
	case response == nil:
		c.need = size
	default:
		_, _ = conn.Discard(size)
		c.answered(response)
	}
}

func (c *targetConn) answered(response *fasthttp.Response) {
	e := c.current
	if err := checkAttempt(e.request, response); err != nil {
		c.fail(err)
		return
	}
	c.current = nil
	if response.ConnectionClose() {
		c.close()
	} else {
		c.release()
	}
	e.finish(response, nil)
}

func checkAttempt(request *fasthttp.Request, response *fasthttp.Response) error {
	want := request.Header.Peek(wire.HeaderAttemptID)
	have := response.Header.Peek(wire.HeaderAttemptID)
	if len(have) == 0 || bytes.Equal(want, have) {
		return nil
	}
	return &ForeignAnswerError{Want: string(want), Have: string(have)}
}

// release returns the connection to the pool.
func (c *targetConn) release() {
	if c.current != nil {
		invariant.Breached(invariant.AnswerMatchesAttempt, "connection to %s returned with an exchange", c.pool.address)
	}
	delete(c.pool.busy, c)
	c.idleAt = time.Now()
	c.pool.idle = append(c.pool.idle, c)
}

// fail ends the current exchange and closes the connection.
func (c *targetConn) fail(cause error) {
	e := c.current
	c.current = nil
	c.close()
	if e != nil {
		e.finish(nil, &LostError{Cause: cause})
	}
}

func (c *targetConn) close() {
	delete(c.pool.busy, c)
	if c.reading {
		c.closing = true
		return
	}
	_ = c.loop.Close(c.conn)
}

// Closed is called when the connection is closed, by whichever side.
func (c *targetConn) Closed(error) {
	c.pool.open.Add(-1)
	delete(c.pool.busy, c)
	for i, idle := range c.pool.idle {
		if idle == c {
			c.pool.idle = append(c.pool.idle[:i], c.pool.idle[i+1:]...)
			break
		}
	}
	if e := c.first; e != nil {
		c.first = nil
		e.finish(nil, &NotSentError{Cause: ErrCanceled})
	}
	if e := c.current; e != nil {
		c.current = nil
		e.finish(nil, &LostError{Cause: ErrClosed})
	}
}

// quiet reports whether the target has neither closed the connection nor sent
// anything on it since the last answer.
func (c *targetConn) quiet() bool {
	if c.conn.InboundBuffered() > 0 {
		return false
	}
	var probe [1]byte
	_, _, err := syscall.Recvfrom(c.conn.Fd(), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}
