package dispatch

import "github.com/poplarwheel/poplarwheel/internal/invariant"

// allowance counts the extra attempts that a call and its downstream calls may
// still use. Each attempt delegates a part of it to its downstream calls and
// refunds what they report as unused. The attempts of a whole call tree therefore
// never exceed what its root call was given.
type allowance struct {
	// total is the allowance that the call started with.
	total int
	// remaining is neither used nor delegated.
	remaining int
}

func newAllowance(total int) allowance {
	return allowance{total: total, remaining: total}
}

// spend deducts the cost of an attempt and what the attempt delegates to its
// downstream calls, which it returns: half of the rest. The other half stays here,
// so that a lost attempt can be retried.
func (a *allowance) spend(cost int) (delegated int) {
	a.remaining -= cost
	delegated = a.remaining / 2
	a.remaining -= delegated
	if a.remaining < 0 {
		invariant.Breached(invariant.RetryBudget, "attempt allowance overdrawn by %d", -a.remaining)
	}
	return delegated
}

// refund adds back what an attempt has not used.
func (a *allowance) refund(unspent int) {
	a.remaining += unspent
	if a.remaining > a.total {
		invariant.Breached(invariant.RetryBudget, "attempt allowance of %d has grown to %d", a.total, a.remaining)
	}
}

// spent returns what has been used, including what is delegated to attempts and has
// not been refunded.
func (a *allowance) spent() int { return a.total - a.remaining }
