package heartbeat

import (
	"slices"
	"time"
)

const (
	// standbyCount is the number of standby daemons: those that rank next after the
	// advertised ones. They are pinged often and read the store directly, too.
	standbyCount = 2
	// maxSources bounds the daemons that a daemon may read from instead of the store.
	maxSources = 2
	// silentLoadPeriod is how long the load of a daemon still counts after it was last
	// heard.
	silentLoadPeriod = 3 * time.Second
)

// serving returns the daemons that can serve callers, this one included, by rank.
func (m *Membership) serving(now time.Time) []Member {
	var serving []Member
	placed := m.self.State != Ready
	for _, known := range m.ranked() {
		if !placed && m.self.compare(known.Member) < 0 {
			serving = append(serving, m.self)
			placed = true
		}
		if known.canServe(now) {
			serving = append(serving, known.Member)
		}
	}
	if !placed {
		serving = append(serving, m.self)
	}
	return serving
}

// load returns the load of the zone in calls per second. The load of a daemon that has
// fallen silent counts for silentLoadPeriod, since its callers move to other daemons.
func (m *Membership) load(now time.Time) float64 {
	load := m.self.Load
	for _, known := range m.records {
		if now.Sub(known.heardAt) < silentLoadPeriod {
			load += known.Load
		}
	}
	return load
}

// advertised returns the daemons whose addresses are given to callers: at least
// minAdvertised, and as many as it takes for their capacity to cover the zone's load.
func (m *Membership) advertised(now time.Time) []Member {
	serving := m.serving(now)
	load := m.load(now)
	capacity := 0.0
	for i, member := range serving {
		if i >= m.minAdvertised && capacity >= load {
			return serving[:i]
		}
		capacity += member.Capacity
	}
	return serving
}

// advertisedCount returns the number of daemons that are advertised, or that would be if
// enough could serve.
func (m *Membership) advertisedCount(now time.Time) int {
	return max(m.minAdvertised, len(m.advertised(now)))
}

// active returns the advertised daemons and the standby daemons.
func (m *Membership) active(now time.Time) (advertised, standby []Member) {
	serving := m.serving(now)
	count := len(m.advertised(now))
	return serving[:count], serving[count:min(len(serving), count+standbyCount)]
}

// Active reports whether this daemon is advertised or a standby.
func (m *Membership) Active(now time.Time) bool {
	advertised, standby := m.active(now)
	return slices.ContainsFunc(advertised, m.isSelf) || slices.ContainsFunc(standby, m.isSelf)
}

// IsFirst reports whether this daemon ranks first among those of the zone that respond and don't
// drain, whether they can serve yet or not.
func (m *Membership) IsFirst(now time.Time) bool {
	if m.self.State == Draining {
		return false
	}
	for _, known := range m.ranked() {
		if known.responds(now) {
			return m.self.compare(known.Member) < 0
		}
	}
	return true
}

func (m *Membership) isSelf(member Member) bool { return member.Name == m.self.Name }

// ActivePeers returns the peer addresses of the other advertised and standby daemons.
func (m *Membership) ActivePeers(now time.Time) []string {
	advertised, standby := m.active(now)
	return m.peersOf(advertised, standby)
}

// peersOf returns the peer addresses of members, without this daemon's own.
func (m *Membership) peersOf(members ...[]Member) []string {
	var peers []string
	for _, member := range slices.Concat(members...) {
		if !m.isSelf(member) {
			peers = append(peers, member.PeerAddress)
		}
	}
	return peers
}

// Sources returns the peer addresses of daemons that read the store directly, standby
// daemons first because they serve no callers. If the own zone has none, it returns
// contacts in other zones.
func (m *Membership) Sources(now time.Time) []string {
	advertised, standby := m.active(now)
	sources := m.peersOf(standby, advertised)
	if len(sources) == 0 {
		sources = m.contacts(now)
	}
	return sources[:min(len(sources), maxSources)]
}

// AdvertisedAddresses returns the addresses to give to callers: those of the own zone, or
// those of other zones if no daemon serves in this one.
func (m *Membership) AdvertisedAddresses(now time.Time) []string {
	if advertised := m.AdvertisedInZone(now); len(advertised) > 0 {
		return advertised
	}
	return m.advertisedElsewhere(now)
}

// AdvertisedInZone returns the addresses of the advertised daemons of the own zone.
func (m *Membership) AdvertisedInZone(now time.Time) []string {
	var advertised []string
	for _, member := range m.advertised(now) {
		advertised = append(advertised, member.CallerAddress)
	}
	return advertised
}

// ZoneStatus says whether a daemon is advertised in its zone, and at which position.
type ZoneStatus struct {
	// Advertised is set if the daemon is advertised.
	Advertised bool
	// Index is its rank among the advertised daemons, from 0.
	Index int
	// AdvertisedDaemons is the number of advertised daemons, Daemons that of all known daemons
	// of the zone.
	AdvertisedDaemons, Daemons int
}

// Responding returns the number of the zone's daemons that answer pings, this one included and
// whether they can serve or not.
func (m *Membership) Responding(now time.Time) int {
	responding := 1
	for _, known := range m.records {
		if known.answers(now) {
			responding++
		}
	}
	return responding
}

// ZoneStatus returns this daemon's position in its zone.
func (m *Membership) ZoneStatus(now time.Time) ZoneStatus {
	advertised := m.advertised(now)
	index := slices.IndexFunc(advertised, m.isSelf)
	return ZoneStatus{
		Advertised:        index >= 0,
		Index:             max(index, 0),
		AdvertisedDaemons: len(advertised),
		Daemons:           len(m.records) + 1,
	}
}
