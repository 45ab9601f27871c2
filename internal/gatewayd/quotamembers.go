package gatewayd

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
)

const (
	// quotaMembersInterval is the interval at which the daemons of the own zone are added to the
	// listed ones.
	quotaMembersInterval = time.Second
	// unlistedPeriod is how long a daemon that isn't listed or heard anymore still counts as one
	// that votes. It outlasts a few lists, since a stale one may leave out daemons.
	unlistedPeriod = time.Minute
)

// quotaMembers are the daemons that vote for the owner of the quotas, whether they respond or not.
// It is safe for concurrent use.
type quotaMembers struct {
	name, address string

	mu sync.Mutex
	// byName are the known daemons.
	byName map[string]quotaMember
	// complete is set once a list contained this daemon, so that it is as recent as its
	// registration.
	complete bool
}

type quotaMember struct {
	address string
	seenAt  time.Time
}

func newQuotaMembers(name, address string) quotaMembers {
	return quotaMembers{name: name, address: address, byName: map[string]quotaMember{}}
}

// add adds daemons. Listed tells that they are the whole list of registered daemons.
func (m *quotaMembers) add(now time.Time, members []heartbeat.Member, listed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		if member.Name == m.name {
			m.complete = m.complete || listed
			continue
		}
		m.byName[member.Name] = quotaMember{address: member.PeerAddress, seenAt: now}
	}
	if listed {
		// Without a new list, nothing tells that a daemon is gone.
		maps.DeleteFunc(m.byName, func(_ string, known quotaMember) bool { return now.Sub(known.seenAt) > unlistedPeriod })
	}
}

// addresses returns the peer addresses of all daemons, this one included, and whether the list of
// registered daemons is known.
func (m *quotaMembers) addresses() ([]string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := []string{m.address}
	for _, known := range m.byName {
		addresses = append(addresses, known.address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses), m.complete
}

// learnQuotaMembers adds the registered daemons to those that vote.
func (d *Daemon) learnQuotaMembers(registered []heartbeat.Member) {
	if d.quotas != nil {
		d.quotas.learn(registered, true)
	}
}

// followQuotaMembers adds the daemons of the own zone to those that vote until the daemon stops.
func (d *Daemon) followQuotaMembers() {
	for !d.stopping.Load() {
		d.quotas.learn(d.node.Members(), false)
		time.Sleep(quotaMembersInterval)
	}
}

// learn adds daemons and passes the known ones to the state machine.
func (q *quotas) learn(members []heartbeat.Member, listed bool) {
	q.members.add(time.Now(), members, listed)
	addresses, complete := q.members.addresses()
	q.update(func(time.Duration) { q.node.SetMembers(addresses, complete) })
}
