package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarwheel/poplarwheel/client"
)

// Report holds the results of a run.
type Report struct {
	// Calls is the number of requests with an end.
	Calls int64 `json:"calls"`
	// InTime is the number answered correctly within the agreed time.
	InTime int64 `json:"in_time"`
	// Wrong is the number of answers that are not the request's own.
	Wrong int64 `json:"wrong"`
	// Resends is the number of requests sent again.
	Resends int64 `json:"resends"`
	// Outcomes counts what callers were told.
	Outcomes map[client.Outcome]int64 `json:"outcomes"`
	// Reasons counts the reason codes of answers that entry daemons made.
	Reasons map[string]int64 `json:"reasons"`
	// LatencyMs is measured from the intended time of sending.
	LatencyMs Percentiles `json:"latency_ms"`
	// ResponseMs is measured from the actual time of sending. It leaves out the
	// wait of requests that were sent late.
	ResponseMs Percentiles `json:"response_ms"`
}

// Percentiles are points of a distribution, in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

const microsPerMilli = 1000.0

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	at := func(percentile float64) float64 {
		return float64(histogram.ValueAtPercentile(percentile)) / microsPerMilli
	}
	return Percentiles{
		P50:  at(50),
		P90:  at(90),
		P99:  at(99),
		P999: at(99.9),
		Max:  float64(histogram.Max()) / microsPerMilli,
	}
}

// InTimeShare returns the share of calls answered correctly in time.
func (r Report) InTimeShare() float64 {
	if r.Calls == 0 {
		return 0
	}
	return float64(r.InTime) / float64(r.Calls)
}

// WriteText writes the report for people.
func (r Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "calls        %d\nin time      %d (%.2f %%)\nwrong        %d\nresends      %d\noutcomes     %s\nreasons      %s\nlatency ms   %s (from the intended time)\nresponse ms  %s (from the time of sending)\n",
		r.Calls, r.InTime, 100*r.InTimeShare(), r.Wrong, r.Resends, counts(r.Outcomes), counts(r.Reasons), r.LatencyMs, r.ResponseMs)
	return err
}

// String returns the percentiles on one line.
func (p Percentiles) String() string {
	return fmt.Sprintf("p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f", p.P50, p.P90, p.P99, p.P999, p.Max)
}

// counts returns the counts on one line, ordered by key.
func counts[K ~string](values map[K]int64) string {
	if len(values) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %d", key, values[key]))
	}
	return strings.Join(parts, ", ")
}
