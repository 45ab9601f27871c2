package callerserver

import (
	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/segments"
)

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	if enrolled, ok := conn.Context().(EnrolledConn); ok {
		return enrolled.HandleTraffic(conn)
	}
	state := conn.Context().(*connState)
	action := s.readRequests(conn, state)
	s.trackInput(conn, state)
	return action
}

// readRequests starts the requests in the connection's buffer, as far as they may be started.
func (s *Server) readRequests(conn gnet.Conn, state *connState) gnet.Action {
	switch state.phase.Load() {
	case phaseClosing:
		_ = s.closeGracefully(conn, state)
		return gnet.None
	case phaseFlushing:
		_ = s.flush(conn, state)
	}
	for state.phase.Load() != phaseClosing {
		if state.exchange != nil && !s.mayReadAhead(state) {
			return s.limitInbound(conn, state)
		}
		more, action := s.readRequest(conn, state)
		if !more {
			return action
		}
	}
	return gnet.None
}

// readRequest starts the next request in the connection's buffer. more is set if another
// one may follow.
func (s *Server) readRequest(conn gnet.Conn, state *connState) (more bool, action gnet.Action) {
	if state.upload != nil {
		return s.continueUpload(conn, state)
	}
	limits := s.limits.Load()
	if arrived := conn.InboundBuffered(); arrived < state.requestSize {
		return false, s.awaitMore(conn, state, arrived)
	}
	buffered, err := conn.Peek(s.viewSize(conn, limits))
	if err != nil || len(buffered) == 0 {
		return false, gnet.None
	}
	request, size, err := parse(buffered, *limits)
	if err != nil && state.exchange != nil {
		// The error is reported after the requests before it are answered.
		state.blocked = true
		return false, gnet.None
	}
	if err != nil {
		return false, s.reject(conn, state, err)
	}
	if request == nil {
		if s.refuseByHeader(conn, state, buffered, limits) {
			return false, gnet.None
		}
		s.sendContinue(conn, state, buffered, limits)
		if state.exchange != nil {
			return false, gnet.None
		}
		if s.beginUpload(conn, state, buffered) {
			return s.continueUpload(conn, state)
		}
		state.requestSize = size
		return false, s.awaitMore(conn, state, len(buffered))
	}
	concurrent := s.mayRunConcurrently(request)
	if s.budget.Exhausted() {
		return s.refuseForMemory(conn, state, request)
	}
	if state.exchange != nil && !concurrent {
		fasthttp.ReleaseRequest(request)
		state.blocked = true
		return false, gnet.None
	}
	_, _ = conn.Discard(size)
	return s.begin(conn, state, request, nil, concurrent)
}

// begin passes a request that was taken from the connection's buffer to the handler, with its body
// if that isn't part of request. more is set if another one may follow.
func (s *Server) begin(conn gnet.Conn, state *connState, request *fasthttp.Request, body *segments.Body, concurrent bool) (more bool, action gnet.Action) {
	state.requestSize = 0
	state.continueSent = false
	s.trackBuffered(state, 0)
	s.serve(conn, state, request, body, concurrent)
	return state.open && conn.InboundBuffered() > 0, gnet.None
}

// mayRunConcurrently reports whether a request may run concurrently with others of its
// connection.
func (s *Server) mayRunConcurrently(request *fasthttp.Request) bool {
	concurrentHandler, ok := s.handler.(ConcurrentHandler)
	return ok && !request.Header.ConnectionClose() && concurrentHandler.MayRunConcurrently(request)
}

// mayReadAhead reports whether the next request may be read before the previous ones are
// answered.
func (s *Server) mayReadAhead(state *connState) bool {
	if state.blocked || state.discarding || !state.exchange.concurrent || state.exchange.closeAfter.Load() || s.draining.Load() {
		return false
	}
	return len(state.queued)+1 < s.limits.Load().PipelineDepth
}

// maxDiscardedRequests is how many requests of the maximum size a caller may send in vain before
// its connection is closed at once.
const maxDiscardedRequests = 16

// limitInbound bounds what a caller sends while its requests are served. Above the maximum size
// of a request, input is discarded and the connection closes after the responses, which it must
// not cut off; a caller that floods the server loses them. Once the last response of a connection
// is being sent, input is discarded, too.
func (s *Server) limitInbound(conn gnet.Conn, state *connState) gnet.Action {
	limits := s.limits.Load()
	if limits.exceededBy(conn.InboundBuffered()) {
		state.discarding = true
	}
	if state.discarding {
		discarded, _ := conn.Discard(-1)
		state.discarded += discarded
	}
	if limits.exceededBy(state.discarded / maxDiscardedRequests) {
		return gnet.Close
	}
	if state.phase.Load() == phaseFlushing && state.exchange.closeAfter.Load() {
		_, _ = conn.Discard(-1)
	}
	return gnet.None
}

// exceededBy reports whether bytes are more than a request of the maximum size has.
func (l *Limits) exceededBy(bytes int) bool { return bytes-l.HeaderBytes > l.BodyBytes }

// awaitMore waits for the rest of an incomplete request.
func (s *Server) awaitMore(conn gnet.Conn, state *connState, arrived int) gnet.Action {
	if state.exchange != nil {
		return gnet.None
	}
	now := s.now()
	if state.phase.Swap(phasePartial) != phasePartial {
		state.waitingSince.Set(now)
	}
	state.progress.Set(now)
	if s.trackBuffered(state, arrived) {
		return s.reject(conn, state, &ParseError{Status: fasthttp.StatusServiceUnavailable, Reason: "buffers_full"})
	}
	return gnet.None
}

// serve passes a request to the handler.
func (s *Server) serve(conn gnet.Conn, state *connState, request *fasthttp.Request, body *segments.Body, concurrent bool) {
	exchange := &Exchange{
		server:     s,
		conn:       conn,
		loop:       conn.EventLoop(),
		state:      state,
		concurrent: concurrent,
		body:       body,
	}
	s.charge(exchange, exchangeBytes+len(request.Header.RawHeaders())+len(request.Body()))
	exchange.closeAfter.Store(request.Header.ConnectionClose())
	if state.exchange == nil {
		state.phase.Store(phaseServing)
		state.waitingSince.Clear()
		state.exchange = exchange
	} else {
		state.queued = append(state.queued, exchange)
		state.pipelined.Store(true)
	}
	s.inFlight.Add(1)
	s.handler.Serve(request, exchange)
}
