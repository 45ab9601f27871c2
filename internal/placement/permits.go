package placement

import (
	"cmp"
	"slices"
)

// If targets do not report their load, a daemon cannot see the requests of the others.
// The capacity of each target is then divided into permits, one for each request below
// its saturation point, and each permit belongs to one daemon. All daemons know the
// same targets and zones and compute the same assignment: each availability zone gets
// an equal number of permits, those of its own targets first, and divides them among
// the daemons that are advertised to callers.

// Partition selects a daemon's share of the permits of its availability zone: the
// permits whose number modulo Of is Index.
type Partition struct {
	Index, Of int
}

// permit allows one concurrent request at a target.
type permit struct {
	target *Target
	zone   string
}

// assignPermits counts this daemon's permits at each target. They apply only to targets
// that do not report their load.
func (p *Pool) assignPermits() {
	if !p.noReports {
		return
	}
	permits := divideAmongZones(p.list, p.zoneNames())
	for _, t := range p.list {
		t.permits = 0
	}
	index := 0
	for _, permit := range permits {
		if permit.zone != p.zone {
			continue
		}
		if index%max(p.partition.Of, 1) == p.partition.Index {
			permit.target.permits++
		}
		index++
	}
}

// zoneNames returns the sorted names of the availability zones that share the permits.
func (p *Pool) zoneNames() []string {
	names := append([]string{p.zone}, p.zones...)
	slices.Sort(names)
	return slices.Compact(names)
}

// divideAmongZones assigns each permit to a zone, in the same order in all daemons.
func divideAmongZones(targets []*Target, zones []string) []permit {
	permits := listPermits(targets)
	remaining := map[string]int{}
	for i, zone := range zones {
		remaining[zone] = len(permits) / len(zones)
		if i < len(permits)%len(zones) {
			remaining[zone]++
		}
	}
	for i := range permits {
		if homeZone := permits[i].target.Zone; remaining[homeZone] > 0 {
			permits[i].zone = homeZone
			remaining[homeZone]--
		}
	}
	next := 0
	for i := range permits {
		if permits[i].zone != "" {
			continue
		}
		for remaining[zones[next]] == 0 {
			next = (next + 1) % len(zones)
		}
		permits[i].zone = zones[next]
		remaining[zones[next]]--
		next = (next + 1) % len(zones)
	}
	return permits
}

// listPermits lists the permits of the targets: the first of each, then the second of
// each, and so on.
func listPermits(targets []*Target) []permit {
	var serving []*Target
	maxPermits := 0
	for _, t := range targets {
		// Announcements don't count: the other daemons may not know them.
		if !t.isDelisted() && !t.evacuated {
			serving = append(serving, t)
			maxPermits = max(maxPermits, t.concurrencyLimit())
		}
	}
	slices.SortFunc(serving, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	var permits []permit
	for round := range maxPermits {
		for _, t := range serving {
			if round < t.concurrencyLimit() {
				permits = append(permits, permit{target: t})
			}
		}
	}
	return permits
}
