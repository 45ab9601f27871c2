package entryset

import "math"

// callsPerMember is the rate of calls to one service above which a further entry
// VM serves it, in calls per second.
const callsPerMember = 1000.0

// Size returns the number of entry VMs that serve a service: the configured one,
// or more for a busy service, so that no entry VM carries much more than others.
// CallsPerSecond is 0 if unknown.
func Size(configured int, callsPerSecond float64) int {
	return max(configured, int(math.Ceil(callsPerSecond/callsPerMember)))
}

// ConnectionShare returns the number of connections that one daemon may open to
// a target that accepts maxConnections from entryVMs daemons. The shares sum to
// no more than maxConnections however many of the daemons connect.
func ConnectionShare(maxConnections, entryVMs int) int {
	return maxConnections / max(entryVMs, 1)
}
