package targetclient

import (
	"context"
	"net"
	"sync"
)

// Address is where to send an attempt.
type Address struct {
	// HostPort is the target's "ip:port".
	HostPort string
	// MaxConnections bounds the open connections to the target; 0 is no bound.
	MaxConnections int
}

// Attempt is the handle of one attempt.
type Attempt struct {
	// Address is set before the handle is used.
	Address Address

	mu       sync.Mutex
	stopDial context.CancelFunc
	conn     net.Conn
	canceled bool
}

// Cancel stops the opening of the attempt's connection or closes it. It may be
// called at any time.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.stopDial != nil {
		a.stopDial()
	}
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// dialing sets what stops the opening of a connection; false means canceled.
func (a *Attempt) dialing(stop context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopDial = stop
	return !a.canceled
}

// bind ties the attempt to its connection; false means canceled.
func (a *Attempt) bind(conn net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopDial = nil
	a.conn = conn
	return !a.canceled
}

// unbind returns false if the attempt was canceled.
func (a *Attempt) unbind() bool {
	return a.bind(nil)
}
