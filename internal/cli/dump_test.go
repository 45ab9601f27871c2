package cli

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// A response with an invalid head is not printed as a daemon's state.
func TestDumpWithInvalidHeadFails(t *testing.T) {
	for head, expected := range map[string]int{"200 OK\r\nX-Odd: 1": ExitOK, "200 OK\r\nX Odd: 1": ExitFailure, "000 OK": ExitFailure} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", head)
			_ = conn.Close()
		}))
		t.Cleanup(server.Close)
		result := poplarwheel(t, "", "dump", "--admin", server.Listener.Addr().String())
		require.Equal(t, expected, result.code, "%s: %s", head, result.stderr)
	}
}
