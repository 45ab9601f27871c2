// Package heartbeat determines which daemons of an availability zone are advertised, that
// is, have their addresses given to callers.
//
// The daemons of a zone ping one another by UDP datagrams. They rank one another by the size
// of their VMs and by their names, and advertise as many of the first as the zone's load
// needs, so that all daemons advertise the same ones. Advertised daemons and the standby
// daemons that rank next are pinged more often than the others. While no daemon of the zone
// serves, the addresses advertised by other zones are given out instead.
//
// Membership is a state machine without goroutines, clock or I/O; Node drives it.
package heartbeat

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pingInterval is the interval between two pings to a daemon that is advertised, a
	// standby, starting or late with an answer.
	pingInterval = 250 * time.Millisecond
	// slowPingInterval is the interval between two pings to any other daemon.
	slowPingInterval = 2 * time.Second
	// answerTimeout is the time after an unanswered ping from which a daemon counts as not
	// serving.
	answerTimeout = 600 * time.Millisecond
	// forgetAfter is the silence after which a daemon is removed.
	forgetAfter = 20 * time.Second
)

// State is the state that a daemon reports of itself.
type State string

// States.
const (
	// Starting daemons can't serve yet.
	Starting State = "starting"
	// Ready daemons serve callers.
	Ready State = "ready"
	// Draining daemons serve only the callers that they have, and end soon.
	Draining State = "leaving"
)

// Member describes a daemon.
type Member struct {
	Name string `json:"name"`
	// Zone is its availability zone.
	Zone string `json:"zone,omitempty"`
	// CallerAddress is the "ip:port" that serves callers.
	CallerAddress string `json:"front"`
	// PeerAddress is the "ip:port" at which other daemons reach it.
	PeerAddress string `json:"peer"`
	// StartedMillis is the start time in Unix milliseconds. It tells the starts of a daemon
	// apart, and grows with each start unless the time of day was set back.
	StartedMillis int64 `json:"born"`
	State         State `json:"state"`
	// Capacity is the number of calls per second that the daemon's VM can handle with
	// ease, Load the number that it receives. A zone advertises as many daemons as its
	// load needs, the largest first.
	Capacity float64 `json:"capacity"`
	Load     float64 `json:"load"`
}

// compare ranks members: the largest first, then by a hash of their names. The rank depends
// on nothing that daemons see differently, so that all daemons advertise the same ones.
func (m Member) compare(other Member) int {
	return cmp.Or(
		cmp.Compare(other.Capacity, m.Capacity),
		cmp.Compare(nameHash(m.Name), nameHash(other.Name)),
		cmp.Compare(m.Name, other.Name),
	)
}

// record is what is known of a member.
type record struct {
	Member
	addedAt  time.Time
	heardAt  time.Time
	pingedAt time.Time
	// unansweredSince is when the first ping since the last answer was sent; zero if the
	// last ping was answered.
	unansweredSince time.Time
}

// Membership holds the daemons of the zone that one daemon knows. It is not safe for
// concurrent use.
type Membership struct {
	self          Member
	minAdvertised int
	records       map[string]*record
	// ranking caches the records by rank. A change sets it to nil.
	ranking []*record
	// otherZones are the other availability zones.
	otherZones []*otherZone
}

// NewMembership returns the membership of a daemon that advertises at least minAdvertised
// daemons, if as many can serve.
func NewMembership(self Member, minAdvertised int) *Membership {
	return &Membership{self: self, minAdvertised: minAdvertised, records: map[string]*record{}}
}

// Self returns the daemon's own description.
func (m *Membership) Self() Member { return m.self }

// SetState sets the daemon's own state.
func (m *Membership) SetState(state State) { m.self.State = state }

// SetLoad sets the daemon's own load in calls per second.
func (m *Membership) SetLoad(load float64) { m.self.Load = load }

// Learn adds a member of any zone that was discovered by other means than its heartbeat. It
// isn't advertised before it has answered a ping.
func (m *Membership) Learn(now time.Time, member Member) {
	if member.Zone != m.self.Zone {
		m.addToOtherZone(member)
		return
	}
	m.findOrAdd(now, member)
}

// findOrAdd returns the record of a member, which it adds if the member is new or has started
// again. It returns nil if member is this daemon or describes an earlier start.
func (m *Membership) findOrAdd(now time.Time, member Member) *record {
	if member.Name == "" || member.Name == m.self.Name {
		return nil
	}
	known := m.records[member.Name]
	if known == nil || member.StartedMillis > known.StartedMillis {
		known = &record{Member: member, addedAt: now}
		known.State = Starting
		m.records[member.Name] = known
		m.ranking = nil
	}
	if member.StartedMillis < known.StartedMillis {
		return nil
	}
	return known
}

// HandleHeartbeat records a heartbeat, in which a member describes itself. If the member's last
// known start is silent, one with an earlier time is a new start after the time of day was set
// back, and no late datagram.
func (m *Membership) HandleHeartbeat(now time.Time, member Member) {
	if known := m.records[member.Name]; known != nil && member.StartedMillis < known.StartedMillis && known.isSilent(now) {
		delete(m.records, member.Name)
		m.ranking = nil
	}
	known := m.findOrAdd(now, member)
	if known == nil {
		return
	}
	// Datagrams may arrive out of order, so only a new start ends Draining.
	if known.State != Draining {
		known.State = member.State
	}
	if known.Capacity != member.Capacity {
		m.ranking = nil
	}
	known.Capacity, known.Load = member.Capacity, member.Load
	known.heardAt = now
	known.unansweredSince = time.Time{}
}

// DuePings returns the members that are due to be pinged and records that they are pinged
// now. It removes members that have been silent for longer than forgetAfter.
func (m *Membership) DuePings(now time.Time) []Member {
	var due []Member
	active := m.advertisedCount(now) + standbyCount
	for i, known := range m.ranked() {
		if m.expired(now, known) {
			delete(m.records, known.Name)
			m.ranking = nil
			continue
		}
		interval := slowPingInterval
		if i < active || known.State == Starting || !known.unansweredSince.IsZero() {
			interval = pingInterval
		}
		if now.Sub(known.pingedAt) < interval {
			continue
		}
		known.pingedAt = now
		if known.unansweredSince.IsZero() {
			known.unansweredSince = now
		}
		due = append(due, known.Member)
	}
	return due
}

// expired reports whether a member has been silent for longer than forgetAfter.
func (m *Membership) expired(now time.Time, known *record) bool {
	last := known.heardAt
	if last.IsZero() {
		last = known.addedAt
	}
	return now.Sub(last) > forgetAfter
}

// canServe reports whether callers can be sent to a member.
func (k *record) canServe(now time.Time) bool { return k.State == Ready && k.responds(now) }

// responds reports whether a member that isn't draining answers pings.
func (k *record) responds(now time.Time) bool {
	return k.State != Draining && k.answers(now)
}

// answers reports whether a member answers pings, also while it is draining.
func (k *record) answers(now time.Time) bool {
	if k.heardAt.IsZero() {
		return false
	}
	return k.unansweredSince.IsZero() || now.Sub(k.unansweredSince) < answerTimeout
}

// isSilent reports whether nothing was heard of a member for longer than any of its datagrams
// is under way.
func (k *record) isSilent(now time.Time) bool { return now.Sub(k.heardAt) > answerTimeout }

// ranked returns the records by rank. The caller must not modify the result.
func (m *Membership) ranked() []*record {
	if m.ranking != nil {
		return m.ranking
	}
	m.ranking = slices.Collect(maps.Values(m.records))
	slices.SortFunc(m.ranking, func(a, b *record) int { return a.compare(b.Member) })
	return m.ranking
}

// Members returns the other daemons of the zone by rank, each as last reported.
func (m *Membership) Members() []Member {
	var members []Member
	for _, known := range m.ranked() {
		members = append(members, known.Member)
	}
	return members
}

func nameHash(name string) uint64 { return xxhash.Sum64String(name) }
