package dispatch

import "github.com/poplarwheel/poplarwheel/internal/invariant"

const (
	// maxCredit is the maximum number of unused extra attempts that accumulate.
	maxCredit = 10.0
)

// shareBudget limits extra attempts (retries or hedges) to a share of the calls.
type shareBudget struct {
	// share is the number of extra attempts that each call adds.
	share float64
	// credit is the number of extra attempts available now.
	credit float64
	// granted and spent are the totals added and used since the start.
	granted float64
	spent   uint64
}

// newShareBudget returns a budget that starts with the given credit.
func newShareBudget(credit float64) shareBudget {
	return shareBudget{credit: credit, granted: credit}
}

// setShare changes the share. While it is 0, no extra attempts are available,
// whatever the credit.
func (b *shareBudget) setShare(share float64) {
	b.share = share
}

// earn adds the credit for one call.
func (b *shareBudget) earn() {
	b.granted += b.share
	b.credit = min(b.credit+b.share, maxCredit)
}

// available reports whether spend would succeed.
func (b *shareBudget) available() bool {
	return b.share > 0 && b.credit >= 1
}

// spend takes one extra attempt from the budget. It returns false if none is
// available.
func (b *shareBudget) spend() bool {
	if !b.available() {
		return false
	}
	b.credit--
	b.spent++
	invariant.Check(float64(b.spent) <= b.granted+creditTolerance, invariant.RetryBudget,
		"%d extra attempts spent, %.2f granted", b.spent, b.granted)
	return true
}

// creditTolerance is the accepted rounding error of the sum of credits.
const creditTolerance = 0.001
