// Package targetclient sends attempts to targets over pooled connections.
//
// A connection carries one attempt at a time and is closed when an attempt is
// canceled or fails, so a late answer can't reach another call.
package targetclient

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Client keeps the connections to all targets. It is safe for concurrent use.
type Client struct {
	mu    sync.RWMutex
	pools map[string]*pool
}

// New returns a client without connections.
func New() *Client { return &Client{pools: map[string]*pool{}} }

// Do sends a request and reads the whole answer until deadline. The caller
// releases the response. Errors are *NotSentError and *LostError.
func (c *Client) Do(attempt *Attempt, deadline time.Time, request *fasthttp.Request) (*fasthttp.Response, error) {
	pool := c.pool(attempt.Address.HostPort)
	conn, err := connect(attempt, pool, deadline)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	response, err := exchange(conn, deadline, request)
	if !attempt.unbind() && err != nil {
		err = &LostError{Cause: ErrCanceled}
	}
	if err != nil || response.ConnectionClose() {
		pool.discard(conn)
		return response, err
	}
	pool.put(conn, time.Now())
	return response, nil
}

// connect gives the attempt a connection.
func connect(attempt *Attempt, pool *pool, deadline time.Time) (*connection, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if !attempt.dialing(cancel) {
		return nil, ErrCanceled
	}
	conn, err := pool.get(ctx, attempt.Address.MaxConnections, time.Now())
	if err != nil {
		return nil, err
	}
	if !attempt.bind(conn) {
		pool.discard(conn)
		return nil, ErrCanceled
	}
	return conn, nil
}

func exchange(conn *connection, deadline time.Time, request *fasthttp.Request) (*fasthttp.Response, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if err := request.Write(conn.writer); err != nil {
		return nil, &LostError{Cause: err}
	}
	if err := conn.writer.Flush(); err != nil {
		return nil, &LostError{Cause: err}
	}
	response := fasthttp.AcquireResponse()
	if err := readAnswer(conn, request, response); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, &LostError{Cause: err}
	}
	return response, nil
}

func (c *Client) pool(address string) *pool {
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[address]; p == nil {
		p = &pool{address: address}
		c.pools[address] = p
	}
	return p
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.close()
	}
}
