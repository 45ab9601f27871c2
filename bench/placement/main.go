// Command placement plays loads in virtual time and compares the placement of requests
// with choices that know nothing or everything.
package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/emulator"
)

func main() {
	seeds := 5
	plot := ""
	flaggy.SetName("placement")
	flaggy.SetDescription("compares ways to place requests, in virtual time")
	flaggy.Int(&seeds, "s", "seeds", "number of plays of each load")
	flaggy.String(&plot, "p", "plot", "file for a plot (SVG) of the answers in time, by window")
	flaggy.Parse()
	if err := run(seeds, plot); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// row sums the plays of a load with a policy.
type row struct {
	result  *emulator.Result
	inTime  float64
	served  float64
	worst   float64
	p50     float64
	p99     float64
	probes  float64
	windows []float64
}

func run(seeds int, plot string) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "load\tpolicy\tin time\tserved\tworst windows\tp50 ms\tp99 ms\tprobes a request")
	var rows []row
	for _, load := range slices.Concat(emulator.Loads(), emulator.MuteLoads()) {
		for _, policy := range emulator.Policies() {
			r := play(load, policy, seeds)
			rows = append(rows, r)
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f\n",
				load.Name, policy, r.inTime, r.served, r.worst, r.p50, r.p99, r.probes)
		}
	}
	if err := table.Flush(); err != nil || plot == "" {
		return err
	}
	return os.WriteFile(plot, draw(rows), 0o644)
}

func play(load emulator.Load, policy emulator.Policy, seeds int) row {
	r := row{}
	for seed := range seeds {
		result := emulator.Play(load, policy, uint64(seed)+1)
		total := result.Total()
		part := 1 / float64(seeds)
		r.result = result
		r.inTime += part * total.Share()
		r.served += part * float64(total.Answered) / float64(total.Asked)
		r.worst += part * result.Worst()
		r.p50 += part * result.Quantile(0.5).Seconds() * 1000
		r.p99 += part * result.Quantile(0.99).Seconds() * 1000
		r.probes += part * float64(result.Probes) / float64(total.Asked)
		if r.windows == nil {
			r.windows = make([]float64, len(result.Spans))
		}
		for i, span := range result.Spans {
			r.windows[i] += part * span.Share()
		}
	}
	return r
}
