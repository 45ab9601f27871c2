package callerserver

import (
	"errors"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// exceedsConnectionLimit reports whether the number of connections is above the limit.
func (s *Server) exceedsConnectionLimit(connections int64) bool {
	limit := s.limits.Load().Connections
	return limit > 0 && connections > int64(limit)
}

// connectionLimitResponse returns the response to a connection above the limit.
func (s *Server) connectionLimitResponse() []byte {
	return closingResponse(&ParseError{Status: fasthttp.StatusServiceUnavailable, Reason: "too_many_connections"})
}

// trackBuffered records how many bytes of an incomplete request a connection buffers. It
// reports whether the total over all connections is now above the limit.
func (s *Server) trackBuffered(state *connState, bytes int) bool {
	total := s.buffered.Add(int64(bytes) - state.buffered)
	state.buffered = int64(bytes)
	limit := s.limits.Load().BufferedBytes
	return bytes > 0 && limit > 0 && total > int64(limit)
}

// reject responds to a request that can't be parsed and closes the connection.
func (s *Server) reject(conn gnet.Conn, state *connState, err error) gnet.Action {
	var parseErr *ParseError
	if !errors.As(err, &parseErr) {
		return gnet.Close
	}
	parseErr = s.limits.Load().judge(parseErr)
	s.rejections.record(parseErr, state.callerIP, s.limits.Load())
	s.trackBuffered(state, 0)
	state.dropUpload()
	_, _ = conn.Write(closingResponse(parseErr))
	_ = s.closeGracefully(conn, state)
	return gnet.None
}

// reasonNotReady is the error code of a request that exceeds provisional limits.
const reasonNotReady = "not_ready"

// judge returns the error that the caller is told.
func (l *Limits) judge(err *ParseError) *ParseError {
	tooLarge := err.Status == fasthttp.StatusRequestEntityTooLarge || err.Status == fasthttp.StatusRequestHeaderFieldsTooLarge
	if !l.Provisional || !tooLarge {
		return err
	}
	return &ParseError{Status: fasthttp.StatusServiceUnavailable, Reason: reasonNotReady, FirstSend: err.FirstSend, Cause: err}
}

// closingResponse returns an error response that announces the close of the connection.
func closingResponse(err *ParseError) []byte {
	response := ErrorResponse(err.Status, wire.ErrorReply{
		Outcome: err.outcome(),
		Reason:  err.Reason,
		Detail:  err.Error(),
	})
	response.SetConnectionClose()
	return []byte(response.String())
}
