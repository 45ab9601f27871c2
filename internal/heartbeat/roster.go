// Package heartbeat tells which daemons of an availability zone serve callers.
//
// Daemons of a zone ask one another by datagrams, the few that callers are sent to
// more often than the others. Which few that is follows from the sizes of their VMs,
// the zone's load and their names, so that all daemons name the same ones. While nobody
// of the zone serves, those of other zones are named. Roster is a plain state machine;
// Node drives it.
package heartbeat

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pingEvery is the pause between two questions to a daemon that callers may be
	// sent to.
	pingEvery = 250 * time.Millisecond
	// restEvery is the same for the other daemons.
	restEvery = 2 * time.Second
	// silentAfter is how long a daemon that was asked may be silent.
	silentAfter = 600 * time.Millisecond
	// forgetAfter is how long a silent daemon is asked.
	forgetAfter = 20 * time.Second
)

// State is what a daemon says of itself.
type State string

// States.
const (
	// Starting daemons can't serve yet.
	Starting State = "starting"
	// Ready daemons serve callers.
	Ready State = "ready"
	// Leaving daemons serve whom they have, and end soon.
	Leaving State = "leaving"
)

// Member is a daemon of the zone.
type Member struct {
	Name string `json:"name"`
	// Zone is its availability zone.
	Zone string `json:"zone,omitempty"`
	// Front is the "ip:port" that serves callers.
	Front string `json:"front"`
	// Peer is the "ip:port" for datagrams.
	Peer string `json:"peer"`
	// Born grows with each start, in Unix milliseconds.
	Born  int64 `json:"born"`
	State State `json:"state"`
	// Capacity is the rate of calls that the daemon's VM carries at ease, Load the rate
	// that it has, both a second. A zone names as many daemons as its load asks for, the
	// largest first.
	Capacity float64 `json:"capacity"`
	Load     float64 `json:"load"`
}

// compare orders members as they are named: the largest first, then by a hash of their
// names, so that all daemons name the same ones.
func (m Member) compare(other Member) int {
	return cmp.Or(
		cmp.Compare(other.Capacity, m.Capacity),
		cmp.Compare(rankOf(m.Name), rankOf(other.Name)),
		cmp.Compare(m.Name, other.Name),
	)
}

// record is what is known of a member.
type record struct {
	Member
	known    time.Time
	heardAt  time.Time
	pingedAt time.Time
	// unanswered is when the first question was sent that has no answer; zero if
	// none waits for one.
	unanswered time.Time
}

// Roster is the zone as one daemon sees it. It is not safe for concurrent use.
type Roster struct {
	self    Member
	size    int
	records map[string]*record
	// order holds the records in the order in which they are named; nil until it is
	// asked for again after a change.
	order []*record
	// outside are the other availability zones.
	outside []*outside
}

// NewRoster returns the roster of a daemon that names at least size daemons to callers.
func NewRoster(self Member, size int) *Roster {
	return &Roster{self: self, size: size, records: map[string]*record{}}
}

// Self returns the daemon's own record.
func (r *Roster) Self() Member { return r.self }

// SetState changes the daemon's own state.
func (r *Roster) SetState(state State) { r.self.State = state }

// SetLoad sets the rate of calls that the daemon has, a second.
func (r *Roster) SetLoad(load float64) { r.self.Load = load }

// Learn takes the name of a member from elsewhere, of whichever zone. It has to answer
// before it counts.
func (r *Roster) Learn(now time.Time, member Member) {
	if member.Zone != r.self.Zone {
		r.learnOutside(member)
		return
	}
	r.admit(now, member)
}

// admit returns the record of a member, nil if it is out of date or our own.
func (r *Roster) admit(now time.Time, member Member) *record {
	if member.Name == "" || member.Name == r.self.Name {
		return nil
	}
	known := r.records[member.Name]
	if known == nil || member.Born > known.Born {
		known = &record{Member: member, known: now}
		known.State = Starting
		r.records[member.Name] = known
		r.order = nil
	}
	if member.Born < known.Born {
		return nil
	}
	return known
}

// Heard takes a member's own word.
func (r *Roster) Heard(now time.Time, member Member) {
	known := r.admit(now, member)
	if known == nil {
		return
	}
	if known.State != Leaving {
		known.State = member.State
	}
	if known.Capacity != member.Capacity {
		r.order = nil
	}
	known.Capacity, known.Load = member.Capacity, member.Load
	known.heardAt = now
	known.unanswered = time.Time{}
}

// Due returns the members that have to be asked now, and takes them as asked.
func (r *Roster) Due(now time.Time) []Member {
	var due []Member
	often := r.wanted(now) + reserve
	for i, known := range r.ranked() {
		if r.forgotten(now, known) {
			delete(r.records, known.Name)
			r.order = nil
			continue
		}
		every := restEvery
		if i < often || known.State == Starting || !known.unanswered.IsZero() {
			every = pingEvery
		}
		if now.Sub(known.pingedAt) < every {
			continue
		}
		known.pingedAt = now
		if known.unanswered.IsZero() {
			known.unanswered = now
		}
		due = append(due, known.Member)
	}
	return due
}

func (r *Roster) forgotten(now time.Time, known *record) bool {
	last := known.heardAt
	if last.IsZero() {
		last = known.known
	}
	return now.Sub(last) > forgetAfter
}

// serves reports whether callers can be sent to a member.
func (k *record) serves(now time.Time) bool {
	if k.State != Ready || k.heardAt.IsZero() {
		return false
	}
	return k.unanswered.IsZero() || now.Sub(k.unanswered) < silentAfter
}

// ranked returns the records in the order in which they are named. The caller must not
// change it.
func (r *Roster) ranked() []*record {
	if r.order != nil {
		return r.order
	}
	r.order = slices.Collect(maps.Values(r.records))
	slices.SortFunc(r.order, func(a, b *record) int { return a.compare(b.Member) })
	return r.order
}

// Members returns the other daemons, as they are known.
func (r *Roster) Members() []Member {
	var members []Member
	for _, known := range r.ranked() {
		members = append(members, known.Member)
	}
	return members
}

func rankOf(name string) uint64 { return xxhash.Sum64String(name) }
