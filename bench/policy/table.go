package main

import "slices"

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
