package emulator

import "time"

const (
	// hedgingTargets and hedgingSlots are the targets of the hedging scenarios and their slots.
	// At usableSlots of them a target still runs at its usual speed.
	hedgingTargets, hedgingSlots, usableSlots = 12, 3, 2
	// hedgingServiceTime is the mean execution time in the hedging scenarios.
	hedgingServiceTime = 100 * time.Millisecond
)

// HedgingScenarios returns loads that show what hedges gain and cost: slow responses, slow
// targets, and targets at 0.8 and 1.0 of their capacity with and without slow responses.
func HedgingScenarios() []Scenario {
	stragglers := hedgingScenario("stragglers", 0.5, 0.03)
	slowTargets := hedgingScenario("slow-targets", 0.5, 0)
	slowTargets.SlowShare, slowTargets.SlowFactor = 0.1, 7
	return []Scenario{
		stragglers,
		slowTargets,
		hedgingScenario("load-0.8", 0.8, 0),
		hedgingScenario("load-0.8-stragglers", 0.8, 0.03),
		hedgingScenario("load-1.0", 1, 0),
		hedgingScenario("load-1.0-stragglers", 1, 0.03),
	}
}

// hedgingScenario returns a scenario in which the targets' executions take the given fraction
// of their capacity, and a share of them seven times as long as usual.
func hedgingScenario(name string, load, stragglerShare float64) Scenario {
	s := baseScenario()
	s.Name = name
	s.Targets, s.Slots = hedgingTargets, hedgingSlots
	s.SlowShare = 0
	s.StragglerShare, s.StragglerFactor = stragglerShare, 7
	s.ServiceTime, s.Objective = hedgingServiceTime, 3*hedgingServiceTime
	s.Timeout, s.CallerTimeout = 12*hedgingServiceTime, 25*hedgingServiceTime
	s.BurstFactor = 1
	s.SameArrivals = true
	meanTime := hedgingServiceTime.Seconds() * (1 + stragglerShare*(s.StragglerFactor-1))
	s.Rate = load * hedgingTargets * usableSlots / meanTime
	return s
}
