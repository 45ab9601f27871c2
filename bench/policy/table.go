package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
)

const (
	// meanService is the mean service time of the targets without noise.
	meanService = 5 * time.Millisecond
	// slots is the number of requests that a target runs at once.
	slots = 3
	// deadline is the agreed time of every call.
	deadline = 250 * time.Millisecond
	// usualLoad is the share of the capacity in most tables.
	usualLoad = 0.8
	// usualSize is the number of entry VMs a service in most tables.
	usualSize = 3
	// hedgeAfter is the delay of a hedge.
	hedgeAfter = 20 * time.Millisecond
	// queueLimit bounds the wait for a free slot.
	queueLimit = 200 * time.Millisecond
	// warmUp is the part of a row that isn't measured.
	warmUp = 400 * time.Millisecond
	// maxLag is the lateness of the generator, at the 99.9th percentile, above
	// which a pass is run again.
	maxLag = 10 * time.Millisecond
	// hedgeShare limits hedges to this share of calls.
	hedgeShare = 0.05
	// retryShare limits retries to this share of calls.
	retryShare = 0.1
)

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
	routes = deployment{name: "lumenwalk-routes", entryVMs: 15, maxConnections: 250, services: []size{{"routes", 10}}}
	stock  = deployment{name: "swanbrook-stock", entryVMs: 15, maxConnections: 200, services: []size{{"stock", 8}}}

	lumenwalk = deployment{name: "lumenwalk", entryVMs: 17, maxConnections: 250, services: []size{{"routes", 10}, {"bookings", 6}, {"signs", 20}}}
	swanbrook = deployment{name: "swanbrook", entryVMs: 17, maxConnections: 200, services: []size{{"stock", 8}, {"bookings", 6}, {"logistics", 12}}}
)

// row is one experiment.
type row struct {
	policy string
	// hedgeAfter is the delay of a hedge; 0 turns hedging off.
	hedgeAfter time.Duration
	// queue holds calls at the entry daemon until a slot is believed free.
	queue bool
	// load is the share of the capacity.
	load float64
	// k is the number of entry VMs that serve a service.
	k int
	// probes is the rate that the daemons of an entry set may use together, in
	// probes per call.
	probes float64
	faults faults
	// heavy is the share of calls that one caller sends to one entry VM; the others
	// spread theirs evenly.
	heavy float64
	times times
	// scale multiplies the pause between samples.
	scale int
}

// times are the durations of a row's calls.
type times struct {
	// service is the mean service time of the targets without noise.
	service time.Duration
	// deadline is the agreed time of every call.
	deadline time.Duration
	// queueLimit bounds the wait for a free slot.
	queueLimit time.Duration
	// warmUp is the part of the row that isn't measured.
	warmUp time.Duration
	// maxLag is the lateness of the generator, at the 99.9th percentile, above
	// which a pass is run again.
	maxLag time.Duration
}

var usualTimes = times{service: meanService, deadline: deadline, queueLimit: queueLimit, warmUp: warmUp, maxLag: maxLag}

// slowed multiplies every duration of the row, which divides its rate of calls.
// The constants of the daemons, such as the length of an ejection, stay.
func (r row) slowed(factor int) row {
	scale := time.Duration(factor)
	r.scale = factor
	r.hedgeAfter *= scale
	r.times.service *= scale
	r.times.deadline *= scale
	r.times.queueLimit *= scale
	r.times.warmUp *= scale
	r.times.maxLag *= scale
	r.faults = r.faults.slowed(scale)
	return r
}

// atLoad returns the table with the rows of one load; 0 keeps all.
func (t table) atLoad(load float64) table {
	if load > 0 {
		t.rows = slices.DeleteFunc(t.rows, func(r row) bool { return r.load != load })
	}
	return t
}

// slowed returns the table with the durations of its rows multiplied.
func (t table) slowed(factor int) table {
	rows := make([]row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r.slowed(factor))
	}
	t.rows = rows
	return t
}

// table is a group of rows that are compared with one another.
type table struct {
	name       string
	deployment deployment
	rows       []row
}

// tables returns the tables to run: the short form is the first.
func tables(o options) []table {
	all := []table{
		{name: "policies", deployment: routes, rows: policyRows(usualLoad)},
		{name: "light", deployment: routes, rows: policyRows(0.5)},
		{name: "heavy", deployment: routes, rows: policyRows(0.95)},
		{name: "sizes", deployment: routes, rows: sizeRows()},
		{name: "hedges", deployment: routes, rows: hedgeRows()},
		{name: "faults", deployment: stock, rows: faultRows()},
		{name: "quiet", deployment: routes, rows: quietRows()},
		{name: "uneven", deployment: routes, rows: unevenRows()},
		{name: "lumenwalk", deployment: lumenwalk, rows: deploymentRows()},
		{name: "swanbrook", deployment: swanbrook, rows: deploymentRows()},
	}
	if o.full {
		return all
	}
	for _, t := range all {
		if t.name == o.only {
			return []table{t}
		}
	}
	return all[:1]
}

func usualRow(policy string, hedge time.Duration) row {
	return row{policy: policy, hedgeAfter: hedge, load: usualLoad, k: usualSize, faults: usual, times: usualTimes}
}

// chosen is what the questionnaire proposes for idempotent requests.
var chosen = usualRow(config.PolicyLeastWork, hedgeAfter).queued()

// queued returns the row with calls held until a slot is believed free.
func (r row) queued() row {
	r.queue = true
	return r
}

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
