package netdial

import (
	"net"
	"sync"
	"time"
)

// TCP keep-alive settings. Unanswered probes close a connection whose peer is gone
// without having closed it.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Tracker opens connections and tracks them, so that all of them can be
// closed at once. The zero value is ready for use. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

// trackedConn is a connection that its tracker can close.
type trackedConn struct {
	net.Conn
	tracker *Tracker
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.open, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// Dial opens and tracks a connection to address ("ip:port"). It fails after timeout.
func (c *Tracker) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, tracker: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*trackedConn]struct{}{}
	}
	c.open[tracked] = struct{}{}
	return tracked, nil
}

// CloseAll closes every tracked connection.
func (c *Tracker) CloseAll() {
	c.mu.Lock()
	open := c.open
	c.open = nil
	c.mu.Unlock()
	for conn := range open {
		_ = conn.Conn.Close()
	}
}
