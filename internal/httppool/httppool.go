// Package httppool holds the connections of a client to one HTTP server, on some of which calls wait
// for long. Connections that may have fallen silent are closed, so that later calls don't use them.
package httppool

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/netdial"
	"github.com/poplarwheel/poplarwheel/internal/responsehead"
)

const (
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 25 * time.Second
	// dialTimeout is the time limit for opening a connection.
	dialTimeout = time.Second
	// bufferBytes is the size of the buffers of a connection.
	bufferBytes = 4 << 10
)

// Group holds the connections to a server: a pool for short calls, and one for the long calls of
// each name, so that these can be ended alone. It is safe for concurrent use.
type Group struct {
	address string
	short   *pool

	mu   sync.Mutex
	long map[string]*pool
}

// New returns a group without connections to the server at address ("ip:port").
func New(address string) *Group {
	return &Group{address: address, short: newPool(address), long: map[string]*pool{}}
}

// Do makes a call. The name of a short call is empty. If the call times out, idle connections are
// closed, since they may have fallen silent with its own.
func (g *Group) Do(name string, request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	err := g.pool(name).client.DoTimeout(request, response, timeout)
	if errors.Is(err, fasthttp.ErrTimeout) {
		g.short.client.CloseIdleConnections()
	}
	return err
}

// CloseAll closes all connections, which ends the calls on them.
func (g *Group) CloseAll() {
	g.short.closeAll()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.long {
		p.closeAll()
	}
}

// Abort ends the long calls of a name and closes idle connections, so that later calls use new ones.
func (g *Group) Abort(name string) {
	g.short.client.CloseIdleConnections()
	g.pool(name).closeAll()
}

// pool returns the pool for the calls of a name and creates it if necessary.
func (g *Group) pool(name string) *pool {
	if name == "" {
		return g.short
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.long[name] == nil {
		g.long[name] = newPool(g.address)
	}
	return g.long[name]
}

// pool is a client whose connections can be closed.
type pool struct {
	client  *fasthttp.HostClient
	tracker netdial.Tracker
}

func newPool(address string) *pool {
	p := &pool{}
	p.client = &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      p.dial,
		MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:       idleTimeout,
		ReadBufferSize:            bufferBytes,
		WriteBufferSize:           bufferBytes,
	}
	return p
}

// dial opens a connection to the server.
func (p *pool) dial(address string) (net.Conn, error) {
	conn, err := p.tracker.Dial(address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return responsehead.NewConn(conn), nil
}

// closeAll closes all connections, which ends the calls on them.
func (p *pool) closeAll() {
	p.tracker.CloseAll()
	p.client.CloseIdleConnections()
}
