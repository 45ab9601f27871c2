package load

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/client"
)

// With one request in flight at a time, a stalled request delays those behind it, and
// the latency of each must include its delay.
func TestStallAddsToLatencyOfDelayedRequests(t *testing.T) {
	recorder := NewRecorder()
	options := Options{PerSecond: 100, Duration: 300 * time.Millisecond, Arrivals: Constant, Within: 50 * time.Millisecond, MaxInFlight: 1}
	Run(context.Background(), options, recorder, func(_ context.Context, n uint64) Result {
		if n == 0 {
			time.Sleep(250 * time.Millisecond)
		}
		return Result{Outcome: client.Ran, Correct: true}
	})
	report := recorder.Report()
	require.Equal(t, int64(29), report.Calls)
	// Requests 0 to 19 were intended for 10 to 200 ms. Request 0 completes at
	// 260 ms, so the others are sent then or later.
	require.LessOrEqual(t, report.InTime, int64(9))
	require.GreaterOrEqual(t, report.LatencyMs.P50, 50.0)
}

func TestPoissonArrivalsAreDeterministicForASeed(t *testing.T) {
	options := Options{PerSecond: 1000, Arrivals: Poisson, Seed: 7}
	first, second := newIntervals(options), newIntervals(options)
	var sum time.Duration
	for range 2000 {
		interval := first.next()
		require.Equal(t, interval, second.next())
		sum += interval
	}
	require.InDelta(t, 2.0, sum.Seconds(), 0.2)
}

func TestReportCountsOutcomes(t *testing.T) {
	recorder, other := NewRecorder(), NewRecorder()
	start := time.Now()
	record := func(r *Recorder, result Result, latency time.Duration) {
		r.Record(result, start, start, start.Add(latency), time.Second)
	}
	record(recorder, Result{Outcome: client.Ran, Correct: true}, time.Millisecond)
	record(recorder, Result{Outcome: client.Ran, Correct: true}, 2*time.Second)
	record(recorder, Result{Outcome: client.Ran}, time.Millisecond)
	record(other, Result{Outcome: client.NotRun, Reason: "overload", Resends: 2}, time.Millisecond)
	recorder.Merge(other)
	report := recorder.Report()
	require.Equal(t, int64(4), report.Calls)
	require.Equal(t, int64(1), report.InTime)
	require.Equal(t, int64(1), report.Wrong)
	require.Equal(t, int64(2), report.Resends)
	require.Equal(t, map[client.Outcome]int64{client.Ran: 3, client.NotRun: 1}, report.Outcomes)

	var text bytes.Buffer
	require.NoError(t, report.WriteText(&text))
	require.Contains(t, text.String(), "not-run 1, ran 3")
	encoded, err := json.Marshal(report)
	require.NoError(t, err)
	require.Contains(t, string(encoded), `"p99.9"`)
}
