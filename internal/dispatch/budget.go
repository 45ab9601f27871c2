package dispatch

const (
	// budgetCap bounds the attempts that a quiet period saves up.
	budgetCap = 10.0
)

// shareBudget allows extra attempts for a share of calls.
type shareBudget struct {
	share  float64
	credit float64
}

// earn credits the budget for one call.
func (b *shareBudget) earn() {
	b.credit = min(b.credit+b.share, budgetCap)
}

// spend takes one attempt from the budget.
func (b *shareBudget) spend() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
