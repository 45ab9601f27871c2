package hedging

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// timesSections and sectionLength define the sliding window of response times. It must
	// be short enough to follow the load and long enough to hold some stragglers.
	timesSections = 4
	sectionLength = 5 * time.Second
	// unitsPerServiceTime is the resolution: one expected service time in histogram units.
	unitsPerServiceTime = 100
	// maxRecorded is the highest recorded value, in histogram units. Longer times and those of
	// canceled attempts count as maxRecorded.
	maxRecorded = 100 * unitsPerServiceTime
	// timesDigits is the number of significant digits; the histograms of a service take 40 kB.
	timesDigits = 2
	// minTimes is the number of response times below which the quantile is unknown.
	minTimes = 30
	// minSlowTimes is the number of slower response times below which the remaining time is
	// unknown.
	minSlowTimes = 3
	// refreshInterval is the interval at which the quantile and the distribution are computed
	// again.
	refreshInterval = 250 * time.Millisecond
	// overdueQuantile is the quantile of the response times from which an attempt is overdue.
	overdueQuantile = 0.95
)

// Times holds the recent response times of a service, relative to the expected service time
// of each request, so that fast and slow routes of a service can share one histogram.
type Times struct {
	window      *hdrhistogram.WindowedHistogram
	sectionEnd  time.Time
	refreshAt   time.Time
	overdue     float64
	distributed []hdrhistogram.Bar
}

// NewTimes returns an empty distribution.
func NewTimes() *Times {
	return &Times{window: hdrhistogram.NewWindowed(timesSections, 1, maxRecorded, timesDigits)}
}

// Record adds the response time of a request.
func (t *Times) Record(now time.Time, took, serviceTime time.Duration) {
	t.record(now, relative(took, serviceTime)*unitsPerServiceTime)
}

// RecordOvertaken adds an attempt that was canceled because its hedge was answered first, or
// because the deadline had come. How long it would have taken is unknown; it counts as longer than any response time. If it were
// left out, the recorded times would shrink with each hedge, and ever more attempts would be
// overdue.
func (t *Times) RecordOvertaken(now time.Time) { t.record(now, maxRecorded) }

func (t *Times) record(now time.Time, units float64) {
	t.advance(now)
	value := int64(math.Min(math.Max(units, 1), maxRecorded))
	_ = t.window.Current.RecordValue(value) // cannot fail for a value in range
}

// advance starts a new section of the window if the current one has ended.
func (t *Times) advance(now time.Time) {
	if now.Before(t.sectionEnd) {
		return
	}
	sections := timesSections
	if !t.sectionEnd.IsZero() {
		sections = min(int(now.Sub(t.sectionEnd)/sectionLength)+1, timesSections)
	}
	for range sections {
		t.window.Rotate()
	}
	t.sectionEnd = now.Add(sectionLength)
}

// refresh computes the quantile and the distribution again if they are old.
func (t *Times) refresh(now time.Time) {
	if now.Before(t.refreshAt) {
		return
	}
	t.refreshAt = now.Add(refreshInterval)
	t.advance(now)
	merged := t.window.Merge()
	t.overdue = 0
	t.distributed = nil
	if merged.TotalCount() < minTimes {
		return
	}
	t.overdue = float64(merged.ValueAtPercentile(100*overdueQuantile)) / unitsPerServiceTime
	t.distributed = merged.Distribution()
}

// Overdue returns the time from which an attempt is overdue, relative to its expected service
// time. It is false while too few response times are known.
func (t *Times) Overdue(now time.Time) (float64, bool) {
	t.refresh(now)
	return t.overdue, t.overdue > 0
}

// StillRunning returns the probability that an attempt that has run for the elapsed time is
// still running after another period. It is 1 if it is unknown.
func (t *Times) StillRunning(now time.Time, elapsed, another, serviceTime time.Duration) float64 {
	t.refresh(now)
	since := relative(elapsed, serviceTime) * unitsPerServiceTime
	until := relative(elapsed+another, serviceTime) * unitsPerServiceTime
	slower, stillRunning := int64(0), int64(0)
	for _, bar := range t.distributed {
		if float64(bar.To) > since {
			slower += bar.Count
		}
		if float64(bar.To) > until {
			stillRunning += bar.Count
		}
	}
	if slower < minSlowTimes {
		return 1
	}
	return float64(stillRunning) / float64(slower)
}

func relative(took, serviceTime time.Duration) float64 {
	return float64(took) / float64(max(serviceTime, time.Millisecond))
}
