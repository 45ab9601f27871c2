package heartbeat

import (
	"math"
	"time"
)

// loadDecayTime is the time in which a load that has ended decays to about a third. The load
// rises at once and falls slowly, so that after a burst the zone still advertises enough
// daemons for the next one.
const loadDecayTime = 5 * time.Second

// RateMeter estimates the rate of calls from their count. Its zero value is ready for use.
type RateMeter struct {
	at    time.Time
	calls uint64
	load  float64
}

// Update takes the number of calls so far and returns the rate in calls per second.
func (m *RateMeter) Update(now time.Time, calls uint64) float64 {
	if m.at.IsZero() {
		m.at, m.calls = now, calls
		return 0
	}
	elapsed := now.Sub(m.at).Seconds()
	if elapsed <= 0 {
		return m.load
	}
	rate := float64(calls-m.calls) / elapsed
	m.load = max(rate, m.load*math.Exp(-elapsed/loadDecayTime.Seconds()))
	m.at, m.calls = now, calls
	return m.load
}
