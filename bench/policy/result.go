package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// result is what a row cost and how long its calls took.
type result struct {
	latencies *hdrhistogram.Histogram
	calls     uint64
	inTime    uint64
	// sent counts all calls, those of the warm-up included.
	sent uint64
	// requests are the attempts that reached targets.
	requests uint64
	// probes are load reports and health checks asked for.
	probes uint64
	// riderBytes are the bytes of load reports on answers.
	riderBytes uint64
	// hedges and retries are extra attempts.
	hedges uint64
	cpu    time.Duration
}

func (r *result) merge(other result) {
	if r.latencies == nil {
		r.latencies = other.latencies
	} else {
		r.latencies.Merge(other.latencies)
	}
	r.calls += other.calls
	r.inTime += other.inTime
	r.sent += other.sent
	r.requests += other.requests
	r.probes += other.probes
	r.riderBytes += other.riderBytes
	r.hedges += other.hedges
	r.cpu += other.cpu
}

func (r *result) quantileMs(percent float64) float64 {
	return float64(r.latencies.ValueAtQuantile(percent)) / 1000
}

func (r *result) perCall(count uint64) float64 {
	if r.sent == 0 {
		return 0
	}
	return float64(count) / float64(r.sent)
}

func (r *result) extra() float64 {
	if r.requests < r.sent {
		return 0
	}
	return r.perCall(r.requests - r.sent)
}

func (r row) label() string {
	if r.hedgeAfter > 0 {
		return fmt.Sprintf("%s+hedge%d", r.policy, r.hedgeAfter.Milliseconds())
	}
	return r.policy
}

// print writes a table for people and one line of key=value pairs for each row.
func print(t table, results []result) {
	fmt.Printf("\n%s: %s, %d entry VMs\n", t.name, t.deployment.name, t.deployment.entryVMs)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tfaults\tload\tk\tp50 ms\tp99 ms\tp99.9 ms\tin time\tprobes/call\treport B/call\textra attempts/call\tCPU µs/call\tcalls\t")
	for i, row := range t.rows {
		r := &results[i]
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.3f\t%.1f\t%.4f\t%.0f\t%d\t\n",
			row.label(), row.faults.name, row.load, row.k, r.quantileMs(50), r.quantileMs(99), r.quantileMs(99.9),
			float64(r.inTime)/float64(r.calls), r.perCall(r.probes), r.perCall(r.riderBytes), r.extra(),
			float64(r.cpu.Microseconds())/float64(r.sent), r.calls)
	}
	_ = w.Flush()
	for i, row := range t.rows {
		r := &results[i]
		fmt.Printf("table=%s policy=%s faults=%s load=%.2f k=%d p50_ms=%.1f p99_ms=%.1f p999_ms=%.1f in_time=%.4f cost_msgs_per_call=%.3f cost_bytes_per_call=%.1f extra_attempts_per_call=%.4f cpu_us_per_call=%.0f calls=%d\n",
			t.name, row.label(), row.faults.name, row.load, row.k, r.quantileMs(50), r.quantileMs(99), r.quantileMs(99.9),
			float64(r.inTime)/float64(r.calls), r.perCall(r.probes), r.perCall(r.riderBytes), r.extra(),
			float64(r.cpu.Microseconds())/float64(r.sent), r.calls)
	}
}
