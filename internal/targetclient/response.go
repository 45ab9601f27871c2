package targetclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/headerreader"
)

const (
	// MaxResponseBytes is the maximum size of a response including its header.
	MaxResponseBytes = 8 << 20
	// maxInterimResponses is the number of responses, interim ones (1xx) included, among
	// which the final one must be.
	maxInterimResponses = 4
)

// Content lengths that fasthttp reports for bodies without a declared length.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

var headerEnd = []byte("\r\n\r\n")

// parse reads one response from the start of buffered and skips interim responses. head is
// set if the request method was HEAD. While the response is incomplete, parse returns a nil
// response and the minimum number of bytes that the next call needs.
func parse(buffered []byte, head bool) (response *fasthttp.Response, size int, err error) {
	skipped := 0
	for range maxInterimResponses {
		response, size, err = parseOne(buffered[skipped:], head)
		size += skipped
		if err != nil || response == nil || response.StatusCode() >= fasthttp.StatusOK {
			return response, size, err
		}
		fasthttp.ReleaseResponse(response)
		skipped = size
	}
	return nil, 0, ErrInterim
}

// parseOne is parse for a single response, final or interim.
func parseOne(buffered []byte, head bool) (*fasthttp.Response, int, error) {
	end := bytes.Index(buffered, headerEnd)
	if end < 0 {
		return nil, len(buffered) + 1, nil
	}
	headerSize := end + len(headerEnd)
	response := fasthttp.AcquireResponse()
	size, err := parseResponse(response, buffered, headerSize, head)
	if err != nil || size > len(buffered) {
		fasthttp.ReleaseResponse(response)
		return nil, size, err
	}
	return response, size, nil
}

// parseResponse fills in the response and returns its size in bytes, which is greater than
// len(buffered) while the response is incomplete.
func parseResponse(response *fasthttp.Response, buffered []byte, headerSize int, head bool) (int, error) {
	reader := headerreader.Acquire(buffered, headerSize)
	defer reader.Release()
	if err := response.Header.Read(reader.Buffered); err != nil {
		return 0, err
	}
	if head || bodiless(response.StatusCode()) {
		response.SkipBody = head
		return headerSize, nil
	}
	switch length := response.Header.ContentLength(); length {
	case lengthIdentity:
		return 0, ErrNoLength
	case lengthChunked:
		if err := readChunked(response, reader.Buffered); err != nil {
			return incomplete(buffered, err)
		}
		return len(buffered) - reader.Unread(), nil
	default:
		return parseSized(response, buffered, headerSize, length)
	}
}

// bodiless reports whether responses with the status have no body.
func bodiless(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func readChunked(response *fasthttp.Response, reader *bufio.Reader) error {
	if err := response.ReadBody(reader, MaxResponseBytes); err != nil {
		return err
	}
	return response.Header.ReadTrailer(reader)
}

// incomplete handles an error from a chunked body. If the body is merely incomplete, it
// returns a size that asks for more bytes.
func incomplete(buffered []byte, err error) (int, error) {
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return len(buffered) + 1, nil
	}
	return 0, err
}

// parseSized sets the body of a response with a declared length and returns the size of the
// whole response.
func parseSized(response *fasthttp.Response, buffered []byte, headerSize, length int) (int, error) {
	if length > MaxResponseBytes-headerSize {
		return 0, ErrTooLarge
	}
	size := headerSize + length
	if len(buffered) >= size {
		response.SetBody(buffered[headerSize:size])
	}
	return size, nil
}

// parseUntilClose parses a response whose body is everything received before the connection
// ended.
func parseUntilClose(buffered []byte) (*fasthttp.Response, error) {
	headerSize := bytes.Index(buffered, headerEnd) + len(headerEnd)
	reader := headerreader.Acquire(buffered, headerSize)
	defer reader.Release()
	response := fasthttp.AcquireResponse()
	if err := response.Header.Read(reader.Buffered); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	response.SetBody(buffered[headerSize:])
	return response, nil
}
