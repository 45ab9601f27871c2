package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/poplarwheel/poplarwheel/internal/netdial"
)

const (
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = time.Second
	// silenceLimit is how long a connection may bring nothing before a call that
	// times out closes it.
	silenceLimit = 3 * time.Second
)

// CallError reports a call without a result. The peer may have carried it out
// unless Sent is false.
type CallError struct {
	Address string
	Method  string
	Sent    bool
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer: %s at %s: %v", e.Method, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Client calls peers over one connection each. It is safe for concurrent use.
type Client struct {
	key     []byte
	open    netdial.Func
	traffic Traffic
	mu      sync.Mutex
	conns   map[string]*clientConn
}

type clientConn struct {
	rpc    *jsonrpc2.Conn
	frames *stream
}

// NewClient returns a client without connections.
func NewClient(sharedKey []byte) *Client {
	return &Client{key: sharedKey, open: openKeptAlive, conns: map[string]*clientConn{}}
}

// SetDial replaces the way that connections are opened. It must be called before
// the first call.
func (c *Client) SetDial(open netdial.Func) { c.open = open }

func openKeptAlive(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}

// Traffic returns what was sent and received since the start.
func (c *Client) Traffic() TrafficCounts { return c.traffic.Counts() }

// Call calls a method at address ("ip:port") and decodes its result. The error is
// a *CallError.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return &CallError{Address: address, Method: method, Cause: err}
	}
	if err := conn.rpc.Call(ctx, method, params, result); err != nil {
		c.dropUnusable(ctx, address, conn)
		return &CallError{Address: address, Method: method, Sent: true, Cause: err}
	}
	return nil
}

// Notify sends a message without waiting for a result. The error is a *CallError.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return &CallError{Address: address, Method: method, Cause: err}
	}
	if err := conn.rpc.Notify(ctx, method, params); err != nil {
		c.dropUnusable(ctx, address, conn)
		return &CallError{Address: address, Method: method, Sent: true, Cause: err}
	}
	return nil
}

func (c *Client) conn(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil && !conn.disconnected() {
		return conn, nil
	}
	return c.dial(ctx, address)
}

func (c *clientConn) disconnected() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (c *Client) dial(ctx context.Context, address string) (*clientConn, error) {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netConn, err := c.open(dialing, address)
	if err != nil {
		return nil, err
	}
	frames, err := dialStream(netConn, c.key, handshakeDeadline(ctx), &c.traffic)
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	frames.lastRead.Set(time.Now())
	rpc := jsonrpc2.NewConn(context.Background(), frames, refuse{}, jsonrpc2.SetLogger(discard{}))
	return c.keep(address, &clientConn{rpc: rpc, frames: frames}), nil
}

func handshakeDeadline(ctx context.Context) time.Time {
	limit := time.Now().Add(handshakeTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(limit) {
		return deadline
	}
	return limit
}

// keep stores a new connection, unless another one was opened meanwhile.
func (c *Client) keep(address string, conn *clientConn) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil && !other.disconnected() {
		_ = conn.rpc.Close()
		return other
	}
	for other, old := range c.conns {
		if old.disconnected() {
			delete(c.conns, other)
		}
	}
	c.conns[address] = conn
	return conn
}

// dropUnusable forgets a connection that is closed, and closes one that has been
// silent while a call timed out.
func (c *Client) dropUnusable(ctx context.Context, address string, conn *clientConn) {
	if ctx.Err() != nil && conn.frames.silentFor(silenceLimit, time.Now()) {
		_ = conn.rpc.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn && conn.disconnected() {
		delete(c.conns, address)
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.rpc.Close()
	}
	c.conns = map[string]*clientConn{}
}

// refuse ignores requests that arrive on a connection this daemon dialed.
type refuse struct{}

// Handle implements jsonrpc2.Handler.
func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
