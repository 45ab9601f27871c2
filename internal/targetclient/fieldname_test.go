package targetclient

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// tokenBytes are the bytes of field names (RFC 9110, section 5.6.2).
const tokenBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// invalidFields returns lines whose name has a byte at its start, in it or at its end that field
// names don't have.
func invalidFields() []string {
	fields := []string{
		"Content Length: 5", "Content-Length : 5", " Content-Length: 5", "\tContent-Length: 5", "Content-Length\t: 5",
		"Transfer Encoding: chunked", "Transfer-Encoding : chunked", " Transfer-Encoding: chunked", "Content-Encoding : gzip",
		"X-Request : a", "X Request: a", "Connection : close", ": x", "no name", "X-A\nX-B: x", "\rX-A: x",
	}
	for c := range 256 {
		if strings.ContainsRune(tokenBytes+":", rune(c)) {
			continue
		}
		for _, pattern := range []string{"%sX-Name: x", "X-%sName: x", "X-Name%s: x"} {
			fields = append(fields, fmt.Sprintf(pattern, []byte{byte(c)}))
		}
	}
	return fields
}

// A response is given up if a name in the header, in that of an interim response or in the trailer
// has a byte that field names don't have. fasthttp accepts spaces: it ignores a length or a
// transfer coding whose name contains one, so that the framing becomes part of the body, and
// passes the line on.
func TestResponseWithInvalidFieldNameIsMalformed(t *testing.T) {
	const length, chunked = "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"
	messages := map[string]string{
		"alone":         "HTTP/1.1 200 OK\r\n%s\r\n\r\nhello",
		"after length":  "HTTP/1.1 200 OK\r\n" + length + "%s\r\n\r\nhello",
		"before length": "HTTP/1.1 200 OK\r\nA: b\r\n%s\r\n" + length + "\r\nhello",
		"chunked":       "HTTP/1.1 200 OK\r\n" + chunked + "%s\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\n%s\r\n\r\n",
		"HTTP/1.0":      "HTTP/1.0 200 OK\r\n%s\r\n\r\nhello",
		"interim":       "HTTP/1.1 103 Early Hints\r\nA: b\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\nhello",
		"trailer":       "HTTP/1.1 200 OK\r\n" + chunked + "\r\n5\r\nhello\r\n0\r\nA: b\r\n%s\r\n\r\n",
	}
	for name, message := range messages {
		t.Run(name, func(t *testing.T) {
			for _, field := range invalidFields() {
				r := newReceiver()
				response, _, err := receivePieces(r, strings.Replace(message, "%s", field, 1))
				require.Nil(t, response, "%q", field)
				require.ErrorIs(t, err, ErrMalformed, "%q", field)
				require.Nil(t, r.finishAtClose(), "%q", field)
			}
		})
	}
}

// Every name that is a token is passed on, and so is a value that continues on further lines.
func TestResponseWithUnusualFieldNameIsReceived(t *testing.T) {
	const header, rest = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "\r\nhello"
	names := []string{tokenBytes}
	for _, c := range tokenBytes {
		names = append(names, string(c), "X-"+string(c)+"-Y")
	}
	for _, name := range names {
		response, _, err := receivePieces(newReceiver(), header+name+": value\r\n"+rest)
		require.NoError(t, err, "%q", name)
		require.Equal(t, "value", string(response.Header.Peek(name)), "%q", name)
	}
	for _, continuation := range []string{" b", "\tb", "   b c", " b; c=\"d: e\"", " <http://b>"} {
		response, _, err := receivePieces(newReceiver(), header+"X-A: a\r\n"+continuation+"\r\n"+rest)
		require.NoError(t, err, "%q", continuation)
		require.Equal(t, "a "+strings.TrimLeft(continuation, " \t"), string(response.Header.Peek("X-A")))
		require.Equal(t, "hello", string(response.Body()))
	}
	response, _, err := receivePieces(newReceiver(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"+tokenBytes+": x\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, "hello", string(response.Body()))
}
