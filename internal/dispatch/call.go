package dispatch

import "github.com/poplarwheel/poplarwheel/internal/balancer"

// limit is the number of attempts that the call may make here.
func (c *Call) attemptLimit() int { return min(c.Attempts, c.Type.MaxAttempts) }

// mayHaveRun reports whether an attempt is live, or ended without the target's
// word that it has not run.
func (c *Call) mayHaveRun() bool { return c.state.possiblyRun > 0 }

// mayStart reports whether the call's own limits allow another attempt.
func (c *Call) mayStart() bool {
	return c.state.started < c.attemptLimit() && c.state.allowance.remaining >= c.nextCost()
}

// nextCost is what the next attempt takes from the allowance. The first attempt
// that may run is free.
func (c *Call) nextCost() int {
	if c.mayHaveRun() {
		return 1
	}
	return 0
}

// payFor takes the cost of an attempt from the allowance.
func (c *Call) payFor(attempt *Attempt) {
	attempt.cost = c.nextCost()
	attempt.delegated = c.state.allowance.spend(attempt.cost)
	c.state.possiblyRun++
}

// settleAllowance gives back what an ended attempt has not spent.
func (c *Call) settleAllowance(attempt *Attempt, result Result) {
	switch {
	case result.Kind == NotRun:
		c.state.possiblyRun--
		c.state.allowance.refund(attempt.cost + attempt.delegated)
	case result.Kind == Answered && result.SpentKnown:
		spent := min(max(result.SpentBelow, 0), attempt.delegated)
		c.state.allowance.refund(attempt.delegated - spent)
	}
}

func (c *Call) hasTried(target *balancer.Target) bool {
	for _, tried := range c.state.tried {
		if tried == target {
			return true
		}
	}
	return false
}

func (c *Call) removeAttempt(attempt *Attempt) {
	for i, live := range c.state.live {
		if live == attempt {
			c.state.live = append(c.state.live[:i], c.state.live[i+1:]...)
			return
		}
	}
}

// expireAttempts marks the live attempts as ended by the deadline.
func (c *Call) expireAttempts() {
	for _, attempt := range c.state.live {
		attempt.expired = true
	}
}
