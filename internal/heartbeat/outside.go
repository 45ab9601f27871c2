package heartbeat

import (
	"slices"
	"time"
)

// While nobody of the own availability zone serves, a daemon asks one of each other zone
// whom that zone names, so that callers can be sent there. Otherwise zones leave one
// another alone.

const (
	// askOutsideEvery is the pause between two questions to another zone.
	askOutsideEvery = 250 * time.Millisecond
	// outsideCounts is how long an answer counts.
	outsideCounts = 2 * time.Second
)

// outside is another availability zone.
type outside struct {
	zone    string
	members []Member
	// contact is the index of the member that is asked.
	contact int
	askedAt time.Time
	// waiting is set while the contact hasn't answered.
	waiting bool
	// named are those that callers are sent to there, as the contact said at a time.
	named   []string
	namedAt time.Time
}

// learnOutside takes the name of a member of another zone.
func (r *Roster) learnOutside(member Member) {
	i := slices.IndexFunc(r.outside, func(o *outside) bool { return o.zone == member.Zone })
	if i < 0 {
		r.outside = append(r.outside, &outside{zone: member.Zone})
		i = len(r.outside) - 1
	}
	o := r.outside[i]
	known := slices.IndexFunc(o.members, func(m Member) bool { return m.Name == member.Name })
	if known >= 0 {
		o.members[known] = member
		return
	}
	o.members = append(o.members, member)
	slices.SortFunc(o.members, Member.compare)
}

// OutsideDue returns the members of other zones that have to be asked now, and takes
// them as asked. One that hasn't answered makes way for the next.
func (r *Roster) OutsideDue(now time.Time) []Member {
	if len(r.serving(now)) > 0 {
		return nil
	}
	var due []Member
	for _, o := range r.outside {
		if now.Sub(o.askedAt) < askOutsideEvery {
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

// HeardOutside takes a member's word whom its zone names.
func (r *Roster) HeardOutside(now time.Time, from Member, named []string) {
	for _, o := range r.outside {
		if o.zone == from.Zone {
			o.named, o.namedAt, o.waiting = named, now, false
		}
	}
}

// namedOutside returns whom other zones name.
func (r *Roster) namedOutside(now time.Time) []string {
	var named []string
	for _, o := range r.outside {
		if now.Sub(o.namedAt) < outsideCounts {
			named = append(named, o.named...)
		}
	}
	return named
}

// OutsidePeers returns the "ip:port" of a few members of each other zone, heard of or
// not, chosen by pick.
func (r *Roster) OutsidePeers(ofZone int, pick func(n int) []int) []string {
	var peers []string
	for _, o := range r.outside {
		for _, i := range pick(len(o.members))[:min(ofZone, len(o.members))] {
			peers = append(peers, o.members[i].Peer)
		}
	}
	return peers
}

// contacts returns the "ip:port" of members of other zones that have lately answered.
func (r *Roster) contacts(now time.Time) []string {
	var contacts []string
	for _, o := range r.outside {
		if now.Sub(o.namedAt) < outsideCounts {
			contacts = append(contacts, o.members[o.contact%len(o.members)].Peer)
		}
	}
	return contacts
}
