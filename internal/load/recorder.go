package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarwheel/poplarwheel/client"
)

const (
	// maxLatencyMicros is the highest latency recorded, in microseconds. Higher
	// ones are recorded as this value.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of recorded latencies in decimal digits.
	significantDigits = 3
)

// Recorder counts results and records latencies. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	response *hdrhistogram.Histogram
	inTime   int64
	wrong    int64
	resends  int64
	outcomes map[client.Outcome]int64
	reasons  map[string]int64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		latency:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		response: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		outcomes: map[client.Outcome]int64{},
		reasons:  map[string]int64{},
	}
}

// Record adds the result of one request: intended and sent are its intended and
// actual send times, completed is when its result was known. The result counts as
// in time if it is correct and completed no later than within after intended.
func (r *Recorder) Record(result Result, intended, sent, completed time.Time, within time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.latency.RecordValue(clampMicros(completed.Sub(intended)))
	_ = r.response.RecordValue(clampMicros(completed.Sub(sent)))
	r.outcomes[result.Outcome]++
	r.resends += int64(result.Resends)
	if result.Reason != "" {
		r.reasons[result.Reason]++
	}
	if result.Outcome == client.Ran && !result.Correct {
		r.wrong++
	}
	if result.Correct && completed.Sub(intended) <= within {
		r.inTime++
	}
}

// clampMicros converts a latency to microseconds within the histogram's range.
func clampMicros(latency time.Duration) int64 {
	return min(max(latency.Microseconds(), 1), maxLatencyMicros)
}

// Merge adds the results of another recorder.
func (r *Recorder) Merge(other *Recorder) {
	other.mu.Lock()
	defer other.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latency.Merge(other.latency)
	r.response.Merge(other.response)
	r.inTime += other.inTime
	r.wrong += other.wrong
	r.resends += other.resends
	for outcome, count := range other.outcomes {
		r.outcomes[outcome] += count
	}
	for reason, count := range other.reasons {
		r.reasons[reason] += count
	}
}

// Report summarizes the results recorded so far.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Report{
		Calls:      r.latency.TotalCount(),
		InTime:     r.inTime,
		Wrong:      r.wrong,
		Resends:    r.resends,
		Outcomes:   maps.Clone(r.outcomes),
		Reasons:    maps.Clone(r.reasons),
		LatencyMs:  percentiles(r.latency),
		ResponseMs: percentiles(r.response),
	}
}
