package callerserver

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
)

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.started)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if enrolled, ok := conn.Context().(EnrolledConn); ok {
		return nil, enrolled.HandleOpen(conn)
	}
	select {
	case s.loop <- conn.EventLoop():
	default:
	}
	state := &connState{open: true, callerIP: ipOf(conn.RemoteAddr())}
	s.budget.Add(bytebudget.Connections, connectionBytes)
	if s.exceedsConnectionLimit(s.openConnections.Add(1)) {
		s.scheduleEviction(conn.EventLoop())
		conn.SetContext(state)
		return s.connectionLimitResponse(), gnet.Close
	}
	state.waitingSince.Set(s.now())
	conn.SetContext(state)
	s.conns.Store(conn, state)
	return nil, gnet.None
}

// ipOf returns the IP of a TCP address, without its port.
func ipOf(address net.Addr) string {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return address.String()
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(conn gnet.Conn, err error) gnet.Action {
	if enrolled, ok := conn.Context().(EnrolledConn); ok {
		enrolled.HandleClose(err)
		return gnet.None
	}
	s.conns.Delete(conn)
	s.openConnections.Add(-1)
	s.budget.Add(bytebudget.Connections, -connectionBytes)
	state := conn.Context().(*connState)
	state.open = false
	state.dropUpload()
	s.trackBuffered(state, 0)
	s.releaseBuffers(state)
	exchange := state.exchange
	state.exchange = nil
	switch {
	case exchange == nil:
	case state.phase.Load() == phaseFlushing:
		s.end(exchange)
	default:
		exchange.callerDisconnected()
	}
	s.dropQueued(state)
	return gnet.None
}

// OnTick implements gnet.EventHandler. It closes connections whose callers exceed a
// timeout.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := s.now()
	s.conns.Range(func(key, value any) bool {
		if state := value.(*connState); s.timedOut(state, now) {
			s.closeTimedOut(key.(gnet.Conn), state)
		}
		return true
	})
	return sweepInterval, gnet.None
}

// closeTimedOut closes a connection unless its event loop, which may have been held up, has
// meanwhile read what the caller had sent in time.
func (s *Server) closeTimedOut(conn gnet.Conn, state *connState) {
	loop := conn.EventLoop()
	// A loop that shuts down closes all connections.
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		if !state.open || !s.timedOut(state, s.now()) {
			return nil
		}
		return loop.Close(conn)
	}))
}

// timedOut reports whether a connection has exceeded the timeout of its phase.
func (s *Server) timedOut(state *connState, now time.Time) bool {
	waiting, ok := state.waitingSince.Elapsed(now)
	if !ok {
		return false
	}
	limits := s.limits.Load()
	limit := limits.IdleTimeout
	switch state.phase.Load() {
	case phasePartial:
		limit = limits.SendTimeout
	case phaseFlushing:
		limit = flushTimeout
	case phaseClosing:
		limit = lingerTimeout
	}
	return waiting > limit
}
