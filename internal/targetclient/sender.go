package targetclient

import (
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
	"github.com/poplarwheel/poplarwheel/internal/segments"
)

// Errors of requests with a body of their own that can't be sent. They are the ones for which the
// codec refuses requests that have their body themselves.
var (
	errNoHost         = errors.New("no host")
	errUnexpectedBody = errors.New("body in a GET or HEAD request")
)

// sendPause is the pause between checks whether the kernel has accepted what was sent of a body.
const sendPause = time.Millisecond

// sender sends a body segment by segment. A segment is passed on once the kernel has accepted the
// ones before, so that the body is not copied to the connection's buffer as a whole. The zero value
// has sent all.
type sender struct {
	exchange *exchange
	// rest are the segments that were not passed on.
	rest [][]byte
	// chunked is set if the body is sent in chunks since trailers follow it, which are unsent until
	// trailersSent is set.
	chunked      bool
	trailersSent bool
}

func newSender(e *exchange) sender {
	chunked := hasTrailers(&e.request.Header)
	return sender{exchange: e, rest: e.attempt.Body.Segments(), chunked: chunked, trailersSent: !chunked}
}

// hasTrailers reports whether a header announces trailers, for which the body has to be chunked.
func hasTrailers(header *fasthttp.RequestHeader) bool {
	return len(header.PeekTrailerKeys()) > 0 && header.IsHTTP11()
}

// pending reports whether part of the body was not passed on.
func (s *sender) pending() bool { return len(s.rest) > 0 || s.exchange != nil && !s.trailersSent }

// next returns the next pieces to send.
func (s *sender) next() [][]byte {
	if len(s.rest) == 0 {
		s.trailersSent = true
		return [][]byte{[]byte("0\r\n"), s.exchange.request.Header.TrailerHeader()}
	}
	segment := s.rest[0]
	s.rest = s.rest[1:]
	if !s.chunked {
		return [][]byte{segment}
	}
	size := strconv.AppendInt(nil, int64(len(segment)), 16)
	return [][]byte{append(size, "\r\n"...), segment, []byte("\r\n")}
}

// sendBody sends as much of the body of an exchange as the kernel accepts, and continues later if
// that isn't all.
func (c *targetConn) sendBody(e *exchange) {
	for c.current == e && c.sender.pending() && c.conn.OutboundBuffered() == 0 {
		if _, err := c.conn.Writev(c.sender.next()); err != nil {
			c.fail(err)
			return
		}
	}
	if c.current != e {
		return
	}
	c.trackQueued()
	if c.sender.pending() {
		time.AfterFunc(sendPause, func() { onLoop(c.loop, func() { c.sendBody(e) }) })
	}
}

// trackQueued accounts for the bytes that the target has yet to receive.
func (c *targetConn) trackQueued() { c.setQueued(c.conn.OutboundBuffered()) }

func (c *targetConn) setQueued(queued int) {
	c.rules().Budget.Add(bytebudget.Output, int64(queued-c.queued))
	c.queued = queued
}

// writeHeader writes the header of a request whose body is not part of it.
func writeHeader(w io.Writer, header *fasthttp.RequestHeader, body *segments.Body) error {
	switch {
	case len(header.Host()) == 0:
		return errNoHost
	case body.Len() > 0 && (header.IsGet() || header.IsHead()):
		return errUnexpectedBody
	case hasTrailers(header):
		header.SetContentLength(lengthChunked)
	default:
		header.SetContentLength(body.Len())
	}
	_, err := header.WriteTo(w)
	return err
}
