package dispatch

import "github.com/poplarwheel/poplarwheel/internal/invariant"

// allowance counts the further attempts that a call and the calls below it may
// still spend. Each attempt is handed a part of it, and what comes back unspent
// is used again, so the attempts of a whole tree of calls never exceed what its
// root was given.
type allowance struct {
	// total is what the call was given.
	total int
	// spare is neither spent nor handed down.
	remaining int
}

func newAllowance(total int) allowance {
	return allowance{total: total, remaining: total}
}

// take pays for an attempt and returns what the attempt hands down: half of what
// is left, so that an attempt that is lost can be replaced from here.
func (a *allowance) spend(cost int) (delegated int) {
	a.remaining -= cost
	delegated = a.remaining / 2
	a.remaining -= delegated
	if a.remaining < 0 {
		invariant.Breached(invariant.RetryBudget, "attempt allowance overdrawn by %d", -a.remaining)
	}
	return delegated
}

// giveBack returns what an attempt has not spent.
func (a *allowance) refund(unspent int) {
	a.remaining += unspent
	if a.remaining > a.total {
		invariant.Breached(invariant.RetryBudget, "attempt allowance of %d has grown to %d", a.total, a.remaining)
	}
}

// spent returns what is spent or may be spent by attempts that have not ended.
func (a *allowance) spent() int { return a.total - a.remaining }
