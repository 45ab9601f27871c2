// Package probe keeps the measuring of targets within its budget.
//
// The budget of a service holds for the whole system. Daemons can't agree on who
// is alive at any instant, so none relies on it: each may use the budget divided
// by the largest number of entry VMs that can run at once, which is part of the
// accepted configuration. The shares of any set of daemons then sum to no more
// than the budget, whatever their views.
//
// Unused budget is never saved up. A lane sends its next probe one interval
// after the last one has ended, so a daemon that comes back from a freeze finds
// at most one probe a lane waiting, and a restarted daemon waits for an interval
// before its first.
package probe

import (
	"math"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

const (
	// laneInterval is the shortest interval of a lane.
	laneInterval = 10 * time.Millisecond
	// maxLanes bounds the probes that a daemon has under way for one service.
	maxLanes = 8
	// meterWindow is the window in which the invariant counts probes.
	meterWindow = time.Second
	// roundingError is the relative error that a share of a budget may carry.
	roundingError = 1e-9
)

// Share returns a daemon's share of a budget in probes per second. Limit is the
// largest number of entry VMs that can run at once, seen the number that the
// daemon sees.
func Share(budget float64, limit, seen int) float64 {
	share := budget / float64(max(limit, seen, 1))
	if share*float64(limit) > budget*(1+roundingError) {
		invariant.Breached(invariant.MeasuringBudget, "share %g of budget %g for %d daemons", share, budget, limit)
	}
	return share
}

// lane sends one probe at a time.
type lane struct {
	busy bool
	next time.Time
}

// Budget is a daemon's share of the measuring budget of one service. It is not
// safe for concurrent use.
type Budget struct {
	share      float64
	interval   time.Duration
	lanes      []lane
	generation uint64
	meter      meter
}

// Ticket is the right to send one probe.
type Ticket struct {
	lane       int
	generation uint64
}

// SetShare sets the share in probes per second; 0 turns probing off. A change
// starts an interval without probes.
func (b *Budget) SetShare(now time.Time, share float64) {
	if share == b.share {
		return
	}
	b.share = share
	b.generation++
	b.lanes = nil
	b.meter = meter{}
	if share <= 0 {
		return
	}
	count := laneCount(share)
	b.lanes = make([]lane, count)
	b.interval = time.Duration(float64(count) / share * float64(time.Second))
	for i := range b.lanes {
		b.lanes[i].next = now.Add(b.interval * time.Duration(i+1) / time.Duration(count))
	}
}

// laneCount is the number of lanes that use up the share.
func laneCount(share float64) int {
	lanes := math.Ceil(share * laneInterval.Seconds())
	return int(min(max(lanes, 1), maxLanes))
}

// Ready reports whether a probe may be sent now.
func (b *Budget) Ready(now time.Time) bool { return b.freeLane(now) >= 0 }

// freeLane returns the index of a lane that may send a probe now, -1 if there is
// none.
func (b *Budget) freeLane(now time.Time) int {
	for i := range b.lanes {
		if !b.lanes[i].busy && !now.Before(b.lanes[i].next) {
			return i
		}
	}
	return -1
}

// Start returns a ticket if a probe may be sent now.
func (b *Budget) Start(now time.Time) (Ticket, bool) {
	free := b.freeLane(now)
	if free < 0 {
		return Ticket{}, false
	}
	b.lanes[free].busy = true
	b.meter.count(now, b.share, len(b.lanes))
	return Ticket{lane: free, generation: b.generation}, true
}

// Done ends a probe: it was answered, or its connection is closed.
func (b *Budget) Done(now time.Time, ticket Ticket) {
	if ticket.generation != b.generation {
		return
	}
	current := &b.lanes[ticket.lane]
	current.busy = false
	current.next = now.Add(b.interval)
}

// meter checks the budget apart from the lanes.
type meter struct {
	since   time.Time
	started int
}

func (m *meter) count(now time.Time, share float64, lanes int) {
	if m.since.IsZero() || now.Sub(m.since) > meterWindow {
		*m = meter{since: now}
	}
	m.started++
	allowed := share*now.Sub(m.since).Seconds() + float64(lanes)
	invariant.Check(float64(m.started) <= allowed+1e-6, invariant.MeasuringBudget, "%d probes, %g allowed", m.started, allowed)
}
