package metrics

import (
	"net"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil/promlint"
	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
)

func scrape(t *testing.T, r *Registry) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, 200, recorder.Code)
	return recorder.Body.String()
}

func snapshot(services ...string) *config.Snapshot {
	s := &config.Snapshot{Services: map[string]*config.Service{}}
	for _, name := range services {
		s.Services[name] = &config.Service{Name: name, RequestTypes: []config.RequestType{{Name: "availability"}}}
	}
	return s
}

func TestCallsAreCountedByConfiguredNames(t *testing.T) {
	r := NewRegistry()
	r.Calls.Configure(snapshot("stock", "logistics"))
	answered := func(service, outcome, reason string) {
		r.Calls.Series([]byte(service), []byte("availability")).Answered([]byte(outcome), []byte(reason), 3*time.Millisecond)
	}
	answered("stock", "ran", "")
	answered("stock", "ran", "")
	answered("stock", "not-run", "overload")
	answered("made up by a caller", "not-run", "unknown_service")
	text := scrape(t, r)
	require.Contains(t, text, `poplarwheel_calls_total{outcome="ran",service="stock",type="availability"} 2`)
	require.Contains(t, text, `poplarwheel_refusals_total{reason="overload",service="stock"} 1`)
	require.Contains(t, text, `poplarwheel_calls_total{outcome="not-run",service="other",type="other"} 1`)
	require.Contains(t, text, `poplarwheel_call_duration_seconds_bucket{service="stock",type="availability",le="0.005"} 3`)
	require.NotContains(t, text, "made up")

	r.Calls.Configure(snapshot("stock"))
	text = scrape(t, r)
	require.NotContains(t, text, `service="logistics"`)
	require.Contains(t, text, `poplarwheel_calls_total{outcome="ran",service="stock",type="availability"} 2`)
}

func TestPlatformCallsAreCounted(t *testing.T) {
	r := NewRegistry()
	server := platformd.NewServer()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	store := r.Platform.Count(platform.NewClient(listener.Addr().String(), 10*time.Second))
	version, err := store.Create("a", []byte("1"))
	require.NoError(t, err)
	_, err = store.Create("a", []byte("1"))
	require.Error(t, err)
	_, err = store.Update("a", version, []byte("2"))
	require.NoError(t, err)
	_, err = store.Get("b")
	require.Error(t, err)
	text := scrape(t, r)
	for _, expected := range []string{
		`poplarwheel_platform_calls_total{operation="create",result="ok"} 1`,
		`poplarwheel_platform_calls_total{operation="create",result="conflict"} 1`,
		`poplarwheel_platform_calls_total{operation="update",result="ok"} 1`,
		`poplarwheel_platform_calls_total{operation="get",result="not_found"} 1`,
	} {
		require.Contains(t, text, expected)
	}
}

// Names, units and help texts follow Prometheus' rules.
func TestMetricsPassTheLinter(t *testing.T) {
	r := NewRegistry()
	r.Calls.Configure(snapshot("stock"))
	r.Invariants()
	r.Services(func() []Service { return []Service{{Name: "stock", First: 1}} })
	r.Gauge("caller_connections", "Open connections of callers.", func() float64 { return 1 })
	r.Counter("probes_total", "Load reports asked for.", func() float64 { return 1 })
	text := scrape(t, r)
	problems, err := promlint.New(strings.NewReader(text)).Lint()
	require.NoError(t, err)
	for _, problem := range problems {
		require.NotRegexp(t, regexp.MustCompile("^poplarwheel_"), problem.Metric, problem.Text)
	}
	require.Contains(t, text, `poplarwheel_attempts_total{kind="first",service="stock"} 1`)
}

func TestCountingACallAllocatesNothing(t *testing.T) {
	r := NewRegistry()
	r.Calls.Configure(snapshot("stock"))
	service, requestType, outcome := []byte("stock"), []byte("availability"), []byte("ran")
	allocations := testing.AllocsPerRun(1000, func() {
		r.Calls.Series(service, requestType).Answered(outcome, nil, time.Millisecond)
	})
	require.Zero(t, allocations)
}
