package targetclient

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/headerreader"
	"github.com/poplarwheel/poplarwheel/internal/responsehead"
)

var (
	chunkedVersion   = []byte("HTTP/1.1")
	transferEncoding = []byte("\ntransfer-encoding")
)

// parseHeader parses a header, which must fill the whole slice: fasthttp also ends a header at
// two bare line feeds.
func parseHeader(response *fasthttp.Response, header []byte) error {
	if hasSecondStatusLine(header) || hasMisplacedEncoding(header) {
		return ErrMalformed
	}
	if err := responsehead.Check(header); err != nil {
		return &MalformedError{Cause: err}
	}
	reader := headerreader.Acquire(header, len(header))
	defer reader.Release()
	if err := response.Header.Read(reader.Buffered); err != nil {
		return &MalformedError{Cause: err}
	}
	if reader.Unread() > 0 {
		return ErrMalformed
	}
	return nil
}

// hasMisplacedEncoding reports whether the header of another protocol version than HTTP/1.1 has a
// transfer coding. fasthttp ignores it, so that the chunks would be taken for the body.
func hasMisplacedEncoding(header []byte) bool {
	return !bytes.HasPrefix(header, chunkedVersion) && bytes.Contains(bytes.ToLower(header), transferEncoding)
}

// hasSecondStatusLine reports whether a header contains the start of another one, as if it broke
// off and another response followed. Its headers would be those of both.
func hasSecondStatusLine(header []byte) bool {
	for rest := header[1:]; ; rest = rest[1:] {
		at := bytes.Index(rest, protocolName)
		if at < 0 {
			return false
		}
		rest = rest[at:]
		if isStatusLine(rest) {
			return true
		}
	}
}

// isStatusLine reports whether text, which starts with protocolName, goes on with a minor version
// and the first digit of a status.
func isStatusLine(text []byte) bool {
	rest := text[len(protocolName):]
	return len(rest) > 2 && isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
