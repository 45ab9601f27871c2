package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/netdial"
)

// A health check is not believed if the head of its response is invalid, whether connections are
// opened by default or by a function that was set.
func TestHealthCheckWithInvalidHeadIsNotBelieved(t *testing.T) {
	newProxy := func() *Proxy {
		p := New("entry", idempotency.NewGuard(time.Now(), idempotency.Owner{}, nil), discardLog())
		t.Cleanup(p.Close)
		return p
	}
	byDefault, byFunction := newProxy(), newProxy()
	byFunction.SetDial(netdial.Direct)
	for response, expected := range map[string]dispatch.HealthCheckResult{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":             dispatch.CheckHealthy,
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n":             dispatch.CheckUnreachable,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n": dispatch.CheckUnreachable,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = fmt.Fprint(conn, response)
			_ = conn.Close()
		}))
		t.Cleanup(server.Close)
		for _, p := range []*Proxy{byDefault, byFunction} {
			require.Equal(t, expected, p.checkHealth(server.Listener.Addr().String()), "%q", response)
		}
	}
}
