package callerserver

import (
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	// flushPoll is the pause between two looks at an answer that the caller has
	// not taken in whole.
	flushPoll = 5 * time.Millisecond
	// flushLimit bounds the time a caller takes to receive an answer.
	flushLimit = 30 * time.Second
	// lingerLimit bounds the wait for the caller to close a connection that this
	// side has finished with.
	lingerLimit = time.Second
)

// Drain makes each further answer tell the caller to close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// written runs on the event loop once an answer was handed to the connection.
func (s *Server) written(conn gnet.Conn, exchange *Exchange, err error) error {
	if err != nil {
		s.inFlight.Add(-1)
		return nil
	}
	exchange.state.waitingSince.Store(time.Now().UnixNano())
	exchange.state.phase.Store(phaseFlushing)
	return s.flush(conn, exchange.state)
}

// flush ends an exchange once the kernel has taken the whole answer.
func (s *Server) flush(conn gnet.Conn, state *connState) error {
	if conn.OutboundBuffered() > 0 {
		time.AfterFunc(flushPoll, func() { _ = conn.Wake(nil) })
		return nil
	}
	s.inFlight.Add(-1)
	exchange := state.exchange
	state.exchange = nil
	state.waitingSince.Store(time.Now().UnixNano())
	state.phase.Store(phaseIdle)
	if exchange.close {
		return s.closeGracefully(conn, state)
	}
	if conn.InboundBuffered() > 0 {
		return conn.Wake(nil)
	}
	return nil
}

// closeGracefully closes the sending side and leaves the rest to the caller, so
// that bytes it has sent meanwhile don't destroy the answer on its way.
func (s *Server) closeGracefully(conn gnet.Conn, state *connState) error {
	if state.phase.Swap(phaseClosing) != phaseClosing {
		state.waitingSince.Store(time.Now().UnixNano())
	}
	if conn.OutboundBuffered() > 0 {
		time.AfterFunc(flushPoll, func() { _ = conn.Wake(nil) })
		return nil
	}
	_, _ = conn.Discard(-1)
	if err := syscall.Shutdown(conn.Fd(), syscall.SHUT_WR); err != nil {
		return conn.Close()
	}
	return nil
}
