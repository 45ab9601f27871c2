package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/load"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

// Summary is the result of a demo.
type Summary struct {
	// Total holds the results of all calls.
	Total load.Report `json:"total"`
	// Streams hold the results by request type.
	Streams []StreamSummary `json:"streams"`
	// Audit compares what callers were told with what targets ran.
	Audit Audit `json:"audit"`
	// Measuring is the cost of measuring.
	Measuring Measuring `json:"measuring"`
	// InForceMs is the longest time that a change of configuration took from the
	// operator's acceptance until it was in force on every entry VM, in
	// milliseconds. 0 means that the demo was too short for a change.
	InForceMs float64 `json:"in_force_ms"`
	// Broken names the invariants that did not hold.
	Broken []string `json:"broken"`
	// NotChecked names the invariants that the demo was too short to check.
	NotChecked []string `json:"not_checked"`
}

// StreamSummary holds the results of one request type.
type StreamSummary struct {
	Deployment string      `json:"deployment"`
	Service    string      `json:"service"`
	Type       string      `json:"type"`
	Report     load.Report `json:"report"`
}

// Measuring is the cost of measuring.
type Measuring struct {
	// Probes is the number of load reports asked for.
	Probes uint64 `json:"probes"`
	// Checks is the number of health checks.
	Checks uint64 `json:"checks"`
	// PerCall is the number of both for each call.
	PerCall float64 `json:"per_call"`
}

// summarize is called when everything has stopped.
func (d *demo) summarize(before map[invariant.Name]uint64, agreed bool) *Summary {
	summary := &Summary{Total: d.total(), Broken: []string{}, NotChecked: []string{}}
	for _, deployment := range d.deployments {
		deployment.addTo(summary)
	}
	if summary.Total.Calls > 0 {
		messages := summary.Measuring.Probes + summary.Measuring.Checks
		summary.Measuring.PerCall = float64(messages) / float64(summary.Total.Calls)
	}
	summary.judge(agreed)
	summary.judgeBreaches(before)
	return summary
}

func (d *deployment) addTo(summary *Summary) {
	journals := make([][]targetd.Run, 0, len(d.targets))
	for _, target := range d.targets {
		counts := target.target.Counts()
		summary.Measuring.Probes += counts.Probes
		summary.Measuring.Checks += counts.Checks
		journals = append(journals, target.target.Journal())
	}
	runs := runsByKey(journals...)
	for _, stream := range d.streams {
		stream.ledger.audit(runs, &summary.Audit)
		summary.Streams = append(summary.Streams, StreamSummary{
			Deployment: d.name,
			Service:    stream.service,
			Type:       stream.request.Name,
			Report:     stream.recorder.Report(),
		})
	}
	summary.InForceMs = max(summary.InForceMs, float64(d.inForceAfter)/float64(time.Millisecond))
	summary.require(d.reviseErr == nil, "%s: a change of configuration was not accepted: %v", d.name, d.reviseErr)
	d.judgeLeave(summary)
}

func (d *deployment) judgeLeave(summary *Summary) {
	late, checked := d.left.workAfter()
	if !checked {
		summary.NotChecked = append(summary.NotChecked, d.name+": a leaving target gets no new work")
		return
	}
	summary.require(late == 0, "%s: a leaving target got %d requests later than %s after it began to leave", d.name, late, leaveGrace)
}

func (s *Summary) judge(agreed bool) {
	s.require(s.Total.Calls > 0, "no call was answered")
	s.require(s.Total.Wrong == 0, "%d answers were not the request's own", s.Total.Wrong)
	s.require(s.Audit.RunTwice == 0, "%d non-idempotent requests ran twice", s.Audit.RunTwice)
	s.require(s.Audit.Lost == 0, "%d requests that callers were told had run are lost", s.Audit.Lost)
	s.require(s.Audit.NotRunButRan == 0, "%d requests that callers were told had not run ran", s.Audit.NotRunButRan)
	s.require(s.Audit.Cut == 0, "%d requests were cut off without an answer", s.Audit.Cut)
	s.require(agreed, "the accepted configuration is not in force on every entry VM")
}

// judgeBreaches adds the invariants that were breached inside the program.
func (s *Summary) judgeBreaches(before map[invariant.Name]uint64) {
	for name, count := range invariant.Breaches() {
		s.require(count == before[name], "invariant %s was breached %d times", name, count-before[name])
	}
}

func (s *Summary) require(ok bool, format string, args ...any) {
	if !ok {
		s.Broken = append(s.Broken, fmt.Sprintf(format, args...))
	}
}

// Held reports whether every invariant that was checked held.
func (s *Summary) Held() bool { return len(s.Broken) == 0 }

// WriteText writes the summary for people.
func (s *Summary) WriteText(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "\n%-10s %-10s %-17s %7s %9s %9s %9s\n", "team", "service", "request", "calls", "in time", "p50 ms", "p99 ms")
	for _, stream := range s.Streams {
		report := stream.Report
		fmt.Fprintf(&text, "%-10s %-10s %-17s %7d %8.2f%% %9.2f %9.2f\n", stream.Deployment, stream.Service, stream.Type,
			report.Calls, 100*report.InTimeShare(), report.LatencyMs.P50, report.LatencyMs.P99)
	}
	fmt.Fprintf(&text, "%-39s %7d %8.2f%% %9.2f %9.2f\n\n", "all", s.Total.Calls, 100*s.Total.InTimeShare(), s.Total.LatencyMs.P50, s.Total.LatencyMs.P99)
	fmt.Fprintf(&text, "measuring      %d load reports, %d health checks (%.3f a call)\n", s.Measuring.Probes, s.Measuring.Checks, s.Measuring.PerCall)
	fmt.Fprintf(&text, "configuration  a change was in force on every entry VM after %.0f ms\n", s.InForceMs)
	fmt.Fprintf(&text, "bookings       %d, run twice %d, lost %d, told not run but ran %d, unknown %d\n", s.Audit.Keys, s.Audit.RunTwice, s.Audit.Lost, s.Audit.NotRunButRan, s.Audit.Unknown)
	fmt.Fprintf(&text, "answers        wrong %d, cut off %d\n", s.Total.Wrong, s.Audit.Cut)
	for _, name := range s.NotChecked {
		fmt.Fprintf(&text, "not checked    %s\n", name)
	}
	for _, broken := range s.Broken {
		fmt.Fprintf(&text, "BROKEN         %s\n", broken)
	}
	if s.Held() {
		text.WriteString("every invariant that was checked held\n")
	}
	_, err := io.WriteString(w, text.String())
	return err
}
