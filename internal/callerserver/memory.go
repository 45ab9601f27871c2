package callerserver

import (
	"cmp"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
)

const (
	// exchangeBytes is the assumed size of the state of an exchange and its processing, without
	// what the caller has sent.
	exchangeBytes = 4 << 10
	// connectionBytes is the assumed size of the state of a connection.
	connectionBytes = 3 << 10
	// inlineBytes is the size of a body up to which a request that has arrived whole is read in one
	// piece.
	inlineBytes = 32 << 10
	// ordinaryBytes is what a connection may hold without having to give way before the reserve of
	// the budget is used up.
	ordinaryBytes = 64 << 10
	// inputFactor is the maximum ratio of the size of gnet's buffer for input to its content.
	inputFactor = 2
	// activeTime is added to the time for which a connection has transferred nothing when holders
	// are compared. An active connection has to hold many times more than a stopped one to give way
	// before it.
	activeTime = 50 * time.Millisecond
	// stoppedTime is the time without progress from which a caller is told that it was too slow.
	stoppedTime = time.Second
)

// Reasons for refusals to free memory.
const (
	reasonMemory  = "memory"
	reasonStopped = "memory_stopped_sending"
)

// Reasons for closes to free memory.
const (
	closeSlowReader = "memory_slow_reader"
	closePipelined  = "memory_pipelined_input"
)

// viewSize returns how much of the connection's buffer is looked at for the next request. With a
// budget, larger requests are taken over by an upload.
func (s *Server) viewSize(conn gnet.Conn, limits *Limits) int {
	if s.budget == nil {
		return -1
	}
	return min(conn.InboundBuffered(), limits.HeaderBytes+inlineBytes)
}

// charge makes bytes count in the budget until the exchange ends.
func (s *Server) charge(e *Exchange, bytes int) {
	if s.budget == nil {
		return
	}
	e.charged += int32(bytes)
	s.budget.Add(bytebudget.Requests, int64(bytes))
}

// end gives up what is held for an exchange that has ended.
func (s *Server) end(e *Exchange) {
	s.inFlight.Add(-1)
	if s.budget == nil {
		return
	}
	s.budget.Add(bytebudget.Requests, -int64(e.charged))
	e.charged = 0
	if e.body != nil {
		e.body.Release()
		e.body = nil
	}
}

// trackInput accounts for the bytes in the connection's buffer.
func (s *Server) trackInput(conn gnet.Conn, state *connState) {
	if s.budget == nil || !state.open {
		return
	}
	if input := inputFactor * conn.InboundBuffered(); input != state.input {
		s.budget.Add(bytebudget.Input, int64(input-state.input))
		state.input = input
		state.progress.Set(s.now())
	}
}

// trackOutput accounts for the bytes of responses that the caller has yet to receive.
func (s *Server) trackOutput(state *connState, unsent int) {
	if s.budget == nil || unsent == state.output {
		return
	}
	s.budget.Add(bytebudget.Output, int64(unsent-state.output))
	state.output = unsent
	state.progress.Set(s.now())
}

// releaseBuffers accounts for the close of a connection, which drops its buffers.
func (s *Server) releaseBuffers(state *connState) {
	s.budget.Add(bytebudget.Input, -int64(state.input))
	s.budget.Add(bytebudget.Output, -int64(state.output))
	state.input, state.output = 0, 0
}

// refuseForMemory refuses a request that has arrived whole while the budget is exhausted. Behind
// unanswered requests it waits for them, as it may then fit.
func (s *Server) refuseForMemory(conn gnet.Conn, state *connState, request *fasthttp.Request) (more bool, action gnet.Action) {
	err := rejection(request, fasthttp.StatusServiceUnavailable, reasonMemory)
	fasthttp.ReleaseRequest(request)
	if state.exchange != nil {
		state.blocked = true
		return false, gnet.None
	}
	return false, s.reject(conn, state, err)
}

// holder is a connection that holds bytes which it can give up.
type holder struct {
	conn  gnet.Conn
	state *connState
	held  int
	// score is higher the more the connection holds and the longer it has transferred nothing.
	score float64
}

// held returns the bytes that a connection holds besides the requests that are served.
func (c *connState) held() int {
	held := c.input + c.output
	if c.upload != nil {
		held += c.upload.headerSize + c.upload.body.Held()
	}
	return held
}

// Relieve frees memory while the budget is short: the connections that hold most and have
// transferred nothing for longest give way first, those that hold little only when the budget is
// exhausted. Requests that were passed to the handler never give way. It must be called on the
// server's only event loop, and not from a handler.
func (s *Server) Relieve() {
	if !s.budget.Short() {
		return
	}
	for _, h := range s.holders(s.now()) {
		if s.budget.Excess() == 0 {
			return
		}
		if h.held > ordinaryBytes || s.budget.Exhausted() {
			s.shed(h)
		}
	}
}

// holders returns the connections that hold bytes, in the order in which they give way.
func (s *Server) holders(now time.Time) []holder {
	var holders []holder
	s.conns.Range(func(key, value any) bool {
		state := value.(*connState)
		if held := state.held(); held > 0 && state.phase.Load() != phaseClosing {
			idle, _ := state.progress.Elapsed(now)
			score := float64(held) * (idle + activeTime).Seconds()
			holders = append(holders, holder{conn: key.(gnet.Conn), state: state, held: held, score: score})
		}
		return true
	})
	slices.SortFunc(holders, func(a, b holder) int { return cmp.Compare(b.score, a.score) })
	return holders
}

// shed makes a connection give up what it holds.
func (s *Server) shed(h holder) {
	state := h.state
	switch {
	case state.output > 0:
		s.rejections.recordClose(closeSlowReader, state.callerIP, h.held)
		_ = h.conn.EventLoop().Close(h.conn)
	case state.exchange != nil:
		// The requests before the input are answered, then the connection is closed.
		s.rejections.recordClose(closePipelined, state.callerIP, h.held)
		state.discarding = true
		discarded, _ := h.conn.Discard(-1)
		state.discarded += discarded
		s.trackInput(h.conn, state)
	default:
		s.shedIncomplete(h)
	}
}

// shedIncomplete refuses an incomplete request to free memory.
func (s *Server) shedIncomplete(h holder) {
	status, reason := fasthttp.StatusServiceUnavailable, reasonMemory
	if idle, _ := h.state.progress.Elapsed(s.now()); idle > stoppedTime {
		status, reason = fasthttp.StatusRequestTimeout, reasonStopped
	}
	s.refuseIncomplete(h, status, reason)
}

// refuseIncomplete refuses an incomplete request, of which nothing was passed on.
func (s *Server) refuseIncomplete(h holder, status int, reason string) {
	var err error = &ParseError{Status: status, Reason: reason}
	if h.state.upload != nil {
		err = rejection(h.state.upload.request, status, reason)
	}
	_ = s.reject(h.conn, h.state, err)
}
