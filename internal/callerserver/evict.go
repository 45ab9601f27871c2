package callerserver

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

const (
	// evictionInterval is the minimum time between two searches for stopped callers.
	evictionInterval = 100 * time.Millisecond
	// evictedDivisor gives the number of connections that are evicted at once: the maximum number
	// of connections divided by it, rounded up.
	evictedDivisor = 8
)

// reasonConnections is the reason for refusing a stopped request to make room for other callers.
const reasonConnections = "connections_stopped_sending"

// scheduleEviction makes room for new connections, in a server with a budget: callers that have
// stopped in the middle of a request give way once there are too many connections, those that have
// stopped for longest first. Idle connections don't give way, since a request may be on its way.
func (s *Server) scheduleEviction(loop gnet.EventLoop) {
	now := s.now()
	if s.budget == nil || now.Before(s.nextEviction) {
		return
	}
	s.nextEviction = now.Add(evictionInterval)
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.evictStopped()
		return nil
	}))
}

func (s *Server) evictStopped() {
	now := s.now()
	var stopped []holder
	s.conns.Range(func(key, value any) bool {
		state := value.(*connState)
		idle, _ := state.progress.Elapsed(now)
		if state.phase.Load() == phasePartial && idle > stoppedTime {
			stopped = append(stopped, holder{conn: key.(gnet.Conn), state: state, score: idle.Seconds()})
		}
		return true
	})
	slices.SortFunc(stopped, func(a, b holder) int { return cmp.Compare(b.score, a.score) })
	count := (s.limits.Load().Connections + evictedDivisor - 1) / evictedDivisor
	for _, h := range stopped[:min(count, len(stopped))] {
		s.refuseIncomplete(h, fasthttp.StatusRequestTimeout, reasonConnections)
	}
}
