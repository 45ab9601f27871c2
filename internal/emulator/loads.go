package emulator

import "time"

// base holds what the loads share.
func base() Load {
	return Load{
		Zones:      3,
		Daemons:    3,
		Slots:      3,
		Queue:      6,
		Spread:     0.3,
		Retries:    2,
		SlowFactor: 4,
		SlowFor:    300 * time.Millisecond,
		KneeShare:  0.8,
		KneeFactor: 1.7,
		Near:       200 * time.Microsecond,
		Far:        500 * time.Microsecond,
		Length:     30 * time.Second,
		BurstAt:    6 * time.Second,
		BurstFor:   5 * time.Second,
	}
}

// Loads returns services of two deployments on a calm and on a heavy day.
func Loads() []Load {
	stock := base()
	stock.Name = "stock-calm"
	stock.Targets, stock.SlowShare = 8, 0.25
	stock.Rate, stock.BurstFactor = 28, 1.4
	stock.Work, stock.Objective = 120*time.Millisecond, 300*time.Millisecond
	stock.Timeout, stock.Patience = 1200*time.Millisecond, 2500*time.Millisecond

	stockHeavy := stock
	stockHeavy.Name = "stock-heavy"
	stockHeavy.Rate, stockHeavy.BurstFactor = 55, 1.6

	signs := base()
	signs.Name = "signs-heavy"
	signs.Targets, signs.SlowShare = 19, 0.35
	signs.Rate, signs.BurstFactor = 62, 1.6
	signs.Work, signs.Objective = 268*time.Millisecond, 700*time.Millisecond
	signs.Timeout, signs.Patience = 2500*time.Millisecond, 5*time.Second

	routes := base()
	routes.Name = "routes-heavy"
	routes.Targets, routes.SlowShare = 10, 0.35
	routes.Rate, routes.BurstFactor = 93, 1.5
	routes.Work, routes.Objective = 90*time.Millisecond, 250*time.Millisecond
	routes.Timeout, routes.Patience = time.Second, 2*time.Second
	return []Load{stock, stockHeavy, signs, routes}
}

// MuteLoads returns the same with targets that don't tell their load.
func MuteLoads() []Load {
	loads := Loads()
	for i := range loads {
		loads[i].Name += "-mute"
		loads[i].Mute = true
	}
	return loads
}
