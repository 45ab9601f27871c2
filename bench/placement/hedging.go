package main

import (
	"fmt"
	"os"
	"sync"
	"text/tabwriter"

	"github.com/poplarwheel/poplarwheel/internal/emulator"
)

// firstHedgingSeed is the seed of the first run. The tests of internal/emulator use the same.
const firstHedgingSeed = 101

// hedgeRatios are the compared limits; 0 means that only the retry budget limits hedges.
var hedgeRatios = []float64{0, 0.02, 0.05, 0.1}

// hedgingMeans holds means over the simulation runs of a scenario.
type hedgingMeans struct {
	p50, p99, p999, extra, inTime, served float64
}

// compareHedging prints what callers see in the hedging scenarios with each limit.
func compareHedging(seeds int) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\treports\thedge ratio\tp50 ms\tp99 ms\tp99.9 ms\thedges per request\tin time\tserved")
	for _, noReports := range []bool{false, true} {
		for _, scenario := range emulator.HedgingScenarios() {
			scenario.NoReports = noReports
			for _, ratio := range hedgeRatios {
				scenario.HedgeRatio = ratio
				m := simulateHedging(scenario, seeds)
				fmt.Fprintf(table, "%s\t%v\t%.2f\t%.0f\t%.0f\t%.0f\t%.4f\t%.4f\t%.4f\n",
					scenario.Name, !noReports, ratio, m.p50, m.p99, m.p999, m.extra, m.inTime, m.served)
			}
		}
	}
	_ = table.Flush()
}

// simulateHedging runs a scenario with several seeds concurrently.
func simulateHedging(scenario emulator.Scenario, seeds int) hedgingMeans {
	results := make([]*emulator.Result, seeds)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = emulator.Simulate(scenario, emulator.Placement, uint64(firstHedgingSeed+i)) })
	}
	group.Wait()
	var m hedgingMeans
	weight := 1 / float64(seeds)
	for _, result := range results {
		total := result.Total()
		callers := float64(total.Callers)
		m.p50 += weight * result.Quantile(0.5).Seconds() * 1000
		m.p99 += weight * result.Quantile(0.99).Seconds() * 1000
		m.p999 += weight * result.Quantile(0.999).Seconds() * 1000
		m.extra += weight * float64(result.Hedges) / callers
		m.inTime += weight * total.InTimeShare()
		m.served += weight * float64(total.Answered) / callers
	}
	return m
}
