package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// dialTimeout bounds the opening of a connection to a peer.
const dialTimeout = time.Second

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
	key   []byte
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client without connections.
func NewClient(sharedKey []byte) *Client {
	return &Client{key: sharedKey, conns: map[string]*jsonrpc2.Conn{}}
}

// Call calls a method at address ("ip:port") and decodes its result. The error is
// a *CallError.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(address)
	if err != nil {
		return &CallError{Address: address, Method: method, Cause: err}
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		c.dropIfClosed(address, conn)
		return &CallError{Address: address, Method: method, Sent: true, Cause: err}
	}
	return nil
}

// Notify sends a message without waiting for a result. The error is a *CallError.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	conn, err := c.conn(address)
	if err != nil {
		return &CallError{Address: address, Method: method, Cause: err}
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		c.dropIfClosed(address, conn)
		return &CallError{Address: address, Method: method, Sent: true, Cause: err}
	}
	return nil
}

func (c *Client) conn(address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil && !disconnected(conn) {
		return conn, nil
	}
	return c.dial(address)
}

func disconnected(conn *jsonrpc2.Conn) bool {
	select {
	case <-conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (c *Client) dial(address string) (*jsonrpc2.Conn, error) {
	netConn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	frames, err := newStream(netConn, c.key, true)
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	conn := jsonrpc2.NewConn(context.Background(), frames, refuse{}, jsonrpc2.SetLogger(discard{}))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil && !disconnected(other) {
		_ = conn.Close()
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) dropIfClosed(address string, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn && disconnected(conn) {
		delete(c.conns, address)
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[string]*jsonrpc2.Conn{}
}

// refuse ignores requests that arrive on a connection this daemon dialed.
type refuse struct{}

// Handle implements jsonrpc2.Handler.
func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
