package main

import (
	"fmt"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
)

// policyRows puts all policies side by side under noise and stragglers.
func policyRows(load float64) []row {
	rows := []row{
		usualRow(config.PolicyRandom, 0),
		usualRow(config.PolicyRoundRobin, 0),
		usualRow(config.PolicyTwoChoices, 0),
		usualRow(config.PolicyTwoReports, 0),
		usualRow(config.PolicyLeast, 0),
		usualRow(config.PolicyLeastReports, 0),
		usualRow(config.PolicyPooledProbes, 0),
		usualRow(config.PolicyLeastWork, 0),
		usualRow(policyOracle, 0),
		usualRow(config.PolicyLeast, 0).queued(),
		usualRow(config.PolicyLeast, hedgeAfter),
		usualRow(config.PolicyLeastWork, hedgeAfter),
		chosen,
	}
	for i := range rows {
		rows[i].load = load
		if rows[i].policy == config.PolicyPooledProbes {
			rows[i].probes = 1
		}
	}
	return rows
}

func sizeRows() []row {
	var rows []row
	for _, k := range []int{1, 2, 3, 5, 15} {
		for _, r := range []row{
			usualRow(config.PolicyRandom, 0),
			usualRow(config.PolicyLeast, 0),
			usualRow(config.PolicyLeastReports, 0),
			chosen,
			usualRow(policyOracle, 0),
		} {
			r.k = k
			rows = append(rows, r)
		}
	}
	return rows
}

func hedgeRows() []row {
	rows := []row{
		usualRow(policyOracle, 0),
		usualRow(config.PolicyLeastWork, 0),
		usualRow(config.PolicyLeastWork, 0).queued(),
		chosen,
	}
	for _, ms := range []int{10, 15, 20, 25, 30} {
		rows = append(rows, usualRow(config.PolicyLeastWork, time.Duration(ms)*time.Millisecond))
	}
	return rows
}

func faultRows() []row {
	var rows []row
	for _, f := range []faults{quiet, usual, failFast, lying, lagging, drains, shedding, zoneLost} {
		for _, r := range []row{
			usualRow(config.PolicyRandom, 0),
			usualRow(config.PolicyLeast, hedgeAfter).queued(),
			usualRow(config.PolicyLeastReports, hedgeAfter).queued(),
			chosen,
			usualRow(policyOracle, 0),
		} {
			r.faults = f
			if f.zoneGone {
				r.load = 0.5
			}
			rows = append(rows, r)
		}
	}
	return rows
}

// quietRows have no faults: with --slow their latencies grow by the factor unless
// the host disturbs them.
func quietRows() []row {
	rows := []row{
		usualRow(config.PolicyRandom, 0),
		chosen,
		usualRow(policyOracle, 0),
	}
	for i := range rows {
		rows[i].faults = quiet
	}
	return rows
}

// unevenRows have one caller that sends most of the calls to one entry VM.
func unevenRows() []row {
	var rows []row
	for _, heavy := range []float64{0.5, 0.8} {
		for _, r := range []row{
			usualRow(config.PolicyRandom, 0),
			usualRow(config.PolicyLeast, hedgeAfter).queued(),
			usualRow(config.PolicyLeastReports, hedgeAfter).queued(),
			chosen,
			usualRow(policyOracle, 0),
		} {
			r.heavy = heavy
			r.faults.name = fmt.Sprintf("uneven-%.0f%%", heavy*100)
			rows = append(rows, r)
		}
	}
	return rows
}

func deploymentRows() []row {
	var rows []row
	for _, load := range []float64{0.5, 0.8, 0.95} {
		for _, r := range []row{
			usualRow(config.PolicyRandom, 0),
			usualRow(config.PolicyLeast, hedgeAfter).queued(),
			chosen,
			usualRow(policyOracle, 0),
		} {
			r.load = load
			rows = append(rows, r)
		}
	}
	return rows
}
