package targetclient

import (
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

const (
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes = 8 << 20
	// maxInterim bounds the interim responses before an answer.
	maxInterim = 4
)

// Content lengths that fasthttp uses for bodies without a declared length.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

// readAnswer reads the whole answer to a request.
func readAnswer(conn *connection, request *fasthttp.Request, response *fasthttp.Response) error {
	response.SkipBody = request.Header.IsHead()
	if err := readHeader(conn, response); err != nil {
		return err
	}
	if err := readBody(conn, response); err != nil {
		return err
	}
	want := request.Header.Peek(wire.HeaderAttemptID)
	have := response.Header.Peek(wire.HeaderAttemptID)
	if len(have) > 0 && string(have) != string(want) {
		return &ForeignAnswerError{Want: string(want), Have: string(have)}
	}
	return nil
}

// readHeader reads the header of the answer and skips interim responses.
func readHeader(conn *connection, response *fasthttp.Response) error {
	for range maxInterim {
		if err := response.Header.Read(conn.reader); err != nil {
			return err
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return ErrInterim
}

func readBody(conn *connection, response *fasthttp.Response) error {
	status := response.StatusCode()
	if response.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	length := response.Header.ContentLength()
	if length == lengthIdentity {
		return ErrNoLength
	}
	if err := response.ReadBody(conn.reader, MaxAnswerBytes); err != nil {
		return err
	}
	if length == lengthChunked {
		return response.Header.ReadTrailer(conn.reader)
	}
	return nil
}
