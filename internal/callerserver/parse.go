package callerserver

import (
	"bytes"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/headerreader"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// ParseError reports a request that can't be served. The connection is closed
// after the answer.
type ParseError struct {
	// Status is the HTTP status of the answer.
	Status int
	// Reason is a stable error code.
	Reason string
	// FirstSend is set if the header shows that the request was not sent before.
	// Otherwise an earlier send of it may have run.
	FirstSend bool
	// Cause says more, or is nil.
	Cause error
}

// outcome returns what can be said about the request, all sends of it included.
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

var headerEnd = []byte("\r\n\r\n")

// parse reads one request from the start of buffered. While more bytes are needed
// it returns a nil request and the size of the whole, 0 if that isn't known yet.
// The request comes from fasthttp's pool and keeps
// nothing of buffered. The error is a *ParseError.
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

// readRequest fills in the request and returns the number of bytes that it takes,
// which is above len(buffered) while some are missing.
func readRequest(request *fasthttp.Request, buffered []byte, headerSize int, limits Limits) (int, error) {
	if err := readHeader(request, buffered[:headerSize]); err != nil {
		return 0, err
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

// headerLength returns the length of the header, or 0 while it isn't complete.
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

// readHeader parses a header. All of it has to be one header: the codec also ends
// a header at two bare line feeds, and what follows them would get lost.
func readHeader(request *fasthttp.Request, header []byte) error {
	reader := headerreader.Acquire(header, len(header))
	defer reader.Release()
	if err := request.Header.Read(reader.Buffered); err != nil {
		return malformed(err)
	}
	if rest := reader.Rest(); rest > 0 {
		return malformed(&TrailingBytesError{Bytes: rest})
	}
	switch string(request.Header.Method()) {
	case fasthttp.MethodHead, fasthttp.MethodConnect, fasthttp.MethodTrace:
		return refused(request, fasthttp.StatusNotImplemented, "method_not_supported")
	}
	if len(request.Header.Peek(fasthttp.HeaderExpect)) > 0 {
		return refused(request, fasthttp.StatusExpectationFailed, "expectation_failed")
	}
	return nil
}

// refused returns the refusal of a request whose header is known.
func refused(request *fasthttp.Request, status int, reason string) error {
	resend := request.Header.Peek(wire.HeaderResend)
	hasKey := len(request.Header.Peek(wire.HeaderIdempotencyKey)) > 0
	first := string(resend) == "0" || (len(resend) == 0 && !hasKey)
	return &ParseError{Status: status, Reason: reason, FirstSend: first}
}

func malformed(cause error) error {
	return &ParseError{Status: fasthttp.StatusBadRequest, Reason: "malformed_header", Cause: cause}
}

// TrailingBytesError reports bytes between the end of a header and its last line.
type TrailingBytesError struct{ Bytes int }

// Error implements error.
func (e *TrailingBytesError) Error() string {
	return fmt.Sprintf("%d bytes after the end of the header", e.Bytes)
}

func bodyLength(request *fasthttp.Request, limits Limits) (int, error) {
	if len(request.Header.Peek(fasthttp.HeaderTransferEncoding)) > 0 || request.Header.ContentLength() == -1 {
		return 0, refused(request, fasthttp.StatusLengthRequired, "length_required")
	}
	length := max(request.Header.ContentLength(), 0)
	if length > limits.BodyBytes {
		return 0, refused(request, fasthttp.StatusRequestEntityTooLarge, "body_too_large")
	}
	return length, nil
}
