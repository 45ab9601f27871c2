package main

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const (
	// meanService is the mean service time of the targets without noise.
	meanService = 5 * time.Millisecond
	// slots is the number of requests that a target runs at once.
	slots = 3
	// deadline is the agreed time of every call.
	deadline = 250 * time.Millisecond
	// hedgeAfter is the delay of a hedge.
	hedgeAfter = 15 * time.Millisecond
	// hedgeShare limits hedges to this share of calls.
	hedgeShare = 0.05
	// retryShare limits retries to this share of calls.
	retryShare = 0.1
)

// neighbours is the noise of shared hosts.
var neighbours = targetd.Noise{Every: 180 * time.Millisecond, For: 20 * time.Millisecond, Factor: 4}

// deployment is the size of one user's system.
type deployment struct {
	name           string
	entryVMs       int
	maxConnections int
	services       []size
}

// size is one service of a deployment.
type size struct {
	name    string
	targets int
}

var (
	lumenwalk = deployment{name: "lumenwalk", entryVMs: 15, maxConnections: 250, services: []size{{"routes", 10}}}
	swanbrook = deployment{name: "swanbrook", entryVMs: 15, maxConnections: 200, services: []size{{"stock", 8}}}

	lumenwalkWhole = deployment{name: "lumenwalk-whole", entryVMs: 17, maxConnections: 250, services: []size{{"routes", 10}, {"bookings", 6}, {"signs", 20}}}
	swanbrookWhole = deployment{name: "swanbrook-whole", entryVMs: 17, maxConnections: 200, services: []size{{"stock", 8}, {"bookings", 6}, {"logistics", 12}}}
)

// row is one experiment.
type row struct {
	policy string
	// hedgeAfter is the delay of a hedge; 0 turns hedging off.
	hedgeAfter time.Duration
	// load is the share of the capacity.
	load float64
	// k is the number of entry VMs that serve a service.
	k int
	// probes is the measuring budget, in probes per call.
	probes float64
	faults faults
}

// table is a group of rows that are compared with one another.
type table struct {
	name       string
	deployment deployment
	rows       []row
}

// tables returns the tables to run.
func tables(o options) []table {
	all := []table{
		{name: "policies", deployment: lumenwalk, rows: policyRows(0.8, 3)},
		{name: "trial", deployment: lumenwalk, rows: trialRows()},
	}
	if !o.full && o.only == "" {
		return all[:1]
	}
	all = append(all,
		table{name: "loads", deployment: lumenwalk, rows: append(policyRows(0.5, 3), policyRows(0.95, 3)...)},
		table{name: "sizes", deployment: lumenwalk, rows: sizeRows()},
		table{name: "faults", deployment: swanbrook, rows: faultRows()},
		table{name: "lumenwalk", deployment: lumenwalkWhole, rows: deploymentRows()},
		table{name: "swanbrook", deployment: swanbrookWhole, rows: deploymentRows()},
	)
	if o.only == "" {
		return all
	}
	for _, t := range all {
		if t.name == o.only {
			return []table{t}
		}
	}
	return nil
}

// policyRows puts all policies side by side under noise and stragglers.
func policyRows(load float64, k int) []row {
	var rows []row
	for _, policy := range []string{
		config.PolicyRandom,
		config.PolicyRoundRobin,
		config.PolicyTwoChoices,
		config.PolicyTwoReports,
		config.PolicyLeast,
		config.PolicyLeastReports,
		config.PolicyLeastWork,
		policyOracle,
	} {
		rows = append(rows, row{policy: policy, load: load, k: k, faults: usual})
	}
	for _, policy := range []string{config.PolicyLeast, config.PolicyLeastReports, config.PolicyLeastWork} {
		rows = append(rows, row{policy: policy, hedgeAfter: hedgeAfter, load: load, k: k, faults: usual})
	}
	return rows
}

func sizeRows() []row {
	var rows []row
	for _, k := range []int{1, 2, 3, 5, 15} {
		rows = append(rows, row{policy: config.PolicyLeast, load: 0.8, k: k, faults: usual})
		rows = append(rows, row{policy: config.PolicyLeast, hedgeAfter: hedgeAfter, load: 0.8, k: k, faults: usual})
	}
	return rows
}

func faultRows() []row { return nil }

func deploymentRows() []row {
	var rows []row
	for _, load := range []float64{0.5, 0.8, 0.95} {
		rows = append(rows,
			row{policy: config.PolicyRandom, load: load, k: 3, faults: usual},
			row{policy: config.PolicyLeast, hedgeAfter: hedgeAfter, load: load, k: 3, faults: usual},
			row{policy: policyOracle, load: load, k: 3, faults: usual},
		)
	}
	return rows
}

func trialRows() []row {
	var rows []row
	rows = append(rows, row{policy: policyOracle, load: 0.8, k: 3, faults: usual})
	for _, policy := range []string{config.PolicyLeast, config.PolicyLeastWork} {
		for _, ms := range []int{0, 10, 15, 20, 25, 30} {
			rows = append(rows, row{policy: policy, hedgeAfter: time.Duration(ms) * time.Millisecond, load: 0.8, k: 3, faults: usual})
		}
	}
	return rows
}
