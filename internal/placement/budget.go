package placement

import "time"

const (
	// budgetSlots is the number of slots into which the sliding window is divided.
	budgetSlots = 10
	// budgetMargin is the share of the budget that is used. It leaves room for daemons
	// that temporarily disagree on the number of daemons.
	budgetMargin = 0.7
)

// Budget limits the sends of requests beyond their first, in a sliding window. Each
// daemon is limited in proportion to its own requests plus its share of the fixed
// allowance, so that all daemons together stay within the total.
type Budget struct {
	window   time.Duration
	ratio    float64
	fixed    float64
	start    time.Time
	requests [budgetSlots]float64
	spent    [budgetSlots]float64
	current  int
}

// NewBudget returns a budget of ratio x requests + fixed sends in each window.
func NewBudget(window time.Duration, ratio, fixed float64) Budget {
	return Budget{window: window, ratio: ratio, fixed: fixed}
}

// SetFixed sets this daemon's share of the fixed allowance.
func (b *Budget) SetFixed(fixed float64) { b.fixed = fixed }

// RecordRequest counts a new request.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.current]++
}

// Take reports whether the budget allows another send, and if so, charges it.
func (b *Budget) Take(now time.Time) bool {
	if !b.Allows(now, 1) {
		return false
	}
	b.spent[b.current]++
	return true
}

// Allows reports whether the given share of the budget allows another send.
func (b *Budget) Allows(now time.Time, share float64) bool {
	b.advance(now)
	requests, spent := 0.0, 0.0
	for i := range budgetSlots {
		requests += b.requests[i]
		spent += b.spent[i]
	}
	return spent+1 <= share*budgetMargin*(b.ratio*requests+b.fixed)
}

func (b *Budget) advance(now time.Time) {
	step := b.window / budgetSlots
	if b.start.IsZero() || now.Sub(b.start) > b.window {
		*b = Budget{window: b.window, ratio: b.ratio, fixed: b.fixed, start: now}
		return
	}
	for now.Sub(b.start) >= step {
		b.start = b.start.Add(step)
		b.current = (b.current + 1) % budgetSlots
		b.requests[b.current] = 0
		b.spent[b.current] = 0
	}
}
