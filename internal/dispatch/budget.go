package dispatch

import "github.com/poplarwheel/poplarwheel/internal/invariant"

const (
	// maxCredit bounds the attempts that a quiet period saves up.
	maxCredit = 10.0
)

// shareBudget allows extra attempts for a share of calls.
type shareBudget struct {
	share   float64
	credit  float64
	granted float64
	spent   uint64
}

// newShareBudget returns a budget that starts with the given credit.
func newShareBudget(credit float64) shareBudget {
	return shareBudget{credit: credit, granted: credit}
}

// setShare changes the share of calls. A share of 0 takes the credit away.
func (b *shareBudget) setShare(share float64) {
	b.share = share
}

// earn credits the budget for one call.
func (b *shareBudget) earn() {
	b.granted += b.share
	b.credit = min(b.credit+b.share, maxCredit)
}

// available reports whether spend would succeed.
func (b *shareBudget) available() bool {
	return b.share > 0 && b.credit >= 1
}

// spend takes one attempt from the budget.
func (b *shareBudget) spend() bool {
	if !b.available() {
		return false
	}
	b.credit--
	b.spent++
	invariant.Check(float64(b.spent) <= b.granted+creditTolerance, invariant.RetryBudget,
		"%d extra attempts, %.2f granted", b.spent, b.granted)
	return true
}

// creditTolerance is the rounding error that sums of credit may carry.
const creditTolerance = 0.001
