// Package probe asks targets for load reports and limits the rate of these probes.
//
// The measuring budget of a service limits the probes per second of the whole system.
// Daemons can't agree on which of them are running at any instant. Therefore each may
// use the budget divided by the largest number of entry VMs that can run at once, which
// is part of the accepted configuration. Whatever daemons each of them sees, their
// shares never sum to more than the budget.
//
// Unused budget isn't accumulated. A daemon sends its probes from a fixed number of
// slots, each of which sends the next probe one interval after its last one has ended.
// So after a pause of the process at most one probe per slot is due, and after a restart
// a slot waits before its first probe.
package probe

import (
	"math"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

const (
	// minSlotInterval is the shortest interval of a slot while there are fewer than maxSlots.
	minSlotInterval = 10 * time.Millisecond
	// maxSlots bounds the concurrent probes of a daemon for one service.
	maxSlots = 8
	// meterWindow is the time window in which a meter counts probes.
	meterWindow = time.Second
	// roundingError is the relative rounding error that is tolerated in a share.
	roundingError = 1e-9
)

// Share returns a daemon's share of a budget in probes per second. Limit is the largest
// number of entry VMs that can run at once, seen the number that this daemon sees.
func Share(budget float64, limit, seen int) float64 {
	share := budget / float64(max(limit, seen, 1))
	if share*float64(limit) > budget*(1+roundingError) {
		invariant.Breached(invariant.MeasuringBudget, "share %g exceeds budget %g divided by %d daemons", share, budget, limit)
	}
	return share
}

// probeSlot allows one probe at a time.
type probeSlot struct {
	busy bool
	// next is when the next probe may be sent.
	next time.Time
}

// Budget is a daemon's share of the measuring budget of one service. It is not
// safe for concurrent use.
type Budget struct {
	share    float64
	interval time.Duration
	slots    []probeSlot
	// generation counts changes of the share, so that tickets issued before are ignored.
	generation uint64
	meter      meter
}

// Ticket is the right to send one probe.
type Ticket struct {
	slot       int
	generation uint64
}

// SetShare sets the share in probes per second; 0 turns probing off. After a change the
// slots send their first probes evenly spread over the next interval.
func (b *Budget) SetShare(now time.Time, share float64) {
	if share == b.share {
		return
	}
	b.share = share
	b.generation++
	b.slots = nil
	b.meter = meter{}
	if share <= 0 {
		return
	}
	count := slotCount(share)
	b.slots = make([]probeSlot, count)
	b.interval = time.Duration(float64(count) / share * float64(time.Second))
	for i := range b.slots {
		b.slots[i].next = now.Add(b.interval * time.Duration(i+1) / time.Duration(count))
	}
}

// slotCount returns the number of slots that are needed to use the whole share.
func slotCount(share float64) int {
	slots := math.Ceil(share * minSlotInterval.Seconds())
	return int(min(max(slots, 1), maxSlots))
}

// Ready reports whether a probe may be sent now.
func (b *Budget) Ready(now time.Time) bool { return b.freeSlot(now) >= 0 }

// freeSlot returns the index of a slot that may send a probe now, or -1.
func (b *Budget) freeSlot(now time.Time) int {
	for i := range b.slots {
		if !b.slots[i].busy && !now.Before(b.slots[i].next) {
			return i
		}
	}
	return -1
}

// Start reserves a slot and returns its ticket if a probe may be sent now. The caller must
// call Done when the probe has ended.
func (b *Budget) Start(now time.Time) (Ticket, bool) {
	free := b.freeSlot(now)
	if free < 0 {
		return Ticket{}, false
	}
	b.slots[free].busy = true
	b.meter.count(now, b.share, len(b.slots))
	return Ticket{slot: free, generation: b.generation}, true
}

// Done frees the slot of a probe that has ended, with or without a response.
func (b *Budget) Done(now time.Time, ticket Ticket) {
	if ticket.generation != b.generation {
		return
	}
	current := &b.slots[ticket.slot]
	current.busy = false
	current.next = now.Add(b.interval)
}

// meter checks the invariant that the daemon's share isn't exceeded, independently of the
// state of the slots.
type meter struct {
	since   time.Time
	started int
}

// count counts a started probe and checks the number in the current window.
func (m *meter) count(now time.Time, share float64, slots int) {
	if m.since.IsZero() || now.Sub(m.since) > meterWindow {
		*m = meter{since: now}
	}
	m.started++
	allowed := share*now.Sub(m.since).Seconds() + float64(slots)
	invariant.Check(float64(m.started) <= allowed+1e-6, invariant.MeasuringBudget, "%d probes sent, %g allowed", m.started, allowed)
}
