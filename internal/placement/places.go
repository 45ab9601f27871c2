package placement

import (
	"cmp"
	"slices"
)

// While targets don't tell their load, daemons can't know of one another's requests.
// Each place of a target (a request below its knee) is then one daemon's alone. All
// daemons know the same targets and zones and deal the places out alike: an equal number
// to each availability zone, its own targets' first, and then to the daemons of a zone
// that callers are sent to.

// Part is a daemon's part of the places of its availability zone: the Index-th of Of.
type Part struct {
	Index, Of int
}

// place is one request at a target.
type place struct {
	target *Target
	zone   string
}

// deal counts for each target the places that belong to this daemon. They matter only
// while targets are mute.
func (p *Pool) deal() {
	if !p.mute {
		return
	}
	places := dealToZones(p.list, p.zoneNames())
	for _, t := range p.list {
		t.places = 0
	}
	index := 0
	for _, dealt := range places {
		if dealt.zone != p.zone {
			continue
		}
		if index%max(p.part.Of, 1) == p.part.Index {
			dealt.target.places++
		}
		index++
	}
}

// zoneNames returns the availability zones that places are dealt to, in order.
func (p *Pool) zoneNames() []string {
	names := append([]string{p.zone}, p.zones...)
	slices.Sort(names)
	return slices.Compact(names)
}

// dealToZones gives each place of the targets to a zone, in the same order for all
// daemons.
func dealToZones(targets []*Target, zones []string) []place {
	places := placesOf(targets)
	left := map[string]int{}
	for i, zone := range zones {
		left[zone] = len(places) / len(zones)
		if i < len(places)%len(zones) {
			left[zone]++
		}
	}
	for i := range places {
		if near := places[i].target.Zone; left[near] > 0 {
			places[i].zone = near
			left[near]--
		}
	}
	next := 0
	for i := range places {
		if places[i].zone != "" {
			continue
		}
		for left[zones[next]] == 0 {
			next = (next + 1) % len(zones)
		}
		places[i].zone = zones[next]
		left[zones[next]]--
		next = (next + 1) % len(zones)
	}
	return places
}

// placesOf lists the places of targets: the first of each, then the second of each.
func placesOf(targets []*Target) []place {
	var serving []*Target
	most := 0
	for _, t := range targets {
		if !t.ends() {
			serving = append(serving, t)
			most = max(most, t.below())
		}
	}
	slices.SortFunc(serving, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	var places []place
	for round := range most {
		for _, t := range serving {
			if round < t.below() {
				places = append(places, place{target: t})
			}
		}
	}
	return places
}
