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
	spare int
}

func newAllowance(total int) allowance {
	return allowance{total: total, spare: total}
}

// take pays for an attempt and returns what the attempt hands down: half of what
// is left, so that an attempt that is lost can be replaced from here.
func (a *allowance) take(cost int) (handed int) {
	a.spare -= cost
	handed = a.spare / 2
	a.spare -= handed
	if a.spare < 0 {
		invariant.Breached(invariant.RetryBudget, "attempt allowance overdrawn by %d", -a.spare)
	}
	return handed
}

// giveBack returns what an attempt has not spent.
func (a *allowance) giveBack(unspent int) {
	a.spare += unspent
	if a.spare > a.total {
		invariant.Breached(invariant.RetryBudget, "attempt allowance of %d has grown to %d", a.total, a.spare)
	}
}

// spent returns what is spent or may be spent by attempts that have not ended.
func (a *allowance) spent() int { return a.total - a.spare }
