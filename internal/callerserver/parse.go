package callerserver

import (
	"bytes"
	"fmt"
	"math"
	"strings"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/framing"
	"github.com/poplarwheel/poplarwheel/internal/headerreader"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// ParseError reports a request that can't be served. The server closes the connection
// after it has sent the error response.
type ParseError struct {
	// Status is the HTTP status of the response.
	Status int
	// Reason is a stable error code.
	Reason string
	// FirstSend is set if the header shows that the request is not a resend. Otherwise
	// a target may have run it after an earlier send.
	FirstSend bool
	// Cause is the underlying error, or nil.
	Cause error
}

// outcome returns the outcome of the request over all of its sends.
func (e *ParseError) outcome() string {
	if e.FirstSend {
		return wire.OutcomeNotRun
	}
	return wire.OutcomeUnknown
}

// Error implements error.
func (e *ParseError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("callerserver: %s (status %d)", e.Reason, e.Status)
	}
	return fmt.Sprintf("callerserver: %s (status %d): %v", e.Reason, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Cause }

const (
	// lengthChunked is the content length that fasthttp reports for a chunked body.
	lengthChunked = -1
	// chunkOverhead is the maximum ratio of the encoded size of a chunked body, without its
	// last chunk and trailers, to BodyBytes.
	chunkOverhead = 8
)

// chunkedBytes returns the maximum encoded size of a chunked body.
func (l *Limits) chunkedBytes() int {
	if l.BodyBytes > math.MaxInt/(2*chunkOverhead) {
		return math.MaxInt
	}
	return chunkOverhead*l.BodyBytes + framing.MaxChunkLineBytes + framing.MaxTrailerBytes
}

var (
	headerEnd         = []byte("\r\n\r\n")
	contentLengthLine = []byte("\ncontent-length:")
	expectLine        = []byte("\nexpect:")
	continueResponse  = []byte("HTTP/1.1 100 Continue\r\n\r\n")
)

// parse reads one request from the start of buffered. While the request is incomplete it
// returns a nil request and the request's total size, or 0 if that is not yet known; for a
// chunked body the size is only a lower bound. The request comes from fasthttp's pool and
// does not refer to buffered. The error is a *ParseError.
func parse(buffered []byte, limits Limits) (request *fasthttp.Request, size int, err error) {
	headerSize, err := headerLength(buffered, limits)
	if headerSize == 0 || err != nil {
		return nil, 0, err
	}
	request = fasthttp.AcquireRequest()
	size, err = readRequest(request, buffered, headerSize, limits)
	if err != nil || len(buffered) < size {
		fasthttp.ReleaseRequest(request)
		return nil, size, err
	}
	return request, size, nil
}

// readRequest fills in the request and returns its size in bytes, which is greater than
// len(buffered) while the request is incomplete.
func readRequest(request *fasthttp.Request, buffered []byte, headerSize int, limits Limits) (int, error) {
	if err := readHeader(request, buffered[:headerSize], limits); err != nil {
		return 0, err
	}
	if limits.AnyRequest && request.Header.ContentLength() == lengthChunked {
		return readChunked(request, buffered, headerSize, limits)
	}
	bodySize, err := bodyLength(request, limits)
	if err != nil {
		return 0, err
	}
	size := headerSize + bodySize
	if len(buffered) >= size {
		request.SetBody(buffered[headerSize:size])
	}
	return size, nil
}

// headerLength returns the length of the header, or 0 while it is incomplete.
func headerLength(buffered []byte, limits Limits) (int, error) {
	end := bytes.Index(buffered, headerEnd)
	size := end + len(headerEnd)
	if end < 0 {
		size = len(buffered)
	}
	if size > limits.HeaderBytes {
		return 0, &ParseError{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Reason: "header_too_large"}
	}
	if end < 0 {
		return 0, nil
	}
	return size, nil
}

// readHeader parses a header, which must fill the whole slice: fasthttp also ends a header
// at two bare line feeds, and the bytes after them would be lost.
func readHeader(request *fasthttp.Request, header []byte, limits Limits) error {
	reader := headerreader.Acquire(header, len(header))
	defer reader.Release()
	if err := request.Header.Read(reader.Buffered); err != nil {
		return malformed(withoutText(err))
	}
	if rest := reader.Unread(); rest > 0 {
		return malformed(&TrailingBytesError{Bytes: rest})
	}
	useOriginForm(&request.Header)
	if !limits.allowsMethod(string(request.Header.Method())) {
		return rejection(request, fasthttp.StatusNotImplemented, "method_not_supported")
	}
	expectation := request.Header.Peek(fasthttp.HeaderExpect)
	if len(expectation) > 0 && !(limits.AnyRequest && expectsContinue(expectation)) {
		return rejection(request, fasthttp.StatusExpectationFailed, "expectation_failed")
	}
	if limits.AnyRequest {
		return checkFraming(request, header)
	}
	return nil
}

// allowsMethod reports whether requests with the method are served.
func (l *Limits) allowsMethod(method string) bool {
	switch method {
	case fasthttp.MethodConnect, fasthttp.MethodTrace:
		return false
	case fasthttp.MethodHead:
		return l.AnyRequest
	}
	return true
}

func expectsContinue(expectation []byte) bool {
	return strings.EqualFold(string(expectation), "100-continue")
}

// checkFraming rejects a header that has both a Content-Length and a Transfer-Encoding.
func checkFraming(request *fasthttp.Request, header []byte) error {
	if len(request.Header.Peek(fasthttp.HeaderTransferEncoding)) == 0 {
		return nil
	}
	if bytes.Contains(bytes.ToLower(header), contentLengthLine) {
		return malformed(&AmbiguousLengthError{})
	}
	return nil
}

// AmbiguousLengthError reports a header with both a Content-Length and a
// Transfer-Encoding.
type AmbiguousLengthError struct{}

// Error implements error.
func (e *AmbiguousLengthError) Error() string { return "both a length and a transfer coding" }

// readChunked reads a chunked body. It returns the size of the whole request, or a lower bound
// that is greater than len(buffered) while the body is incomplete.
func readChunked(request *fasthttp.Request, buffered []byte, headerSize int, limits Limits) (int, error) {
	chunks := framing.Chunks{MaxPayload: limits.BodyBytes}
	size, complete, err := chunks.Scan(buffered[headerSize:])
	size += headerSize
	switch {
	case err != nil:
		return 0, chunkError(request, err)
	case complete:
		return size, decodeChunks(request, buffered[headerSize:size], limits)
	}
	return size, checkEncodedSize(request, len(buffered)-headerSize, limits)
}

// decodeChunks decodes a complete chunked body with its trailers.
func decodeChunks(request *fasthttp.Request, body []byte, limits Limits) error {
	reader := headerreader.Acquire(body, framing.MaxTrailerBytes)
	defer reader.Release()
	if err := request.ContinueReadBody(reader.Buffered, limits.BodyBytes, false); err != nil {
		return malformed(withoutText(err))
	}
	if rest := reader.Unread(); rest > 0 {
		return malformed(&TrailingBytesError{Bytes: rest})
	}
	request.Header.Del(fasthttp.HeaderTransferEncoding)
	return nil
}

// sendContinue sends "100 Continue" once per request to a caller that expects it before
// it sends the body.
func (s *Server) sendContinue(conn gnet.Conn, state *connState, buffered []byte, limits *Limits) {
	if !limits.AnyRequest || state.continueSent || state.exchange != nil {
		return
	}
	end := bytes.Index(buffered, headerEnd)
	if end < 0 || !bytes.Contains(bytes.ToLower(buffered[:end]), expectLine) {
		return
	}
	state.continueSent = true
	_, _ = conn.Write(continueResponse)
}

// rejection returns the error for a request that is rejected after its header was parsed.
func rejection(request *fasthttp.Request, status int, reason string) error {
	resend := request.Header.Peek(wire.HeaderResend)
	hasKey := len(request.Header.Peek(wire.HeaderIdempotencyKey)) > 0
	first := string(resend) == "0" || (len(resend) == 0 && !hasKey)
	return &ParseError{Status: status, Reason: reason, FirstSend: first}
}

func malformed(cause error) error {
	return &ParseError{Status: fasthttp.StatusBadRequest, Reason: "malformed_header", Cause: cause}
}

// TrailingBytesError reports bytes between the end that fasthttp found for a header and
// the blank line at which the header was cut off.
type TrailingBytesError struct{ Bytes int }

// Error implements error.
func (e *TrailingBytesError) Error() string {
	return fmt.Sprintf("%d bytes after the end of the header", e.Bytes)
}

// bodyLength returns the declared length of a body, 0 if none is declared. It rejects bodies
// with a transfer coding.
func bodyLength(request *fasthttp.Request, limits Limits) (int, error) {
	if len(request.Header.Peek(fasthttp.HeaderTransferEncoding)) > 0 || request.Header.ContentLength() == -1 {
		return 0, rejection(request, fasthttp.StatusLengthRequired, "length_required")
	}
	length := max(request.Header.ContentLength(), 0)
	if length > limits.BodyBytes {
		return 0, rejection(request, fasthttp.StatusRequestEntityTooLarge, "body_too_large")
	}
	return length, nil
}
