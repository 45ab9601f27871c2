// Package responseheadtest serves responses byte by byte as tests give them, valid or not.
package responseheadtest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Serve starts a server that writes the given response to each request and closes the connection. It
// returns the server's address.
func Serve(t testing.TB, response string) (address string) {
	t.Helper()
	return ServeInPieces(t, response, len(response))
}

// ServeInPieces is like Serve, but writes pieces of the given size a moment apart.
func ServeInPieces(t testing.TB, response string, pieceBytes int) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for sent := 0; sent < len(response); sent += pieceBytes {
			if sent > 0 {
				time.Sleep(time.Millisecond)
			}
			_, _ = fmt.Fprint(conn, response[sent:min(sent+pieceBytes, len(response))])
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
