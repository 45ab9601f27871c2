package callerserver

import (
	"bytes"
	"errors"
	"slices"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
	"github.com/poplarwheel/poplarwheel/internal/framing"
	"github.com/poplarwheel/poplarwheel/internal/segments"
)

// upload is a request whose body has arrived in part. It takes over the bytes of the body from the
// connection as they arrive, without their framing, so that the body is held once.
type upload struct {
	// request has only its header.
	request    *fasthttp.Request
	headerSize int
	// chunked is set if the body is chunked. Otherwise its length is announced.
	chunked bool
	decoder framing.Decoder
	// announced is the length of a body that isn't chunked.
	announced int
	body      *segments.Body
	// joined makes the body that of the request in the end.
	joined bool
}

// inbound are the bytes that have arrived on a connection. gnet.Conn implements it.
type inbound interface {
	InboundBuffered() int
	Read(p []byte) (int, error)
	Peek(n int) ([]byte, error)
	Discard(n int) (int, error)
}

// maxPeekBytes bounds what is decoded at a time. A larger view may have to be copied.
const maxPeekBytes = 16 << 10

// newUpload returns the upload that starts with buffered, which parse has found incomplete. It
// returns nil if the header is incomplete or invalid.
func newUpload(buffered []byte, limits Limits) *upload {
	if !limits.AnyRequest {
		return nil
	}
	headerSize, err := headerLength(buffered, limits)
	if headerSize == 0 || err != nil {
		return nil
	}
	request := fasthttp.AcquireRequest()
	if err := readHeader(request, buffered[:headerSize], limits); err != nil {
		fasthttp.ReleaseRequest(request)
		return nil
	}
	u := &upload{request: request, headerSize: headerSize, joined: true}
	u.chunked = request.Header.ContentLength() == lengthChunked
	if !u.chunked {
		u.announced, err = bodyLength(request, limits)
	}
	if err != nil {
		fasthttp.ReleaseRequest(request)
		return nil
	}
	u.body = segments.New(nil)
	return u
}

// accountTo makes the upload's bytes count in a budget. The body then isn't joined.
func (u *upload) accountTo(budget *bytebudget.Budget) {
	u.body, u.joined = segments.New(budget), false
}

// read takes over what has arrived of the request and no byte behind it. It returns the request
// once it is complete, and nil before. The error is a *ParseError.
func (u *upload) read(conn inbound, limits Limits) (*fasthttp.Request, error) {
	complete, err := u.readBody(conn, limits)
	if !complete || err != nil {
		return nil, err
	}
	u.body.Complete()
	if u.joined {
		u.request.SetBodyRaw(u.body.Bytes())
	}
	return u.request, nil
}

func (u *upload) readBody(conn inbound, limits Limits) (complete bool, err error) {
	if u.chunked {
		return u.readChunks(conn, limits)
	}
	return u.readAnnounced(conn)
}

// readAnnounced takes over what has arrived of a body whose length is announced.
func (u *upload) readAnnounced(conn inbound) (complete bool, err error) {
	for u.body.Len() < u.announced {
		expected := u.announced - u.body.Len()
		arrived := min(conn.InboundBuffered(), expected)
		if arrived == 0 {
			return false, nil
		}
		space := u.body.Space(expected)
		n, err := conn.Read(space[:min(arrived, len(space))])
		if err != nil {
			return false, malformed(err)
		}
		u.body.Extend(n)
	}
	return true, nil
}

// readChunks takes over what has arrived of a chunked body.
func (u *upload) readChunks(conn inbound, limits Limits) (complete bool, err error) {
	u.decoder.MaxPayload = limits.BodyBytes
	for !complete && conn.InboundBuffered() > 0 {
		view, err := conn.Peek(min(conn.InboundBuffered(), maxPeekBytes))
		if err != nil {
			return false, malformed(err)
		}
		decoded := 0
		for !complete && decoded < len(view) {
			var n int
			n, complete, err = u.decode(view[decoded:], limits)
			if err != nil {
				return false, chunkError(u.request, err)
			}
			decoded += n
		}
		_, _ = conn.Discard(decoded)
	}
	if !complete {
		return false, checkEncodedSize(u.request, u.decoder.Offset(), limits)
	}
	return true, decodeTrailers(u.request, u.decoder.Trailers(), limits)
}

// decode takes over the data at the start of view. It returns the number of bytes that it has used.
func (u *upload) decode(view []byte, limits Limits) (used int, complete bool, err error) {
	data, used, complete, err := u.decoder.Next(view)
	u.body.Append(data, limits.BodyBytes-u.body.Len())
	return used, complete, err
}

// size returns the number of bytes that have arrived, with their framing.
func (u *upload) size() int {
	if u.chunked {
		return u.headerSize + u.decoder.Offset()
	}
	return u.headerSize + u.body.Len()
}

var (
	// lastChunk is the line of the last chunk, and emptyChunks a body without data and trailers.
	lastChunk   = []byte("0\r\n")
	emptyChunks = []byte("0\r\n\r\n")
	lineEnd     = []byte("\r\n")
)

// decodeTrailers adds the trailers of a chunked body to the request.
func decodeTrailers(request *fasthttp.Request, trailers []byte, limits Limits) error {
	if bytes.Equal(trailers, lineEnd) {
		return decodeChunks(request, emptyChunks, limits)
	}
	return decodeChunks(request, slices.Concat(lastChunk, trailers), limits)
}

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
// false if the request has to arrive whole: while its header is incomplete and, without a budget, if
// its body isn't chunked. No exchange may be in progress.
func (s *Server) beginUpload(conn gnet.Conn, state *connState, buffered []byte) bool {
	state.upload = newUpload(buffered, *s.limits.Load())
	if state.upload == nil {
		return false
	}
	if s.budget != nil {
		state.upload.accountTo(s.budget)
	} else if !state.upload.chunked {
		state.dropUpload()
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
		return false, s.reject(conn, state, err)
	}
	if request == nil {
		return false, s.awaitMore(conn, state, state.upload.size())
	}
	body := state.upload.body
	if state.upload.joined || body.Len() == 0 {
		body.Release()
		body = nil
	}
	state.upload = nil
	return s.begin(conn, state, request, body, s.mayRunConcurrently(request))
}

// dropUpload ends an upload whose request isn't served.
func (c *connState) dropUpload() {
	if c.upload != nil {
		fasthttp.ReleaseRequest(c.upload.request)
		c.upload.body.Release()
		c.upload = nil
	}
}
