package heartbeat

import (
	"slices"
	"time"
)

const (
	// reserve is the number of daemons beside the named ones that are asked often, and
	// that read the store themselves.
	reserve = 2
	// maxSources bounds the daemons that are asked in place of the store.
	maxSources = 2
	// loadCounts is how long the load of a daemon counts that has fallen silent.
	loadCounts = 3 * time.Second
)

// serving returns the daemons that callers can be sent to, this one included, in the
// order in which they are named.
func (r *Roster) serving(now time.Time) []Member {
	var serving []Member
	placed := r.self.State != Ready
	for _, known := range r.ranked() {
		if !placed && r.self.compare(known.Member) < 0 {
			serving = append(serving, r.self)
			placed = true
		}
		if known.serves(now) {
			serving = append(serving, known.Member)
		}
	}
	if !placed {
		serving = append(serving, r.self)
	}
	return serving
}

// load is the rate of calls of the zone, a second. That of a daemon which has fallen
// silent counts for a while: its callers come to others.
func (r *Roster) load(now time.Time) float64 {
	load := r.self.Load
	for _, known := range r.records {
		if now.Sub(known.heardAt) < loadCounts {
			load += known.Load
		}
	}
	return load
}

// named returns the daemons that callers are sent to: as many as carry the zone's load
// at ease.
func (r *Roster) named(now time.Time) []Member {
	serving := r.serving(now)
	load := r.load(now)
	capacity := 0.0
	for i, member := range serving {
		if i >= r.size && capacity >= load {
			return serving[:i]
		}
		capacity += member.Capacity
	}
	return serving
}

// wanted returns the number of daemons that are named.
func (r *Roster) wanted(now time.Time) int { return max(r.size, len(r.named(now))) }

// active returns the named daemons and those that are named next.
func (r *Roster) active(now time.Time) (named, next []Member) {
	serving := r.serving(now)
	count := len(r.named(now))
	return serving[:count], serving[count:min(len(serving), count+reserve)]
}

// Active reports whether callers are sent to this daemon, or would be next.
func (r *Roster) Active(now time.Time) bool {
	named, next := r.active(now)
	return slices.ContainsFunc(named, r.isSelf) || slices.ContainsFunc(next, r.isSelf)
}

func (r *Roster) isSelf(m Member) bool { return m.Name == r.self.Name }

// ActivePeers returns the "ip:port" of the other daemons that callers are sent to, or
// would be next.
func (r *Roster) ActivePeers(now time.Time) []string {
	named, next := r.active(now)
	return r.peersOf(named, next)
}

// peersOf returns the "ip:port" of members, this daemon's own left out.
func (r *Roster) peersOf(members ...[]Member) []string {
	var peers []string
	for _, member := range slices.Concat(members...) {
		if !r.isSelf(member) {
			peers = append(peers, member.Peer)
		}
	}
	return peers
}

// Sources returns the "ip:port" of daemons that read the store themselves, those first
// that no callers are sent to. They are of other zones if the own has none.
func (r *Roster) Sources(now time.Time) []string {
	named, next := r.active(now)
	sources := r.peersOf(next, named)
	if len(sources) == 0 {
		sources = r.contacts(now)
	}
	return sources[:min(len(sources), maxSources)]
}

// Named returns the addresses that callers are sent to: those of other zones if nobody
// serves in this one.
func (r *Roster) Named(now time.Time) []string {
	if named := r.NamedHere(now); len(named) > 0 {
		return named
	}
	return r.namedOutside(now)
}

// NamedHere returns the addresses of the own zone that callers are sent to.
func (r *Roster) NamedHere(now time.Time) []string {
	var named []string
	for _, member := range r.named(now) {
		named = append(named, member.Front)
	}
	return named
}

// Standing is what a daemon is in its zone.
type Standing struct {
	// Named is set if callers are sent to the daemon.
	Named bool
	// Index is its place among those that callers are sent to, from 0.
	Index int
	// NamedDaemons counts those that callers are sent to, Daemons all of the zone.
	NamedDaemons, Daemons int
}

// Standing returns what this daemon is in its zone.
func (r *Roster) Standing(now time.Time) Standing {
	named := r.named(now)
	index := slices.IndexFunc(named, r.isSelf)
	return Standing{
		Named:        index >= 0,
		Index:        max(index, 0),
		NamedDaemons: len(named),
		Daemons:      len(r.records) + 1,
	}
}
