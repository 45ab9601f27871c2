package placement

import "time"

// Traffic between availability zones costs money, so a request may wait for a target of
// the local zone: the larger it is, the longer.

const (
	// localZoneWaitPerKB is how long a request waits for a target of the local zone,
	// for each kilobyte of request and response.
	localZoneWaitPerKB = 2 * time.Millisecond
	// That wait is limited to the time within which the request has to be sent to be
	// answered in time, divided by localZoneWaitDivisor.
	localZoneWaitDivisor = 3
	// The cost of a target in another zone is multiplied by zoneFactor, plus
	// zoneFactorPerKB for each kilobyte.
	zoneFactor      = 1.15
	zoneFactorPerKB = 0.05

	kilobyte = 1000
	// smallBytes is the size of a small request with its response, for which the zone
	// matters little.
	smallBytes = 2 * kilobyte
)

// extraKilobytes returns the size of the request and its response in excess of
// smallBytes.
func (r *Request) extraKilobytes() float64 { return float64(max(r.Bytes-smallBytes, 0)) / kilobyte }

// crossZoneAllowedAt returns the time from which the request may be sent to another
// availability zone.
func (r *Request) crossZoneAllowedAt() time.Time {
	wait := time.Duration(r.extraKilobytes() * float64(localZoneWaitPerKB))
	limit := max(r.latestInTimeStart().Sub(r.arrived)/localZoneWaitDivisor, 0)
	return r.arrived.Add(min(wait, limit))
}

// crossZoneCost returns the factor applied to the cost of a target in another zone.
func (r *Request) crossZoneCost() float64 { return zoneFactor + zoneFactorPerKB*r.extraKilobytes() }

// hasLocalTarget reports whether any target of the local zone may get requests.
func (p *Pool) hasLocalTarget(now time.Time, filter targetFilter) bool {
	for _, t := range p.list {
		if t.Zone == p.zone && filter.allows(now, t) {
			return true
		}
	}
	return false
}

// anyMayCrossZones reports whether any queued request may be sent to another zone.
func (p *Pool) anyMayCrossZones(now time.Time) bool {
	for _, r := range p.queue {
		if !now.Before(r.crossZoneAllowedAt()) {
			return true
		}
	}
	return false
}
