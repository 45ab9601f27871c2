package callerserver

import (
	"bufio"
	"bytes"
	"fmt"

	"github.com/valyala/fasthttp"
)

// ParseError reports a request that can't be served. The connection is closed
// after the answer.
type ParseError struct {
	// Status is the HTTP status of the answer.
	Status int
	// Reason is a stable error code.
	Reason string
	// Cause is set where a codec gave one.
	Cause error
}

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("callerserver: %s (status %d): %v", e.Reason, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Cause }

var headerEnd = []byte("\r\n\r\n")

// parse reads one request from the start of buffered. It returns a nil request
// while more bytes are needed. The error is a *ParseError.
func parse(buffered []byte, limits Limits) (request *fasthttp.Request, size int, err error) {
	end := bytes.Index(buffered, headerEnd)
	if end < 0 {
		if len(buffered) > limits.HeaderBytes {
			return nil, 0, &ParseError{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Reason: "header_too_large"}
		}
		return nil, 0, nil
	}
	headerSize := end + len(headerEnd)
	if headerSize > limits.HeaderBytes {
		return nil, 0, &ParseError{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Reason: "header_too_large"}
	}
	request = &fasthttp.Request{}
	reader := bufio.NewReaderSize(bytes.NewReader(buffered[:headerSize]), headerSize)
	if err := request.Header.Read(reader); err != nil {
		return nil, 0, &ParseError{Status: fasthttp.StatusBadRequest, Reason: "malformed_header", Cause: err}
	}
	bodySize, err := bodyLength(request, limits)
	if err != nil {
		return nil, 0, err
	}
	size = headerSize + bodySize
	if len(buffered) < size {
		return nil, 0, nil
	}
	request.SetBody(buffered[headerSize:size])
	return request, size, nil
}

func bodyLength(request *fasthttp.Request, limits Limits) (int, error) {
	if len(request.Header.Peek(fasthttp.HeaderTransferEncoding)) > 0 || request.Header.ContentLength() == -1 {
		return 0, &ParseError{Status: fasthttp.StatusLengthRequired, Reason: "length_required"}
	}
	length := max(request.Header.ContentLength(), 0)
	if length > limits.BodyBytes {
		return 0, &ParseError{Status: fasthttp.StatusRequestEntityTooLarge, Reason: "body_too_large"}
	}
	return length, nil
}
