package responsehead_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/responsehead"
)

// serveInTurn starts a server that writes the next of the responses for each request on a connection.
func serveInTurn(t *testing.T, responses ...string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request := make([]byte, 4<<10)
		for _, response := range responses {
			if _, err := conn.Read(request); err != nil {
				return
			}
			_, _ = fmt.Fprint(conn, response)
		}
	}()
	return listener.Addr().String()
}

// piecesConn is a connection whose reads return the next of the pieces.
type piecesConn struct {
	net.Conn
	pieces []string
}

// Write implements net.Conn.
func (c *piecesConn) Write(p []byte) (int, error) { return len(p), nil }

// Read implements net.Conn.
func (c *piecesConn) Read(p []byte) (int, error) {
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.pieces[0])
	c.pieces = c.pieces[1:]
	return n, nil
}

// readInPieces reads the response to a request whose bytes arrive in pieces.
func readInPieces(pieces ...string) error {
	conn := responsehead.NewConn(&piecesConn{pieces: pieces})
	if _, err := conn.Write([]byte("request")); err != nil {
		return err
	}
	var response fasthttp.Response
	return response.Read(bufio.NewReader(conn))
}

// Heads are found and checked wherever a response is cut.
func TestHeadInPiecesIsChecked(t *testing.T) {
	for cut := 1; cut < len(validResponse); cut++ {
		require.NoError(t, readInPieces(validResponse[:cut], validResponse[cut:]), "cut at %d", cut)
	}
	require.NoError(t, readInPieces(strings.Split(validResponse, "")...))
	for name, response := range invalidResponses {
		for cut := 1; cut < len(response); cut++ {
			require.True(t, reportsInvalidHead(readInPieces(response[:cut], response[cut:])), "%s, cut at %d", name, cut)
		}
		require.True(t, reportsInvalidHead(readInPieces(strings.Split(response, "")...)), "%s, byte by byte", name)
	}
}

// Bodies are not taken for heads, and each response on a connection is checked.
func TestHeadOfEachResponseOnAConnectionIsChecked(t *testing.T) {
	bodies := []string{"X Odd: 1\r\n\r\nHTTP/1.1 000 OK\r\n\r\n", "", strings.Repeat("X Odd: 1\r\n\r\n", 2000)}
	var responses []string
	for _, body := range bodies {
		responses = append(responses, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}
	responses[1] = "\r\n\r\n" + responses[1]
	address := serveInTurn(t, append(responses, "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n")...)
	client := &fasthttp.HostClient{Addr: address, DialTimeout: responsehead.DialTimeout, MaxIdemponentCallAttempts: 1}
	for _, expected := range bodies {
		status, body, err := client.GetTimeout(nil, "http://"+address+"/", time.Second)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, expected, string(body))
	}
	_, _, err := client.GetTimeout(nil, "http://"+address+"/", time.Second)
	var invalid *responsehead.FieldNameError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, 1, invalid.Line)
}
