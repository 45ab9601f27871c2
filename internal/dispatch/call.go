package dispatch

import "github.com/poplarwheel/poplarwheel/internal/balancer"

// attemptLimit returns the number of attempts that this daemon may make for the
// call.
func (c *Call) attemptLimit() int { return min(c.Attempts, c.Type.MaxAttempts) }

// mayHaveRun reports whether an attempt is in flight, or has ended otherwise than
// as NotRun.
func (c *Call) mayHaveRun() bool { return c.state.possiblyRun > 0 }

// mayStart reports whether the call's attempt limit and allowance permit another
// attempt.
func (c *Call) mayStart() bool {
	return c.state.started < c.attemptLimit() && c.state.allowance.remaining >= c.nextCost()
}

// nextCost returns what the next attempt itself takes from the allowance. It is
// free while no attempt may have run.
func (c *Call) nextCost() int {
	if c.mayHaveRun() {
		return 1
	}
	return 0
}

// payFor deducts an attempt's cost and its delegated part from the allowance.
func (c *Call) payFor(attempt *Attempt) {
	attempt.cost = c.nextCost()
	attempt.delegated = c.state.allowance.spend(attempt.cost)
	c.state.possiblyRun++
}

// settleAllowance refunds what an ended attempt has not used.
func (c *Call) settleAllowance(attempt *Attempt, result Result) {
	switch {
	case result.Kind == NotRun:
		c.state.possiblyRun--
		c.state.allowance.refund(attempt.cost + attempt.delegated)
	case result.Kind == Answered && result.DownstreamSpentKnown:
		spent := min(max(result.DownstreamSpent, 0), attempt.delegated)
		c.state.allowance.refund(attempt.delegated - spent)
	}
}

// hasTried reports whether an attempt of the call went to the target.
func (c *Call) hasTried(target *balancer.Target) bool {
	for _, tried := range c.state.tried {
		if tried == target {
			return true
		}
	}
	return false
}

// removeAttempt removes an ended attempt from those in flight.
func (c *Call) removeAttempt(attempt *Attempt) {
	for i, live := range c.state.live {
		if live == attempt {
			c.state.live = append(c.state.live[:i], c.state.live[i+1:]...)
			return
		}
	}
}

// expireAttempts marks the attempts in flight as ended by the call's deadline.
func (c *Call) expireAttempts() {
	for _, attempt := range c.state.live {
		attempt.expired = true
	}
}
