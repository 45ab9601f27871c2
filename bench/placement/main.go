// Command placement simulates scenarios in virtual time and compares the placement of
// requests with policies that have no information or complete information.
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
	hedging := false
	flaggy.SetName("placement")
	flaggy.SetDescription("compares request placement policies in virtual time")
	flaggy.Int(&seeds, "s", "seeds", "number of simulation runs for each scenario")
	flaggy.String(&plot, "p", "plot", "file for an SVG plot of the share of callers answered in time, by window")
	flaggy.Bool(&hedging, "", "hedging", "compares limits on hedges instead of policies")
	flaggy.Parse()
	if hedging {
		compareHedging(seeds)
		return
	}
	if err := run(seeds, plot); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// summary holds averages over the simulation runs of a scenario with a policy.
type summary struct {
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
	fmt.Fprintln(table, "scenario\tpolicy\tin time\tserved\tworst windows\tp50 ms\tp99 ms\tprobes per request")
	var rows []summary
	for _, scenario := range slices.Concat(emulator.Scenarios(), emulator.NonReportingScenarios()) {
		for _, policy := range emulator.Policies() {
			s := simulate(scenario, policy, seeds)
			rows = append(rows, s)
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.1f\n",
				scenario.Name, policy, s.inTime, s.served, s.worst, s.p50, s.p99, s.probes)
		}
	}
	if err := table.Flush(); err != nil || plot == "" {
		return err
	}
	return os.WriteFile(plot, drawSVG(rows), 0o644)
}

func simulate(scenario emulator.Scenario, policy emulator.Policy, seeds int) summary {
	s := summary{}
	for seed := range seeds {
		result := emulator.Simulate(scenario, policy, uint64(seed)+1)
		total := result.Total()
		weight := 1 / float64(seeds)
		s.result = result
		s.inTime += weight * total.InTimeShare()
		s.served += weight * float64(total.Answered) / float64(total.Callers)
		s.worst += weight * result.WorstWindowsShare()
		s.p50 += weight * result.Quantile(0.5).Seconds() * 1000
		s.p99 += weight * result.Quantile(0.99).Seconds() * 1000
		s.probes += weight * float64(result.Probes) / float64(total.Callers)
		if s.windows == nil {
			s.windows = make([]float64, len(result.Windows))
		}
		for i, window := range result.Windows {
			s.windows[i] += weight * window.InTimeShare()
		}
	}
	return s
}
