// Package targetclient sends attempts to targets over pooled connections that run on the
// event loops of the caller server.
//
// An attempt runs on the event loop of its caller's connection, so that a call needs no
// other thread. A connection carries one attempt at a time and is closed when its attempt
// is canceled or fails, so that a late response can't be taken for that of another call.
package targetclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/netdial"
	"github.com/poplarwheel/poplarwheel/internal/segments"
)

const (
	// dialTimeout is the maximum time to open a connection.
	dialTimeout = 1 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept under DefaultRules.
	defaultIdleTimeout = 30 * time.Second
)

// Handler receives the result of an attempt.
type Handler interface {
	// Ended is called once, on the attempt's event loop. The handler owns the response.
	// The error is a *NotSentError or a *LostError.
	Ended(response *fasthttp.Response, err error)
}

// HandlerFunc is an adapter that makes a function a Handler.
type HandlerFunc func(response *fasthttp.Response, err error)

// Ended implements Handler.
func (f HandlerFunc) Ended(response *fasthttp.Response, err error) { f(response, err) }

// Client holds the connections to all targets. Connections are pooled per event loop, and
// Start uses and modifies only the pools of its loop, except to keep to connection limits.
type Client struct {
	dialFunc netdial.Func
	rules    Rules
	loops    sync.Map // gnet.EventLoop -> *loopPools
	open     sync.Map // target address -> *atomic.Int64, the open connections
	// openTotal counts the open connections to all targets.
	openTotal atomic.Int64
	memory    responseMemory
}

// New returns a client with the default rules.
func New() *Client { return NewWithRules(DefaultRules()) }

// NewWithRules returns a client that applies the given rules.
func NewWithRules(rules Rules) *Client {
	return &Client{dialFunc: netdial.Direct, rules: rules, memory: responseMemory{limit: rules.MaxBufferedBytes, budget: rules.Budget}}
}

// BufferedBytes returns the bytes of incomplete responses on all connections.
func (c *Client) BufferedBytes() int64 { return c.memory.held.Load() }

// SetDial replaces the function that opens connections, which must return connections of
// the net package. It must be called before Start.
func (c *Client) SetDial(dialFunc netdial.Func) { c.dialFunc = dialFunc }

// poolsOf returns the pools of an event loop. It creates them on first use.
func (c *Client) poolsOf(loop gnet.EventLoop) *loopPools {
	if found, ok := c.loops.Load(loop); ok {
		return found.(*loopPools)
	}
	created, _ := c.loops.LoadOrStore(loop, &loopPools{loop: loop, pools: map[string]*pool{}})
	return created.(*loopPools)
}

// pool returns an event loop's pool for a target. It creates the pool on first use.
func (c *Client) pool(loop gnet.EventLoop, address string) *pool {
	pools := c.poolsOf(loop).pools
	p := pools[address]
	if p == nil {
		open, _ := c.open.LoadOrStore(address, &atomic.Int64{})
		p = &pool{address: address, rules: &c.rules, open: open.(*atomic.Int64), openTotal: &c.openTotal, busy: map[*targetConn]struct{}{}}
		pools[address] = p
	}
	return p
}

// Start sends a request and passes the whole response to handler. An attempt that has no
// response by deadline fails at the next Sweep. Start must be called on loop and once per
// attempt. It uses request until handler is called. An attempt that is already canceled
// ends at once and is not sent.
func (c *Client) Start(loop gnet.EventLoop, attempt *Attempt, deadline time.Time, request *fasthttp.Request, handler Handler) {
	e := attempt.bind(loop, exchange{attempt: attempt, request: request, deadline: deadline, handler: handler})
	if attempt.isCanceled() {
		e.finish(nil, &NotSentError{Cause: ErrCanceled})
		return
	}
	p := c.pool(loop, attempt.Address.HostPort)
	if conn := p.get(attempt); conn != nil {
		conn.send(e)
		return
	}
	if !c.makeRoom(loop) {
		e.finish(nil, &NotSentError{Cause: &ConnectionLimitError{Address: p.address, Limit: c.rules.MaxConnections}})
		return
	}
	if p.reserve(attempt.Address.MaxConnections) {
		go c.dial(loop, p, e)
		return
	}
	go c.dialAfterEvict(loop, p, e)
}

// makeRoom reports whether another connection may be opened. At the limit over all targets
// it closes the connection of this event loop that has been idle longest.
func (c *Client) makeRoom(loop gnet.EventLoop) bool {
	limit := c.rules.MaxConnections
	return limit <= 0 || c.openTotal.Load() < int64(limit) || c.poolsOf(loop).closeLongestIdle()
}

// dialAfterEvict dials for an exchange after it has closed an idle connection to the
// target on another event loop. It fails the exchange if there is none.
func (c *Client) dialAfterEvict(loop gnet.EventLoop, p *pool, e *exchange) {
	limit := e.attempt.Address.MaxConnections
	if c.evict(loop, p.address) && p.reserve(limit) {
		c.dial(loop, p, e)
		return
	}
	err := &ConnectionLimitError{Address: p.address, Limit: limit}
	onLoop(loop, func() { e.finish(nil, &NotSentError{Cause: err}) })
}

// evict closes an idle connection to a target on another event loop. It returns false if
// there is none.
func (c *Client) evict(loop gnet.EventLoop, address string) bool {
	evicted := false
	c.loops.Range(func(_, value any) bool {
		pools := value.(*loopPools)
		if pools.loop == loop {
			return true
		}
		result := make(chan bool, 1)
		onLoop(pools.loop, func() { result <- pools.closeIdle(address) })
		select {
		case evicted = <-result:
		case <-time.After(dialTimeout):
		}
		return !evicted
	})
	return evicted
}

// dial opens a connection for an exchange and enrolls it in the event loop.
func (c *Client) dial(loop gnet.EventLoop, p *pool, e *exchange) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	netConn, err := c.dialFunc(ctx, p.address)
	if err != nil {
		p.unreserve()
		onLoop(loop, func() { e.finish(nil, &NotSentError{Cause: err}) })
		return
	}
	conn := &targetConn{pool: p, loop: loop, dialedFor: e}
	conn.receiver = receiver{memory: &c.memory, allowCloseDelimited: c.rules.AllowCloseDelimited}
	registered, err := loop.Enroll(gnet.NewContext(context.Background(), conn), netConn)
	if err == nil {
		err = (<-registered).Err
	}
	if err != nil {
		_ = netConn.Close()
		p.unreserve()
		onLoop(loop, func() { e.finish(nil, &NotSentError{Cause: err}) })
	}
}

// onLoop schedules f on an event loop. After the loop has shut down, f never runs.
func onLoop(loop gnet.EventLoop, f func()) {
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
}

// Sweep fails exchanges that are past their deadlines and closes connections that have been
// idle too long, on every event loop.
func (c *Client) Sweep(now time.Time) {
	c.loops.Range(func(_, value any) bool {
		pools := value.(*loopPools)
		onLoop(pools.loop, func() { pools.sweep(now) })
		return true
	})
}

// Close closes all idle connections. Attempts in flight continue.
func (c *Client) Close() {
	c.loops.Range(func(_, value any) bool {
		pools := value.(*loopPools)
		onLoop(pools.loop, pools.closeAllIdle)
		return true
	})
}

// serialize returns the bytes of the request in a pooled buffer, which the caller must
// return to the pool. A body of its own is not part of it.
func serialize(request *fasthttp.Request, body *segments.Body) (*bytebufferpool.ByteBuffer, error) {
	buffer := bytebufferpool.Get()
	var err error
	if body != nil {
		err = writeHeader(buffer, &request.Header, body)
	} else {
		_, err = request.WriteTo(buffer)
	}
	if err != nil {
		bytebufferpool.Put(buffer)
		return nil, err
	}
	return buffer, nil
}
