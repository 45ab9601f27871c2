package callerserver

import (
	"bufio"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// chunkedLimits are testLimits for any request.
func chunkedLimits() Limits {
	limits := testLimits
	limits.AnyRequest = true
	return limits
}

// arrivals is an inbound to which a test adds bytes.
type arrivals struct{ data []byte }

// InboundBuffered implements inbound.
func (a *arrivals) InboundBuffered() int { return len(a.data) }

// Read implements inbound.
func (a *arrivals) Read(p []byte) (int, error) {
	n := copy(p, a.data)
	a.data = a.data[n:]
	return n, nil
}

// Peek implements inbound.
func (a *arrivals) Peek(n int) ([]byte, error) { return a.data[:n], nil }

// Discard implements inbound.
func (a *arrivals) Discard(n int) (int, error) {
	a.data = a.data[n:]
	return n, nil
}

// parseInPieces parses a request that arrives in pieces like the server does when no exchange is
// in progress. It returns what parse returns.
func parseInPieces(data []byte, pieceBytes int, limits Limits) (request *fasthttp.Request, size int, err error) {
	for end := pieceBytes; ; end += pieceBytes {
		arrived := data[:min(end, len(data))]
		request, size, err = parse(arrived, limits)
		if request != nil || err != nil {
			return request, size, err
		}
		if u := newUpload(arrived, limits); u != nil {
			return uploadInPieces(u, data, len(arrived), pieceBytes, limits)
		}
		if len(arrived) == len(data) {
			return nil, size, nil
		}
	}
}

// uploadInPieces continues an upload of which a number of bytes have arrived.
func uploadInPieces(u *upload, data []byte, arrived, pieceBytes int, limits Limits) (*fasthttp.Request, int, error) {
	conn := &arrivals{data: append([]byte(nil), data[u.headerSize:arrived]...)}
	for {
		request, err := u.read(conn, limits)
		if request != nil || err != nil || arrived == len(data) {
			return request, u.size(), err
		}
		next := min(arrived+pieceBytes, len(data))
		conn.data = append(conn.data, data[arrived:next]...)
		arrived = next
	}
}

// reasonOf returns the reason of a *ParseError, or "".
func reasonOf(err error) string {
	var parseErr *ParseError
	if errors.As(err, &parseErr) {
		return parseErr.Reason
	}
	return ""
}

// However a chunked upload is cut, it must end where it ends in one piece, with the same body or
// the same error. Otherwise bytes of one request could be taken for another one.
func FuzzUploadInPieces(f *testing.F) {
	const header = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, body := range []string{
		"5;name=\"v\"\r\nhello\r\nA\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
		"5\r\nhello\r\n0\r\n\r\n",
		"5\r\nhelloX\r\n0\r\n\r\n",
		"zz\r\n",
		"ffff\r\n",
		"0\r\nX\r\n\r\n",
		"1\r\n",
		strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\na\r\n", 9),
	} {
		f.Add([]byte(header+body), uint8(1))
		f.Add([]byte(header+body), uint8(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, pieceBytes uint8) {
		limits := chunkedLimits()
		whole, wholeSize, wholeErr := parse(data, limits)
		request, size, err := parseInPieces(data, max(int(pieceBytes), 1), limits)
		if reasonOf(err) == "body_too_large" && len(data) > limits.chunkedBytes() {
			// What arrives in one piece may be complete before it is found too large.
			return
		}
		require.Equal(t, reasonOf(wholeErr), reasonOf(err))
		require.Equal(t, whole == nil, request == nil)
		if whole != nil {
			require.Equal(t, wholeSize, size)
			require.Equal(t, whole.Body(), request.Body())
		}
	})
}

// A chunked upload that is cut anywhere must be served, and the request behind it as well.
func TestChunkedUploadsAreServedAtEveryCut(t *testing.T) {
	_, _, address := startServer(t, pipelineLimits())
	conn := dial(t, address)
	reader := bufio.NewReader(conn)
	const upload = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"5;x=y\r\nhello\r\n3\r\nyou\r\n0\r\nX-T: 1\r\n\r\n"
	input := upload + post("next")
	for cut := range len(input) {
		send(t, conn, input[:cut])
		time.Sleep(time.Millisecond)
		send(t, conn, input[cut:])
		for _, want := range []string{"helloyou", "next"} {
			status, body := readResponse(t, reader)
			require.Equal(t, fasthttp.StatusOK, status, "cut at %d", cut)
			require.Equal(t, want, body, "cut at %d", cut)
		}
	}
}

// An upload whose caller disconnects must not stay counted as buffered.
func TestAbandonedUploadIsNotCounted(t *testing.T) {
	server, _, address := startServer(t, pipelineLimits())
	conn := dial(t, address)
	send(t, conn, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel")
	require.Eventually(t, server.Receiving, settleTimeout, time.Millisecond)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return !server.Receiving() && server.Connections() == 0 }, settleTimeout, time.Millisecond)
}

// An upload in pieces whose chunks are invalid or too large must be rejected like one that arrives
// whole.
func TestInvalidUploadsInPiecesAreRejected(t *testing.T) {
	const header = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		body   string
		reason string
	}{
		"bad size":       {"5\r\nhello\r\nzz\r\n", "malformed_header"},
		"no line end":    {"5\r\nhelloXX", "malformed_header"},
		"too large":      {"20\r\n" + strings.Repeat("x", 32) + "\r\n21\r\n", "body_too_large"},
		"too much frame": {strings.Repeat("1;"+strings.Repeat("x", 400)+"\r\na\r\n", 60), "body_too_large"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, pieceBytes := range []int{1, 10, 1 << 20} {
				_, _, err := parseInPieces([]byte(header+c.body), pieceBytes, chunkedLimits())
				require.Equal(t, c.reason, reasonOf(err), "pieces of %d bytes", pieceBytes)
			}
		})
	}
}
