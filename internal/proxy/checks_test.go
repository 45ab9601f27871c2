package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/netdial"
	"github.com/poplarwheel/poplarwheel/internal/responsehead/responseheadtest"
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
		address := responseheadtest.Serve(t, response)
		for _, p := range []*Proxy{byDefault, byFunction} {
			require.Equal(t, expected, p.checkHealth(address), "%q", response)
		}
	}
}
