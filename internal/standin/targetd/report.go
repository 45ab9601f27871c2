package targetd

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// pastReport is a load report and when it was true.
type pastReport struct {
	at     time.Time
	report wire.LoadReport
}

// load returns a load report as old as the options ask for.
func (t *Target) load(now time.Time) wire.LoadReport {
	current := wire.LoadReport{
		InFlight:  t.InFlight(),
		Slots:     t.options.Slots,
		LatencyMs: float64(t.latency()) / float64(time.Millisecond),
		Leaving:   t.faults.Load().Leaving,
	}
	reported := t.lagged(now, current)
	if t.faults.Load().LieIdle {
		reported.InFlight = 0
	}
	return reported
}

// lagged records the current report and returns the newest that is old enough.
func (t *Target) lagged(now time.Time, current wire.LoadReport) wire.LoadReport {
	if t.options.ReportLag <= 0 {
		return current
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports = append(t.reports, pastReport{at: now, report: current})
	horizon := now.Add(-t.options.ReportLag)
	for len(t.reports) > 1 && !t.reports[1].at.After(horizon) {
		t.reports = t.reports[1:]
	}
	return t.reports[0].report
}
