package callerserver

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	if enrolled, ok := conn.Context().(Enrolled); ok {
		return enrolled.Traffic(conn)
	}
	state := conn.Context().(*connState)
	switch state.phase.Load() {
	case phaseClosing:
		_ = s.closeGracefully(conn, state)
		return gnet.None
	case phaseFlushing:
		_ = s.flush(conn, state)
	}
	for state.phase.Load() != phaseClosing {
		if state.exchange != nil && !s.readsAhead(state) {
			return s.whileServing(conn, state)
		}
		more, action := s.readRequest(conn, state)
		if !more {
			return action
		}
	}
	return gnet.None
}

// readRequest starts the next request of the connection's buffer. More is set if
// another one may follow.
func (s *Server) readRequest(conn gnet.Conn, state *connState) (more bool, action gnet.Action) {
	limits := s.limits.Load()
	if arrived := conn.InboundBuffered(); arrived < state.need {
		return false, s.awaitRest(conn, state, arrived)
	}
	buffered, err := conn.Peek(-1)
	if err != nil || len(buffered) == 0 {
		return false, gnet.None
	}
	request, size, err := parse(buffered, *limits)
	if err != nil && state.exchange != nil {
		// It is answered after the requests before it.
		state.blocked = true
		return false, gnet.None
	}
	if err != nil {
		return false, s.reject(conn, state, err)
	}
	if request == nil {
		s.invite(conn, state, buffered, limits)
		state.need = size
		return false, s.awaitRest(conn, state, len(buffered))
	}
	overtakes := s.mayOvertake(request)
	if state.exchange != nil && !overtakes {
		fasthttp.ReleaseRequest(request)
		state.blocked = true
		return false, gnet.None
	}
	state.need = 0
	state.invited = false
	s.account(state, 0)
	_, _ = conn.Discard(size)
	s.serve(conn, state, request, overtakes)
	return state.open && conn.InboundBuffered() > 0, gnet.None
}

// mayOvertake reports whether a request may run beside others of its connection.
func (s *Server) mayOvertake(request *fasthttp.Request) bool {
	overtaker, ok := s.handler.(Overtaker)
	return ok && !request.Header.ConnectionClose() && overtaker.MayOvertake(request)
}

// readsAhead reports whether the next request may be read before the answers to
// those before it.
func (s *Server) readsAhead(state *connState) bool {
	if state.blocked || !state.exchange.overtakes || state.exchange.close || s.draining.Load() {
		return false
	}
	return len(state.behind)+1 < s.limits.Load().Pipelined
}

// whileServing bounds what a caller sends while its request is served. After a
// last answer nothing more is served, so what it sends meanwhile is dropped rather
// than the answer cut.
func (s *Server) whileServing(conn gnet.Conn, state *connState) gnet.Action {
	if state.phase.Load() == phaseFlushing && state.exchange.close {
		_, _ = conn.Discard(-1)
		return gnet.None
	}
	limits := s.limits.Load()
	if conn.InboundBuffered() > limits.HeaderBytes+limits.BodyBytes {
		return gnet.Close
	}
	return gnet.None
}

// awaitRest waits for the rest of a request of which some bytes have arrived.
func (s *Server) awaitRest(conn gnet.Conn, state *connState, arrived int) gnet.Action {
	if state.exchange != nil {
		return gnet.None
	}
	if state.phase.Swap(phasePartial) != phasePartial {
		state.waitingSince.Store(time.Now().UnixNano())
	}
	if s.account(state, arrived) {
		return s.reject(conn, state, &ParseError{Status: fasthttp.StatusServiceUnavailable, Reason: "buffers_full"})
	}
	return gnet.None
}

func (s *Server) serve(conn gnet.Conn, state *connState, request *fasthttp.Request, overtakes bool) {
	exchange := &Exchange{
		server:    s,
		conn:      conn,
		loop:      conn.EventLoop(),
		state:     state,
		close:     request.Header.ConnectionClose(),
		overtakes: overtakes,
	}
	if state.exchange == nil {
		state.phase.Store(phaseServing)
		state.waitingSince.Store(0)
		state.exchange = exchange
	} else {
		state.behind = append(state.behind, exchange)
		state.pipelined.Store(true)
	}
	s.inFlight.Add(1)
	s.handler.Serve(request, exchange)
}
