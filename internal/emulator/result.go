package emulator

import (
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/hedging"
	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// WindowLength is the length of the windows over which results are aggregated.
const WindowLength = 2 * time.Second

// Window counts the callers whose first try arrived in one window.
type Window struct {
	Callers, InTime, Answered int
}

// InTimeShare returns the share of callers that were answered in time.
func (w Window) InTimeShare() float64 {
	if w.Callers == 0 {
		return 1
	}
	return float64(w.InTime) / float64(w.Callers)
}

// Result is the outcome of a simulation run for its callers.
type Result struct {
	Scenario Scenario
	Policy   Policy
	Windows  []Window
	// Workspaces counts the callers of each workspace that came in the burst.
	Workspaces []Window
	// Probes and Sends count what the daemons sent to targets.
	Probes, Sends int
	// Hedges counts the sends of requests that had another attempt in flight.
	Hedges int

	latencies []time.Duration
	pools     []*placement.Pool
}

func newResult(scenario Scenario, policy Policy) *Result {
	return &Result{
		Scenario:   scenario,
		Policy:     policy,
		Windows:    make([]Window, int(scenario.ArrivalPeriod/WindowLength)+1),
		Workspaces: make([]Window, max(scenario.Workspaces, 1)),
	}
}

// windowsOf returns the windows that count a caller of a workspace who came at the given time.
func (r *Result) windowsOf(workspace int, at time.Duration) []*Window {
	windows := []*Window{&r.Windows[int(at/WindowLength)]}
	if at >= r.Scenario.BurstStart && at < r.Scenario.BurstStart+r.Scenario.BurstDuration {
		windows = append(windows, &r.Workspaces[workspace])
	}
	return windows
}

func (r *Result) answered(workspace int, at, took time.Duration) {
	for _, window := range r.windowsOf(workspace, at) {
		window.Callers++
		window.Answered++
		if took <= r.Scenario.Objective {
			window.InTime++
		}
	}
	r.latencies = append(r.latencies, took)
}

func (r *Result) failed(workspace int, at time.Duration) {
	for _, window := range r.windowsOf(workspace, at) {
		window.Callers++
	}
}

func (r *Result) recordSend(a *placement.Attempt) {
	r.Sends++
	if a.IsHedge() {
		r.Hedges++
	}
}

// Suppressed returns the number of slow attempts that were not hedged, by reason.
func (r *Result) Suppressed() map[hedging.Reason]uint64 {
	suppressed := map[hedging.Reason]uint64{}
	for _, pool := range r.pools {
		if counts := pool.HedgeCounts(); counts != nil {
			for reason, count := range counts.Suppressed {
				suppressed[reason] += count
			}
		}
	}
	return suppressed
}

// Total returns the sums over all windows.
func (r *Result) Total() Window {
	var total Window
	for _, window := range r.Windows {
		total.Callers += window.Callers
		total.InTime += window.InTime
		total.Answered += window.Answered
	}
	return total
}

// WorstWindowsShare returns the mean in-time share of the two worst windows.
func (r *Result) WorstWindowsShare() float64 {
	var shares []float64
	for _, window := range r.Windows {
		if window.Callers > 0 {
			shares = append(shares, window.InTimeShare())
		}
	}
	slices.Sort(shares)
	if len(shares) < 2 {
		return 1
	}
	return (shares[0] + shares[1]) / 2
}

// Quantile returns a quantile of the response times.
func (r *Result) Quantile(quantile float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[min(int(quantile*float64(len(r.latencies))), len(r.latencies)-1)]
}
