package placement

import "time"

// Bytes between availability zones cost money, so a request is worth a wait for a target
// of the own zone, the more the larger it is.

const (
	// farWait is how long a request waits for a target of the own zone, for each kilobyte
	// that it and its answer have.
	farWait = 2 * time.Millisecond
	// farWaitShare bounds that wait, as a part of the time in which the request has to be
	// sent to be in time.
	farWaitShare = 3
	// zoneFactor weighs targets of other zones, farFactor is added for each kilobyte.
	zoneFactor = 1.15
	farFactor  = 0.05

	kilobyte = 1000
	// usualBytes are those of a small request and its answer, for which zones matter little.
	usualBytes = 2 * kilobyte
)

// kilobytes is the size of the request and its answer, what any request has left out.
func (r *Request) kilobytes() float64 { return float64(max(r.Bytes-usualBytes, 0)) / kilobyte }

// farFrom is when the request may be sent to another availability zone.
func (r *Request) farFrom() time.Time {
	wait := time.Duration(r.kilobytes() * float64(farWait))
	limit := max(r.latestInTime().Sub(r.arrived)/farWaitShare, 0)
	return r.arrived.Add(min(wait, limit))
}

// farCost weighs a target of another zone for the request.
func (r *Request) farCost() float64 { return zoneFactor + farFactor*r.kilobytes() }

// hasNear reports whether a target of the own zone can be used at all.
func (p *Pool) hasNear(now time.Time, exclusion exclusion) bool {
	for _, t := range p.list {
		if t.Zone == p.zone && exclusion.allows(now, t) {
			return true
		}
	}
	return false
}

// mayGoFar reports whether any waiting request may be sent to another zone.
func (p *Pool) mayGoFar(now time.Time) bool {
	for _, r := range p.queue {
		if !now.Before(r.farFrom()) {
			return true
		}
	}
	return false
}
