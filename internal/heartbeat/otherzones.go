package heartbeat

import (
	"slices"
	"time"
)

// While no daemon of its own availability zone serves, a daemon queries one member of each
// other zone for the addresses which that zone advertises, so that callers can be sent
// there. At other times zones don't query one another.

const (
	// zoneQueryInterval is the interval between two queries to another zone.
	zoneQueryInterval = 250 * time.Millisecond
	// zoneAnswerLifetime is how long the answer of another zone is valid.
	zoneAnswerLifetime = 2 * time.Second
)

// otherZone is another availability zone.
type otherZone struct {
	zone    string
	members []Member
	// contact is the index of the member that is queried, modulo their number.
	contact int
	askedAt time.Time
	// waiting is set while the contact hasn't answered.
	waiting bool
	// advertised are the addresses that the contact answered at answeredAt.
	advertised []string
	answeredAt time.Time
}

// addToOtherZone adds a member of another zone, or replaces the one of the same name.
func (m *Membership) addToOtherZone(member Member) {
	i := slices.IndexFunc(m.otherZones, func(o *otherZone) bool { return o.zone == member.Zone })
	if i < 0 {
		m.otherZones = append(m.otherZones, &otherZone{zone: member.Zone})
		i = len(m.otherZones) - 1
	}
	o := m.otherZones[i]
	known := slices.IndexFunc(o.members, func(existing Member) bool { return existing.Name == member.Name })
	if known >= 0 {
		o.members[known] = member
		return
	}
	o.members = append(o.members, member)
	slices.SortFunc(o.members, Member.compare)
}

// DueZoneQueries returns the members of other zones that are due to be queried, at most one
// a zone, and records that they are queried now. If the last contact of a zone hasn't
// answered, the next member becomes the contact.
func (m *Membership) DueZoneQueries(now time.Time) []Member {
	if len(m.serving(now)) > 0 {
		return nil
	}
	var due []Member
	for _, o := range m.otherZones {
		if now.Sub(o.askedAt) < zoneQueryInterval {
			continue
		}
		if o.waiting {
			o.contact++
		}
		o.askedAt, o.waiting = now, true
		due = append(due, o.members[o.contact%len(o.members)])
	}
	return due
}

// HandleZoneAnswer records the addresses that another zone advertises, as answered by one
// of its members.
func (m *Membership) HandleZoneAnswer(now time.Time, from Member, advertised []string) {
	for _, o := range m.otherZones {
		if o.zone == from.Zone {
			o.advertised, o.answeredAt, o.waiting = advertised, now, false
		}
	}
}

// advertisedElsewhere returns the addresses that other zones advertise.
func (m *Membership) advertisedElsewhere(now time.Time) []string {
	var advertised []string
	for _, o := range m.otherZones {
		if now.Sub(o.answeredAt) < zoneAnswerLifetime {
			advertised = append(advertised, o.advertised...)
		}
	}
	return advertised
}

// ZonePeers are some daemons of another availability zone.
type ZonePeers struct {
	Zone string
	// Addresses are their peer addresses.
	Addresses []string
}

// OtherZonePeers returns up to ofZone members of each other zone, whether they have answered or
// not. Pick returns a permutation of the numbers below n, such as rand.Perm, which chooses the
// members.
func (m *Membership) OtherZonePeers(ofZone int, pick func(n int) []int) []ZonePeers {
	var zones []ZonePeers
	for _, o := range m.otherZones {
		peers := ZonePeers{Zone: o.zone}
		for _, i := range pick(len(o.members))[:min(ofZone, len(o.members))] {
			peers.Addresses = append(peers.Addresses, o.members[i].PeerAddress)
		}
		zones = append(zones, peers)
	}
	return zones
}

// contacts returns the peer addresses of the contacts in other zones that have answered
// lately.
func (m *Membership) contacts(now time.Time) []string {
	var contacts []string
	for _, o := range m.otherZones {
		if now.Sub(o.answeredAt) < zoneAnswerLifetime {
			contacts = append(contacts, o.members[o.contact%len(o.members)].PeerAddress)
		}
	}
	return contacts
}
