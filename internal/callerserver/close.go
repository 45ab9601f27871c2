package callerserver

import (
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/bytebufferpool"
)

const (
	// flushPollInterval is the interval between checks whether the kernel has accepted
	// all of a response.
	flushPollInterval = 5 * time.Millisecond
	// flushTimeout is the maximum time a caller takes to receive a response.
	flushTimeout = 30 * time.Second
	// lingerTimeout is how long the server waits for the caller to close a connection
	// whose sending side the server has closed.
	lingerTimeout = time.Second
)

// Drain makes each further response tell the caller to close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// deliver sends a response, or holds it until the responses before it are sent. It runs
// on the event loop.
func (s *Server) deliver(e *Exchange, response *bytebufferpool.ByteBuffer) {
	if !e.state.open || e.dropped {
		bytebufferpool.Put(response)
		s.end(e)
		return
	}
	if e.state.exchange != e {
		e.serialized = response
		s.charge(e, response.Len())
		return
	}
	s.send(e, response)
}

// send writes the response of a connection's oldest exchange.
func (s *Server) send(e *Exchange, response *bytebufferpool.ByteBuffer) {
	state := e.state
	state.waitingSince.Set(s.now())
	state.phase.Store(phaseFlushing)
	_, err := e.conn.Write(response.B)
	bytebufferpool.Put(response)
	if err != nil || !state.open {
		return
	}
	_ = s.flush(e.conn, state)
}

// flush finishes an exchange once the kernel has accepted the whole response; until then
// it schedules another check.
func (s *Server) flush(conn gnet.Conn, state *connState) error {
	unsent := conn.OutboundBuffered()
	s.trackOutput(state, unsent)
	if unsent > 0 {
		time.AfterFunc(flushPollInterval, func() { _ = conn.Wake(nil) })
		return nil
	}
	exchange := state.exchange
	state.exchange = nil
	s.end(exchange)
	if exchange.closeAfter.Load() {
		s.dropQueued(state)
		state.phase.Store(phaseIdle)
		return s.closeGracefully(conn, state)
	}
	return s.advance(conn, state)
}

// advance continues a connection after its oldest exchange is finished.
func (s *Server) advance(conn gnet.Conn, state *connState) error {
	if len(state.queued) > 0 {
		s.promote(state)
		return nil
	}
	state.blocked = false
	state.pipelined.Store(false)
	if state.discarding || s.draining.Load() && conn.InboundBuffered() == 0 {
		// The response was serialized before it was known to be the last one, so it
		// does not announce the close.
		state.phase.Store(phaseIdle)
		return s.closeGracefully(conn, state)
	}
	state.waitingSince.Set(s.now())
	state.phase.Store(phaseIdle)
	if conn.InboundBuffered() > 0 {
		return conn.Wake(nil)
	}
	return nil
}

// promote makes the first queued exchange of a connection its oldest one.
func (s *Server) promote(state *connState) {
	next := state.queued[0]
	state.queued[0] = nil
	state.queued = state.queued[1:]
	state.exchange = next
	state.pipelined.Store(len(state.queued) > 0)
	state.phase.Store(phaseServing)
	state.waitingSince.Clear()
	if response := next.serialized; response != nil {
		next.serialized = nil
		s.send(next, response)
	}
}

// dropQueued ends the queued exchanges of a connection that closes before their responses
// can be sent.
func (s *Server) dropQueued(state *connState) {
	queued := state.queued
	state.queued = nil
	for _, exchange := range queued {
		exchange.dropped = true
		if exchange.serialized != nil {
			bytebufferpool.Put(exchange.serialized)
			exchange.serialized = nil
			s.end(exchange)
			continue
		}
		exchange.callerDisconnected()
	}
}

// closeGracefully closes only the sending side and waits for the caller to close the rest.
// If the server closed a socket with unread input, the kernel would send a reset, which
// could destroy a response still in transit.
func (s *Server) closeGracefully(conn gnet.Conn, state *connState) error {
	if state.phase.Swap(phaseClosing) != phaseClosing {
		state.waitingSince.Set(s.now())
	}
	if conn.OutboundBuffered() > 0 {
		time.AfterFunc(flushPollInterval, func() { _ = conn.Wake(nil) })
		return nil
	}
	_, _ = conn.Discard(-1)
	s.trackInput(conn, state)
	if err := syscall.Shutdown(conn.Fd(), syscall.SHUT_WR); err != nil {
		return conn.Close()
	}
	return nil
}
