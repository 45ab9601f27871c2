package gateway

import "time"

// leaving says when the daemon of a gateway ends.
type leaving struct {
	// lateFrom is when callers that still come do so late, end when the daemon ends.
	lateFrom, end time.Time
}

// Leave prepares for the end of the daemon. Until lateFrom every request is taken on;
// later ones only if they are over, answered or not, before the end.
func (g *Gateway) Leave(lateFrom, end time.Time) {
	g.post(func() { g.leaving = &leaving{lateFrom: lateFrom, end: end} })
}

// refuses reports whether a request comes too late to be finished: one that came at a
// time and has to be answered by a deadline. Nil means that the daemon stays.
func (l *leaving) refuses(now, deadline time.Time) bool {
	return l != nil && now.After(l.lateFrom) && deadline.After(l.end)
}
