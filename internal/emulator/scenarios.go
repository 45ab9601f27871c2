package emulator

import "time"

// baseScenario returns the parameters that all scenarios share.
func baseScenario() Scenario {
	return Scenario{
		Zones:            3,
		Daemons:          3,
		Slots:            3,
		QueueSize:        6,
		Spread:           0.3,
		MaxRetries:       2,
		SlowFactor:       4,
		SlowDuration:     300 * time.Millisecond,
		SaturationShare:  0.8,
		SaturationFactor: 1.7,
		LocalDelay:       200 * time.Microsecond,
		RemoteDelay:      500 * time.Microsecond,
		ArrivalPeriod:    30 * time.Second,
		BurstStart:       6 * time.Second,
		BurstDuration:    5 * time.Second,
	}
}

// Scenarios returns scenarios for services of two deployments on a day of low and one
// of high traffic.
func Scenarios() []Scenario {
	stock := baseScenario()
	stock.Name = "stock-calm"
	stock.Targets, stock.SlowShare = 8, 0.25
	stock.Rate, stock.BurstFactor = 28, 1.4
	stock.Work, stock.Objective = 120*time.Millisecond, 300*time.Millisecond
	stock.Timeout, stock.CallerTimeout = 1200*time.Millisecond, 2500*time.Millisecond

	stockHeavy := stock
	stockHeavy.Name = "stock-heavy"
	stockHeavy.Rate, stockHeavy.BurstFactor = 55, 1.6

	signs := baseScenario()
	signs.Name = "signs-heavy"
	signs.Targets, signs.SlowShare = 19, 0.35
	signs.Rate, signs.BurstFactor = 62, 1.6
	signs.Work, signs.Objective = 268*time.Millisecond, 700*time.Millisecond
	signs.Timeout, signs.CallerTimeout = 2500*time.Millisecond, 5*time.Second

	routes := baseScenario()
	routes.Name = "routes-heavy"
	routes.Targets, routes.SlowShare = 10, 0.35
	routes.Rate, routes.BurstFactor = 93, 1.5
	routes.Work, routes.Objective = 90*time.Millisecond, 250*time.Millisecond
	routes.Timeout, routes.CallerTimeout = time.Second, 2*time.Second
	return []Scenario{stock, stockHeavy, signs, routes}
}

// NonReportingScenarios returns the same scenarios with targets that do not report
// their load.
func NonReportingScenarios() []Scenario {
	scenarios := Scenarios()
	for i := range scenarios {
		scenarios[i].Name += "-mute"
		scenarios[i].NoReports = true
	}
	return scenarios
}
