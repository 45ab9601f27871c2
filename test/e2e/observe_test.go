package e2e

import (
	"encoding/json"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/load"
)

const calls = 40

func TestCallsAreSeenInMetricsAndDump(t *testing.T) {
	f := startFleet(t, 2, 3)
	revision := f.accept(t)
	caller := client.New(client.Options{Bootstrap: []string{f.EntryAddress(0)}, Service: "stock"})
	for range calls {
		answer, err := caller.Do(client.Request{Type: "availability", Path: "/availability", Timeout: 5 * time.Second})
		require.NoError(t, err)
		require.Equal(t, client.Ran, answer.Outcome)
	}
	counted, attempts := 0.0, 0.0
	for i := range f.entries {
		text := f.metrics(t, i)
		counted += sample(t, text, `poplarwheel_calls_total{outcome="ran",service="stock",type="availability"}`)
		attempts += sample(t, text, `poplarwheel_attempts_total{kind="first",service="stock"}`)
		require.Equal(t, float64(revision), sample(t, text, "poplarwheel_configuration_revision"))
		require.Equal(t, 3.0, sample(t, text, `poplarwheel_targets{service="stock"}`))
		require.Positive(t, sample(t, text, `poplarwheel_platform_calls_total{operation="watch",result="ok"}`))
		require.NotContains(t, text, "poplarwheel_invariant_breaches_total{")
		dump, err := f.Dump(i)
		require.NoError(t, err)
		require.Contains(t, dump.Sections, "services")
		require.Contains(t, dump.Sections, "invariant_breaches")
	}
	require.Equal(t, float64(calls), counted)
	require.Equal(t, float64(calls), attempts)
}

func TestLoadReportsPercentiles(t *testing.T) {
	f := startFleet(t, 2, 3)
	f.accept(t)
	var report load.Report
	output := f.run(t, nil, "load", "--entries", f.EntryAddress(0)+","+f.EntryAddress(1), "--service", "stock", "--type", "book",
		"--once", "--resends", "3", "--rate", "100", "--duration", "1s", "--within-ms", "5000", "--arrivals", "constant", "--json")
	require.NoError(t, json.Unmarshal(output, &report))
	require.Equal(t, int64(99), report.Calls)
	require.Equal(t, report.Calls, report.Outcomes[client.Ran])
	require.Zero(t, report.Wrong)
	require.Positive(t, report.LatencyMs.P50)
	require.GreaterOrEqual(t, report.LatencyMs.P99, report.LatencyMs.P50)
	runs := 0
	for i := range f.targets {
		runs += len(f.journal(t, i))
	}
	require.Equal(t, 99, runs)
}

func (f *fleet) metrics(t *testing.T, i int) string {
	t.Helper()
	url := "http://" + f.AdminAddress(i) + daemon.PathMetrics
	status, body, err := fasthttp.GetTimeout(nil, url, settleTimeout)
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusOK, status)
	return string(body)
}

// sample returns the value of one line of metrics.
func sample(t *testing.T, text, name string) float64 {
	t.Helper()
	match := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (.*)$`).FindStringSubmatch(text)
	require.NotNil(t, match, "%s in %s", name, text)
	value, err := strconv.ParseFloat(match[1], 64)
	require.NoError(t, err)
	return value
}
