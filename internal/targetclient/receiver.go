package targetclient

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/framing"
	"github.com/poplarwheel/poplarwheel/internal/headerreader"
	"github.com/poplarwheel/poplarwheel/internal/responsehead"
)

const (
	// MaxResponseBytes is the maximum size of a response including its header.
	MaxResponseBytes = 8 << 20
	// MaxHeaderBytes is the maximum size of a response header.
	MaxHeaderBytes = 64 << 10
	// maxInterimResponses is the maximum number of interim responses (1xx) before the final
	// one.
	maxInterimResponses = 3
	// minBufferBytes is the smallest buffer for a response that arrives in pieces.
	minBufferBytes = 4 << 10
)

// Content lengths that fasthttp reports for bodies without a declared length.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

var (
	headerEnd    = []byte("\r\n\r\n")
	protocolName = []byte("HTTP/1.")
)

// receiver assembles one response from the pieces in which it arrives. It copies each piece at
// most once and searches each byte once; the codec is called with whole headers and bodies.
type receiver struct {
	memory *responseMemory
	// head is set if the request method was HEAD.
	head bool
	// allowCloseDelimited accepts a body that ends with the connection.
	allowCloseDelimited bool

	// buffer holds what has arrived, unless all of it arrived in one piece.
	buffer []byte
	// reserved are the bytes of buffer that count in memory.
	reserved int64
	// start is where the header of the current response begins: behind the interim ones.
	start int
	// searched is the position up to which no end of the header was found.
	searched int
	interim  int
	// response has a header once that is complete, and bodyStart is where the body begins.
	response       *fasthttp.Response
	bodyStart      int
	chunks         framing.Chunks
	closeDelimited bool
}

// receive takes the next piece of a response. It returns the response once it is complete, with
// the number of bytes at the end of piece that don't belong to it. After a response or an error
// the receiver must be reset.
func (r *receiver) receive(piece []byte) (response *fasthttp.Response, rest int, err error) {
	message := piece
	if len(r.buffer) > 0 {
		if err := r.store(piece); err != nil {
			return nil, 0, err
		}
		message = r.buffer
	}
	size, err := r.parse(message)
	if err != nil {
		return nil, 0, err
	}
	if size > 0 {
		response, r.response = r.response, nil
		return response, len(message) - size, nil
	}
	if len(r.buffer) == 0 {
		return nil, 0, r.store(piece)
	}
	return nil, 0, nil
}

// parse continues with all that has arrived. It returns the size of the response with its
// interim responses, or 0 while it is incomplete.
func (r *receiver) parse(message []byte) (int, error) {
	for r.response == nil {
		complete, err := r.readHeader(message)
		if !complete || err != nil {
			return 0, err
		}
	}
	return r.readBody(message)
}

// readHeader reads a header, and drops it if it is that of an interim response. It returns
// false while the header is incomplete.
func (r *receiver) readHeader(message []byte) (complete bool, err error) {
	prefix := min(len(message)-r.start, len(protocolName))
	if !bytes.Equal(message[r.start:r.start+prefix], protocolName[:prefix]) {
		return false, ErrMalformed
	}
	from := max(r.start, r.searched-len(headerEnd)+1)
	end := bytes.Index(message[from:], headerEnd)
	if end < 0 {
		r.searched = len(message)
		return false, checkHeaderSize(len(message) - r.start)
	}
	bodyStart := from + end + len(headerEnd)
	if err := checkHeaderSize(bodyStart - r.start); err != nil {
		return false, err
	}
	response := fasthttp.AcquireResponse()
	if err := parseHeader(response, message[r.start:bodyStart]); err != nil {
		fasthttp.ReleaseResponse(response)
		return false, err
	}
	if response.StatusCode() >= fasthttp.StatusOK {
		r.response, r.bodyStart = response, bodyStart
		return true, nil
	}
	fasthttp.ReleaseResponse(response)
	r.interim++
	if r.interim > maxInterimResponses {
		return false, ErrInterim
	}
	r.start, r.searched = bodyStart, bodyStart
	return true, nil
}

func checkHeaderSize(size int) error {
	if size > MaxHeaderBytes {
		return ErrHeaderTooLarge
	}
	return nil
}

// readBody completes the response if its body has arrived, and returns the size of the message
// then, or 0.
func (r *receiver) readBody(message []byte) (int, error) {
	if r.head || bodiless(r.response.StatusCode()) {
		r.response.SkipBody = r.head
		return r.bodyStart, nil
	}
	switch length := r.response.Header.ContentLength(); length {
	case lengthIdentity:
		return 0, r.readCloseDelimited(message)
	case lengthChunked:
		return r.readChunked(message)
	default:
		return r.readSized(message, length)
	}
}

// bodiless reports whether responses with the status have no body.
func bodiless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func (r *receiver) readCloseDelimited(message []byte) error {
	if !r.allowCloseDelimited {
		return ErrNoLength
	}
	r.closeDelimited = true
	if len(message) > MaxResponseBytes {
		return ErrTooLarge
	}
	return nil
}

func (r *receiver) readSized(message []byte, length int) (int, error) {
	if length > MaxResponseBytes-r.bodyStart {
		return 0, ErrTooLarge
	}
	size := r.bodyStart + length
	if len(message) < size {
		return 0, nil
	}
	r.setBody(message[r.bodyStart:size])
	return size, nil
}

// setBody sets the body of the response. It copies the body if it isn't in the buffer, since the
// event loop uses the memory of a piece again.
func (r *receiver) setBody(body []byte) {
	if len(r.buffer) > 0 {
		r.response.SetBodyRaw(body)
		return
	}
	r.response.SetBody(body)
}

func (r *receiver) readChunked(message []byte) (int, error) {
	r.chunks.MaxPayload = MaxResponseBytes
	body := message[r.bodyStart:]
	size, complete, err := r.chunks.Scan(body)
	switch {
	case err != nil:
		return 0, err
	case complete:
		return r.bodyStart + size, r.decodeChunks(body[:size])
	case len(message) > MaxResponseBytes:
		return 0, ErrTooLarge
	}
	return 0, nil
}

// decodeChunks decodes a complete chunked body. Its trailers must be valid, and are dropped: they
// must not change what the header says.
func (r *receiver) decodeChunks(body []byte) error {
	trailers := body[r.chunks.TrailerStart():]
	if err := responsehead.CheckFields(trailers); err != nil {
		return &MalformedError{Cause: err}
	}
	reader := headerreader.Acquire(body, max(len(trailers), framing.MaxChunkLineBytes))
	defer reader.Release()
	r.response.SwapBody(make([]byte, 0, r.chunks.Payload()+len("\r\n")))
	if err := r.response.ReadBody(reader.Buffered, MaxResponseBytes); err != nil {
		return &MalformedError{Cause: err}
	}
	var trailer fasthttp.ResponseHeader
	if err := trailer.ReadTrailer(reader.Buffered); err != nil {
		return &MalformedError{Cause: err}
	}
	if reader.Unread() > 0 {
		return ErrMalformed
	}
	return nil
}

// finishAtClose returns the response that ends with its connection, or nil if there is none.
func (r *receiver) finishAtClose() *fasthttp.Response {
	if !r.closeDelimited {
		return nil
	}
	response := r.response
	r.response = nil
	response.SetBodyRaw(r.buffer[r.bodyStart:])
	return response
}

// store appends a piece to the buffer.
func (r *receiver) store(piece []byte) error {
	needed := len(r.buffer) + len(piece)
	if needed > cap(r.buffer) {
		if err := r.grow(needed); err != nil {
			return err
		}
	}
	r.buffer = append(r.buffer, piece...)
	return nil
}

// grow moves the buffer to a larger one, which holds at least the needed bytes and no more than
// the response if its size is known.
func (r *receiver) grow(needed int) error {
	size := max(2*cap(r.buffer), minBufferBytes)
	if r.response != nil && r.response.Header.ContentLength() >= 0 {
		size = min(size, r.bodyStart+r.response.Header.ContentLength())
	}
	size = max(size, needed)
	added := int64(size - cap(r.buffer))
	if !r.memory.reserve(size, added) {
		return ErrMemory
	}
	r.reserved += added
	buffer := make([]byte, len(r.buffer), size)
	copy(buffer, r.buffer)
	r.buffer = buffer
	return nil
}

// reset prepares the receiver for the next response. It gives the buffer away, since the last
// response may refer to it.
func (r *receiver) reset(head bool) {
	r.memory.release(r.reserved)
	if r.response != nil {
		fasthttp.ReleaseResponse(r.response)
	}
	*r = receiver{memory: r.memory, allowCloseDelimited: r.allowCloseDelimited, head: head}
}
