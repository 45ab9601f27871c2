package gateway

import "time"

// drain tells until when a draining daemon accepts requests.
type drain struct {
	// acceptAllUntil is when all callers should have switched to other daemons, end when
	// this daemon exits.
	acceptAllUntil, end time.Time
}

// BeginDrain prepares the gateway for the exit of the daemon. Until acceptAllUntil it accepts
// every request, afterwards only those whose deadline is not after end.
func (g *Gateway) BeginDrain(acceptAllUntil, end time.Time) {
	g.runOnLoop(func() { g.drain = &drain{acceptAllUntil: acceptAllUntil, end: end} })
}

// refuses reports whether a request that arrives now comes too late, because its deadline
// is after the exit of the daemon. A nil drain refuses nothing.
func (d *drain) refuses(now, deadline time.Time) bool {
	return d != nil && now.After(d.acceptAllUntil) && deadline.After(d.end)
}
