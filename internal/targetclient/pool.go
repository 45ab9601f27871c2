package targetclient

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 1 * time.Second
	// idleLimit is how long an idle connection is kept.
	idleLimit = 30 * time.Second
)

// pool keeps the connections to one address, most recently used last.
type pool struct {
	address string
	mu      sync.Mutex
	idle    []*connection
	open    int
}

// get returns an idle connection or opens one, unless limit are open.
func (p *pool) get(ctx context.Context, limit int, now time.Time) (*connection, error) {
	for {
		c, err := p.pop(limit)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.usable(now) {
			return c, nil
		}
		p.discard(c)
	}
}

// pop takes an idle connection. It returns nil if one has to be opened, and
// counts that one as open.
func (p *pool) pop(limit int) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		if limit > 0 && p.open >= limit {
			return nil, &ConnectionLimitError{Address: p.address, Limit: limit}
		}
		p.open++
		return nil, nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c, nil
}

// put returns a connection for later use and closes one that was idle too long.
func (p *pool) put(c *connection, now time.Time) {
	c.idleAt = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
	if oldest := p.idle[0]; now.Sub(oldest.idleAt) > idleLimit {
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.open--
		_ = oldest.Close()
	}
}

// discard closes a connection.
func (p *pool) discard(c *connection) {
	_ = c.Close()
	p.closed()
}

func (p *pool) closed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *pool) dial(ctx context.Context) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.closed()
		return nil, err
	}
	return newConnection(conn), nil
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}
