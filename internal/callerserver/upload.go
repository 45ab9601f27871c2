package callerserver

import (
	"errors"
	"slices"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/framing"
)

// upload is a chunked request that has arrived in part. It takes over the bytes of the request
// from the connection as they arrive, so that each byte is copied and scanned once.
type upload struct {
	// request has only its header.
	request    *fasthttp.Request
	headerSize int
	chunks     framing.Chunks
	// body is the encoded body as far as it has arrived.
	body []byte
}

// inbound are the bytes that have arrived on a connection. gnet.Conn implements it.
type inbound interface {
	InboundBuffered() int
	Read(p []byte) (int, error)
}

// newUpload returns the upload that starts with buffered, which parse has found incomplete. It
// returns nil if the header is incomplete or the body isn't chunked.
func newUpload(buffered []byte, limits Limits) *upload {
	if !limits.AnyRequest {
		return nil
	}
	headerSize, err := headerLength(buffered, limits)
	if headerSize == 0 || err != nil {
		return nil
	}
	request := fasthttp.AcquireRequest()
	err = readHeader(request, buffered[:headerSize], limits)
	if err != nil || request.Header.ContentLength() != lengthChunked {
		fasthttp.ReleaseRequest(request)
		return nil
	}
	return &upload{request: request, headerSize: headerSize}
}

// read takes over what has arrived of the request and no byte behind it. It returns the request
// once it is complete, and nil before. The error is a *ParseError.
func (u *upload) read(conn inbound, limits Limits) (*fasthttp.Request, error) {
	u.chunks.MaxPayload = limits.BodyBytes
	for {
		needed, complete, err := u.chunks.Scan(u.body)
		if err != nil {
			return nil, chunkError(u.request, err)
		}
		if complete {
			return u.decode(limits)
		}
		arrived := min(needed-len(u.body), conn.InboundBuffered())
		if arrived == 0 {
			return nil, checkEncodedSize(u.request, len(u.body), limits)
		}
		if err := u.take(conn, arrived); err != nil {
			return nil, malformed(err)
		}
	}
}

// decode returns the complete request.
func (u *upload) decode(limits Limits) (*fasthttp.Request, error) {
	if err := decodeChunks(u.request, u.body, limits); err != nil {
		return nil, err
	}
	return u.request, nil
}

// take moves a number of bytes from the connection to the body.
func (u *upload) take(conn inbound, bytes int) error {
	u.body = slices.Grow(u.body, bytes)
	n, err := conn.Read(u.body[len(u.body) : len(u.body)+bytes])
	u.body = u.body[:len(u.body)+n]
	return err
}

// size returns the number of bytes that have arrived.
func (u *upload) size() int { return u.headerSize + len(u.body) }

// chunkError returns the error for a request with an invalid chunked body.
func chunkError(request *fasthttp.Request, err error) error {
	var invalid *framing.ChunkError
	if errors.As(err, &invalid) && invalid.Problem == framing.BodyTooLarge {
		return rejection(request, fasthttp.StatusRequestEntityTooLarge, "body_too_large")
	}
	return malformed(err)
}

// checkEncodedSize rejects a request with an incomplete chunked body of which too many bytes have
// arrived.
func checkEncodedSize(request *fasthttp.Request, bodyBytes int, limits Limits) error {
	if bodyBytes > limits.chunkedBytes() {
		return rejection(request, fasthttp.StatusRequestEntityTooLarge, "body_too_large")
	}
	return nil
}

// beginUpload starts an upload with the incomplete request in the connection's buffer. It returns
// false if that isn't a chunked one. No exchange may be in progress.
func (s *Server) beginUpload(conn gnet.Conn, state *connState, buffered []byte) bool {
	state.upload = newUpload(buffered, *s.limits.Load())
	if state.upload == nil {
		return false
	}
	_, _ = conn.Discard(state.upload.headerSize)
	return true
}

// continueUpload starts the request of an upload if it is complete. more is set if another one
// may follow.
func (s *Server) continueUpload(conn gnet.Conn, state *connState) (more bool, action gnet.Action) {
	request, err := state.upload.read(conn, *s.limits.Load())
	if err != nil {
		state.dropUpload()
		return false, s.reject(conn, state, err)
	}
	if request == nil {
		return false, s.awaitMore(conn, state, state.upload.size())
	}
	state.upload = nil
	return s.begin(conn, state, request, s.mayRunConcurrently(request))
}

// dropUpload ends an upload whose request isn't served.
func (c *connState) dropUpload() {
	if c.upload != nil {
		fasthttp.ReleaseRequest(c.upload.request)
		c.upload = nil
	}
}
