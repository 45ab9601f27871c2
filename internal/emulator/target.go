package emulator

import (
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// target is an emulated server with a few slots whose speed changes.
type target struct {
	simulation *simulation
	index      int
	zone       int
	running    []*execution
	queued     []*execution
	// slow is set while other workloads on the same host slow the target down.
	slow bool
	// progressAt is when the progress of the running requests was last updated.
	progressAt time.Time
	// completionID identifies the scheduled completion; a later one invalidates it.
	completionID int
}

func newTarget(s *simulation, index int) *target {
	t := &target{simulation: s, index: index, zone: index % s.scenario.Zones, progressAt: s.now}
	s.schedule(time.Duration(s.rng.Float64()*float64(s.scenario.SlowDuration)), t.redrawSpeed)
	return t
}

// redrawSpeed decides randomly whether the target is slow in the next period.
func (t *target) redrawSpeed() {
	t.updateProgress()
	t.slow = t.simulation.rng.Float64() < t.simulation.scenario.SlowShare
	t.scheduleCompletion()
	if t.simulation.now.Sub(t.simulation.start) < 2*t.simulation.scenario.ArrivalPeriod {
		t.simulation.schedule(t.simulation.scenario.SlowDuration, t.redrawSpeed)
	}
}

// slowness returns the execution time relative to the usual, without the effect of the
// target's own load.
func (t *target) slowness() float64 {
	if t.slow {
		return t.simulation.scenario.SlowFactor
	}
	return 1
}

// currentSlowness returns the execution time relative to the usual, including the
// effect of the target's own load.
func (t *target) currentSlowness() float64 {
	currentSlowness := t.slowness()
	if float64(len(t.running)) >= t.simulation.scenario.SaturationShare*float64(t.simulation.scenario.Slots) {
		currentSlowness *= t.simulation.scenario.SaturationFactor
	}
	return currentSlowness
}

// updateProgress brings the progress of the running requests up to date.
func (t *target) updateProgress() {
	done := time.Duration(float64(t.simulation.now.Sub(t.progressAt)) / t.currentSlowness())
	for _, e := range t.running {
		e.remaining -= done
	}
	t.progressAt = t.simulation.now
}

// accept starts or queues a request and reports whether there was room.
func (t *target) accept(e *execution) bool {
	t.updateProgress()
	switch {
	case len(t.running) < t.simulation.scenario.Slots:
		t.running = append(t.running, e)
	case len(t.queued) < t.simulation.scenario.QueueSize:
		t.queued = append(t.queued, e)
	default:
		return false
	}
	t.scheduleCompletion()
	return true
}

// remove cancels a request whose connection was closed.
func (t *target) remove(e *execution) {
	t.updateProgress()
	t.queued = slices.DeleteFunc(t.queued, func(other *execution) bool { return other == e })
	t.running = slices.DeleteFunc(t.running, func(other *execution) bool { return other == e })
	t.startQueued()
	t.scheduleCompletion()
}

func (t *target) startQueued() {
	for len(t.running) < t.simulation.scenario.Slots && len(t.queued) > 0 {
		t.running = append(t.running, t.queued[0])
		t.queued = t.queued[1:]
	}
}

// scheduleCompletion schedules the end of the request that completes next.
func (t *target) scheduleCompletion() {
	t.completionID++
	if len(t.running) == 0 {
		return
	}
	shortest := t.running[0].remaining
	for _, e := range t.running {
		shortest = min(shortest, e.remaining)
	}
	completionID := t.completionID
	t.simulation.schedule(time.Duration(float64(max(shortest, 0))*t.currentSlowness())+1, func() {
		if t.completionID == completionID {
			t.complete()
		}
	})
}

// complete ends the requests that have no remaining work.
func (t *target) complete() {
	t.updateProgress()
	var done []*execution
	t.running = slices.DeleteFunc(t.running, func(e *execution) bool {
		if e.remaining > 0 {
			return false
		}
		done = append(done, e)
		return true
	})
	t.startQueued()
	t.scheduleCompletion()
	for _, e := range done {
		e.ended()
	}
}

// report returns the target's load report, or nil if it does not report its load.
func (t *target) report() *placement.Report {
	if t.simulation.scenario.NoReports {
		return nil
	}
	return &placement.Report{
		Running:  len(t.running),
		Waiting:  len(t.queued),
		Slots:    t.simulation.scenario.Slots,
		Slowness: t.slowness(),
	}
}
