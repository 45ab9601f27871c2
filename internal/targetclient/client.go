// Package targetclient sends attempts to targets over pooled connections that
// live on the event loops of the caller server.
//
// An attempt runs on the event loop of its caller's connection, so a call needs
// no other thread. A connection carries one attempt at a time and is closed when
// an attempt is canceled or fails, so a late answer can't reach another call.
package targetclient

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"
)

const (
	// MaxAnswerBytes bounds an answer, header included.
	MaxAnswerBytes = 8 << 20
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 1 * time.Second
	// idleLimit is how long an idle connection is kept.
	idleLimit = 30 * time.Second
)

// Done takes the end of an attempt, on the attempt's event loop. Errors are
// *NotSentError and *LostError.
type Done func(response *fasthttp.Response, err error)

// Client keeps the connections to all targets. Start and Sweep touch only what
// belongs to the given event loop.
type Client struct {
	loops sync.Map // gnet.EventLoop -> *loopPools
}

// New returns a client without connections.
func New() *Client { return &Client{} }

// loopPools holds the connections of one event loop. It is touched only on that
// loop.
type loopPools struct {
	loop  gnet.EventLoop
	pools map[string]*pool
}

// pool holds the connections of one event loop to one target.
type pool struct {
	address string
	idle    []*targetConn
	busy    map[*targetConn]struct{}
}

func (c *Client) poolsOf(loop gnet.EventLoop) *loopPools {
	if found, ok := c.loops.Load(loop); ok {
		return found.(*loopPools)
	}
	created, _ := c.loops.LoadOrStore(loop, &loopPools{loop: loop, pools: map[string]*pool{}})
	return created.(*loopPools)
}

func (l *loopPools) pool(address string) *pool {
	p := l.pools[address]
	if p == nil {
		p = &pool{address: address, busy: map[*targetConn]struct{}{}}
		l.pools[address] = p
	}
	return p
}

// Start sends a request and calls done once with the whole answer. The attempt
// is lost at deadline, give or take a sweep. Start must be called on loop, and
// keeps request until done is called.
func (c *Client) Start(loop gnet.EventLoop, attempt *Attempt, address string, deadline time.Time, request *fasthttp.Request, done Done) {
	e := &exchange{attempt: attempt, request: request, deadline: deadline, done: done}
	attempt.bind(loop, e)
	p := c.poolsOf(loop).pool(address)
	if conn := p.take(); conn != nil {
		conn.send(e)
		return
	}
	go dial(loop, p, e)
}

// take returns an open idle connection, most recently used first, or nil.
func (p *pool) take() *targetConn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		conn := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if conn.quiet() {
			return conn
		}
		conn.close()
	}
	return nil
}

// dial opens a connection for an exchange and hands it to the event loop.
func dial(loop gnet.EventLoop, p *pool, e *exchange) {
	netConn, err := net.DialTimeout("tcp", p.address, dialTimeout)
	if err != nil {
		onLoop(loop, func() { e.finish(nil, &NotSentError{Cause: err}) })
		return
	}
	conn := &targetConn{pool: p, loop: loop, first: e}
	registered, err := loop.Enroll(gnet.NewContext(context.Background(), conn), netConn)
	if err == nil {
		err = (<-registered).Err
	}
	if err != nil {
		_ = netConn.Close()
		onLoop(loop, func() { e.finish(nil, &NotSentError{Cause: err}) })
	}
}

// onLoop runs f on an event loop. Once the loop is shut down nothing runs.
func onLoop(loop gnet.EventLoop, f func()) {
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

// Sweep ends overdue exchanges and closes idle connections on every event loop.
func (c *Client) Sweep(now time.Time) {
	c.loops.Range(func(_, value any) bool {
		pools := value.(*loopPools)
		onLoop(pools.loop, func() { pools.sweep(now) })
		return true
	})
}

func (l *loopPools) sweep(now time.Time) {
	for address, p := range l.pools {
		p.sweepIdle(now)
		p.sweepBusy(now)
		if len(p.idle) == 0 && len(p.busy) == 0 {
			delete(l.pools, address)
		}
	}
}

// sweepIdle closes connections that have been idle too long, oldest first.
func (p *pool) sweepIdle(now time.Time) {
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleAt) > idleLimit {
		conn := p.idle[0]
		p.idle = p.idle[1:]
		conn.close()
	}
}

func (p *pool) sweepBusy(now time.Time) {
	for conn := range p.busy {
		if conn.current != nil && now.After(conn.current.deadline) {
			conn.fail(ErrTimeout)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.Sweep(time.Now().Add(2 * idleLimit))
}

// serialize returns the request's bytes. The caller returns the buffer to the
// pool.
func serialize(request *fasthttp.Request) (*bytebufferpool.ByteBuffer, error) {
	buffer := bytebufferpool.Get()
	if _, err := request.WriteTo(buffer); err != nil {
		bytebufferpool.Put(buffer)
		return nil, err
	}
	return buffer, nil
}
