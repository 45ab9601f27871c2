package targetclient

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// maxDiscardedResponses is the maximum number of responses to other requests that are discarded
// during an exchange.
const maxDiscardedResponses = 3

// targetConn is a connection to a target. It implements callerserver.EnrolledConn and is
// accessed only on its event loop.
type targetConn struct {
	pool *pool
	loop gnet.EventLoop
	conn gnet.Conn
	// dialedFor is the exchange that the connection was dialed for, until it is opened.
	dialedFor *exchange
	// current is the exchange in progress, or nil.
	current *exchange
	// receiver assembles the response of the current exchange.
	receiver receiver
	// sender sends the body of the current exchange.
	sender sender
	// queued are the bytes of requests that the target has yet to receive, as they count in the
	// budget.
	queued int
	// exchanges is the number of exchanges that were sent on the connection.
	exchanges int
	// discarded is the number of responses to other requests during the current exchange.
	discarded int
	// idleSince is when the connection was last returned to its pool.
	idleSince time.Time
	// idleTimeout is how long the connection may be idle and still be reused.
	idleTimeout time.Duration
	// doubtful is set once a response was received that is to another request or doesn't tell
	// to which it is. The connection is then not reused, since another copy of that response
	// may follow.
	doubtful bool
	// inTraffic is set during HandleTraffic, which closes the connection by its return value.
	inTraffic bool
	// closing is set if HandleTraffic has to close the connection.
	closing bool
}

// HandleOpen sends the request that the connection was dialed for.
func (c *targetConn) HandleOpen(conn gnet.Conn) gnet.Action {
	c.conn = conn
	canceled := c.dialedFor.attempt.isCanceled()
	if canceled && !c.rules().PoolUnused {
		return gnet.Close
	}
	dialedFor := c.dialedFor
	c.dialedFor = nil
	if canceled {
		c.release()
		dialedFor.finish(nil, &NotSentError{Cause: ErrCanceled})
		return gnet.None
	}
	c.send(dialedFor)
	return gnet.None
}

// send writes the request of an exchange.
func (c *targetConn) send(e *exchange) {
	buffer, err := serialize(e.request, e.attempt.Body)
	if err != nil {
		c.release()
		e.finish(nil, &NotSentError{Cause: err})
		return
	}
	defer bytebufferpool.Put(buffer)
	c.current, e.conn, e.attempt.sentOn = e, c, c
	c.receiver.reset(e.request.Header.IsHead())
	c.exchanges++
	c.discarded = 0
	c.pool.busy[c] = struct{}{}
	if _, err := c.conn.Write(buffer.B); err != nil {
		c.fail(err)
		return
	}
	if e.attempt.Body != nil {
		c.sender = newSender(e)
		c.sendBody(e)
	}
	c.trackQueued()
}

// HandleTraffic reads a response from the connection.
func (c *targetConn) HandleTraffic(conn gnet.Conn) gnet.Action {
	c.inTraffic = true
	c.read(conn)
	c.inTraffic = false
	if c.closing {
		return gnet.Close
	}
	return gnet.None
}

// read receives responses until the one to the current request is complete. Bytes that arrive
// after the deadline end the exchange, however many follow.
func (c *targetConn) read(conn gnet.Conn) {
	if c.current == nil {
		c.close()
		return
	}
	if time.Now().After(c.current.deadline) {
		c.fail(ErrTimeout)
		return
	}
	for c.current != nil && conn.InboundBuffered() > 0 {
		piece, err := conn.Peek(-1)
		if err != nil {
			return
		}
		response, rest, err := c.receiver.receive(piece)
		if err != nil {
			c.fail(err)
			return
		}
		_, _ = conn.Discard(len(piece) - rest)
		if response == nil {
			return
		}
		c.receiver.reset(c.current.request.Header.IsHead())
		c.acceptResponse(response)
	}
}

// acceptResponse handles a complete response. A response to another request fails the
// exchange unless Rules.DiscardMismatched is set, in which case it is discarded.
func (c *targetConn) acceptResponse(response *fasthttp.Response) {
	err := c.match(response)
	if err == nil {
		c.complete(response)
		return
	}
	fasthttp.ReleaseResponse(response)
	c.discarded++
	var mismatch *MismatchError
	if !c.rules().DiscardMismatched || !errors.As(err, &mismatch) || c.discarded > maxDiscardedResponses {
		c.fail(err)
		return
	}
	c.doubtful = true
}

// match returns nil if response is the response to the current request. One that doesn't say so
// is believed only as the first response on a connection, unless Rules.TrustUnidentified is set:
// later it may be a second copy of the response to an earlier request.
func (c *targetConn) match(response *fasthttp.Response) error {
	err := c.rules().Match(c.current.request, response)
	var unidentified *UnidentifiedError
	if !errors.As(err, &unidentified) || c.doubtful {
		return err
	}
	if c.exchanges > 1 && !c.rules().TrustUnidentified {
		return err
	}
	c.doubtful = true
	return nil
}

// rules returns the client's rules.
func (c *targetConn) rules() *Rules { return c.pool.rules }

// complete ends the current exchange with its response and pools the connection if it can
// be reused.
func (c *targetConn) complete(response *fasthttp.Response) {
	e := c.current
	c.current = nil
	unsent := c.sender.pending() || c.conn.OutboundBuffered() > 0
	c.sender = sender{}
	if c.doubtful || response.ConnectionClose() || unsent {
		c.close()
	} else {
		c.idleTimeout = c.rules().idleTimeout(response)
		c.release()
	}
	e.finish(response, nil)
}

// closeDelimitedResponse returns the response that ended with its connection, or nil if it
// may be truncated.
func (c *targetConn) closeDelimitedResponse(cause error) *fasthttp.Response {
	if !errors.Is(cause, io.EOF) || !c.receiver.closeDelimited || !c.endedByTarget() {
		return nil
	}
	response := c.receiver.finishAtClose()
	if response == nil {
		return nil
	}
	if c.match(response) != nil {
		fasthttp.ReleaseResponse(response)
		return nil
	}
	return response
}

// release returns the connection to the pool.
func (c *targetConn) release() {
	if c.current != nil {
		invariant.Breached(invariant.AnswerMatchesAttempt, "connection to %s returned with an exchange", c.pool.address)
	}
	delete(c.pool.busy, c)
	c.trackQueued()
	if c.idleTimeout == 0 {
		c.idleTimeout = c.rules().IdleTimeout
	}
	c.idleSince = time.Now()
	c.pool.idle = append(c.pool.idle, c)
}

// fail ends the current exchange with a *LostError and closes the connection.
func (c *targetConn) fail(cause error) {
	e := c.current
	c.current = nil
	c.sender = sender{}
	c.receiver.reset(false)
	c.close()
	if e != nil {
		e.finish(nil, &LostError{Cause: cause})
	}
}

// close closes the connection, or lets HandleTraffic do so if that is running.
func (c *targetConn) close() {
	delete(c.pool.busy, c)
	if c.inTraffic {
		c.closing = true
		return
	}
	_ = c.loop.Close(c.conn)
}

// HandleClose is called when either side has closed the connection.
func (c *targetConn) HandleClose(cause error) {
	c.pool.unreserve()
	c.sender = sender{}
	c.setQueued(0)
	delete(c.pool.busy, c)
	for i, idle := range c.pool.idle {
		if idle == c {
			c.pool.idle = append(c.pool.idle[:i], c.pool.idle[i+1:]...)
			break
		}
	}
	if e := c.dialedFor; e != nil {
		c.dialedFor = nil
		e.finish(nil, &NotSentError{Cause: ErrCanceled})
	}
	if e := c.current; e != nil {
		response := c.closeDelimitedResponse(cause)
		c.current = nil
		c.receiver.reset(false)
		if response != nil {
			e.finish(response, nil)
			return
		}
		e.finish(nil, &LostError{Cause: ErrClosed})
	}
}

// reusable reports whether the connection can be used again: it has not been idle too long,
// and the target has neither closed it nor sent anything since the last response.
func (c *targetConn) reusable() bool {
	if c.conn.InboundBuffered() > 0 || time.Since(c.idleSince) > c.idleTimeout {
		return false
	}
	_, err := c.peekSocket()
	return errors.Is(err, syscall.EAGAIN)
}

// endedByTarget reports whether the target has closed its side of the connection in order and all
// that it sent was read. The event loop also reports an end when it has seen an error of the
// connection that it hasn't read, such as a reset, so the socket decides.
func (c *targetConn) endedByTarget() bool {
	n, err := c.peekSocket()
	return n == 0 && err == nil
}

// peekSocket tells what the next read of the socket returns: a size above 0 if there are unread
// bytes, 0 without an error if the peer has closed its side, EAGAIN if neither.
func (c *targetConn) peekSocket() (int, error) {
	var probe [1]byte
	n, _, err := syscall.Recvfrom(c.conn.Fd(), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
