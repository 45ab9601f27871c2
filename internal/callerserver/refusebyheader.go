package callerserver

import (
	"net"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// HeaderHandler is a Handler that may refuse a request by its header, before its body has arrived.
// Its methods are called on the event loop.
type HeaderHandler interface {
	// ChecksHeaders reports whether RefuseByHeader may refuse requests at present.
	ChecksHeaders() bool
	// RefuseByHeader returns the response to a request, of which only the header has arrived
	// at a local address, or nil if it isn't refused. It must not retain the request.
	RefuseByHeader(request *fasthttp.Request, local net.Addr) *fasthttp.Response
}

// refuseByHeader refuses the incomplete request in the connection's buffer if the handler does so
// by its header. It closes the connection instead of receiving the body. A request behind others
// is checked once those are finished.
func (s *Server) refuseByHeader(conn gnet.Conn, state *connState, buffered []byte, limits *Limits) (refused bool) {
	handler, ok := s.handler.(HeaderHandler)
	if !ok || state.exchange != nil || !handler.ChecksHeaders() {
		return false
	}
	headerSize, err := headerLength(buffered, *limits)
	if headerSize == 0 || err != nil {
		return false
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	if err := readHeader(request, buffered[:headerSize], *limits); err != nil {
		return false
	}
	response := handler.RefuseByHeader(request, conn.LocalAddr())
	if response == nil {
		return false
	}
	response.SetConnectionClose()
	s.trackBuffered(state, 0)
	_, _ = response.WriteTo(conn)
	_ = s.closeGracefully(conn, state)
	return true
}
