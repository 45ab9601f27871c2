package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// result is what a row cost and how long its calls took.
type result struct {
	*tally
	// occupied says how slots and queues were filled.
	occupied occupancy
	// sent counts all calls, those of the warm-up included.
	sent uint64
	// requests are the attempts that reached targets.
	requests uint64
	// probes are load reports and health checks asked for.
	probes uint64
	// probeBytes are the bytes of probes and their answers.
	probeBytes uint64
	// reportBytes are the bytes of load reports on answers.
	reportBytes uint64
	// cpu is the processor time of the whole process, callers and targets
	// included.
	cpu time.Duration
}

func (r *result) merge(other result) {
	if r.tally == nil {
		r.tally = other.tally
	} else {
		r.tally.merge(other.tally)
	}
	r.occupied.merge(other.occupied)
	r.sent += other.sent
	r.requests += other.requests
	r.probes += other.probes
	r.probeBytes += other.probeBytes
	r.reportBytes += other.reportBytes
	r.cpu += other.cpu
}

// disturbed reports whether the host held the generator itself up.
func (r *result) disturbed(maxLag time.Duration) bool { return r.lagMs() > maxLag.Seconds()*1000 }

func (r *result) lagMs() float64 { return float64(r.lags.ValueAtQuantile(99.9)) / 1000 }

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

// occupation is what the samples of a row and its lost calls say of capacity.
func (r *result) occupation() string {
	o := &r.occupied
	return fmt.Sprintf("idle_slots=%.2f stranded_slots=%.2f waiting=%.1f beyond_slots=%.1f ejected=%.2f cold=%.2f lost=%v",
		o.mean(o.idle), o.mean(o.stranded), o.mean(o.waiting), o.mean(o.beyond), o.mean(o.ejected), o.mean(o.cold), r.lost)
}

func (r row) label() string {
	label := r.policy
	if r.queue {
		label += "+queue"
	}
	if r.hedgeAfter > 0 {
		label += fmt.Sprintf("+hedge%d", r.hedgeAfter.Milliseconds())
	}
	return label
}

// columns are the figures of a row, as printed.
type columns struct {
	policy, faults                            string
	load                                      float64
	k                                         int
	p50, p99, p999                            float64
	inTime                                    float64
	probes, probeBytes, reportBytes, attempts float64
	cpu                                       float64
	calls                                     uint64
}

func (r *result) columns(row row) columns {
	return columns{
		policy: row.label(), faults: row.faults.name, load: row.load, k: row.k,
		p50: r.quantileMs(50), p99: r.quantileMs(99), p999: r.quantileMs(99.9),
		inTime: float64(r.inTime) / float64(r.calls),
		probes: r.perCall(r.probes), probeBytes: r.perCall(r.probeBytes), reportBytes: r.perCall(r.reportBytes),
		attempts: r.extra(),
		cpu:      float64(r.cpu.Microseconds()) / float64(r.sent),
		calls:    r.calls,
	}
}

// print writes a table for people and one line of key=value pairs for each row.
func print(t table, results []result) {
	fmt.Printf("\n%s: %s, %d entry VMs\n\n", t.name, t.deployment.name, t.deployment.entryVMs)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.Debug)
	_, _ = fmt.Fprintln(w, "| policy\t faults\t load\t k\t p50 ms\t p99 ms\t p99.9 ms\t in time\t probes a call\t probe B a call\t report B a call\t extra attempts a call\t CPU µs a call\t calls\t")
	_, _ = fmt.Fprintln(w, "|---"+strings.Repeat("\t---", 13)+"\t")
	for i, row := range t.rows {
		c := results[i].columns(row)
		_, _ = fmt.Fprintf(w, "| %s\t %s\t %.2f\t %d\t %.1f\t %.1f\t %.1f\t %.4f\t %.3f\t %.1f\t %.1f\t %.4f\t %.0f\t %d\t\n",
			c.policy, c.faults, c.load, c.k, c.p50, c.p99, c.p999, c.inTime, c.probes, c.probeBytes, c.reportBytes, c.attempts, c.cpu, c.calls)
	}
	_ = w.Flush()
	fmt.Println()
	for i, row := range t.rows {
		c := results[i].columns(row)
		fmt.Printf("table=%s policy=%s faults=%s load=%.2f k=%d p50_ms=%.1f p99_ms=%.1f p999_ms=%.1f in_time=%.4f cost_msgs_per_call=%.3f cost_bytes_per_call=%.1f extra_attempts_per_call=%.4f cpu_us_per_call=%.0f calls=%d generator_lag_ms=%.1f %s\n",
			t.name, c.policy, c.faults, c.load, c.k, c.p50, c.p99, c.p999, c.inTime, c.probes, c.probeBytes+c.reportBytes, c.attempts, c.cpu, c.calls, results[i].lagMs(), results[i].occupation())
	}
}
