package client

import (
	"context"
	"time"
)

// Resends bounds the resends of a request.
type Resends struct {
	// Max is the number of resends.
	Max int
	// Pause is the time before the first resend. It doubles for each further
	// one.
	Pause time.Duration
}

// DoUntilRan sends a request and sends it again, under the same key and
// numbered, until a target has answered it, limits are spent or ctx is done. The
// answer's outcome covers all sends: NotRun only if none of them can have begun.
// Errors are those of Do, for the last send.
func (c *Client) DoUntilRan(ctx context.Context, request Request, limits Resends) (Answer, error) {
	pause := limits.Pause
	outcome := NotRun
	for {
		answer, err := c.DoContext(ctx, request)
		outcome = combine(outcome, answer.Outcome, request.Key != "" && err == nil)
		answer.Outcome = outcome
		answer.Resends = request.Resend
		if outcome == Ran || request.Resend >= limits.Max || !sleep(ctx, pause) {
			return answer, err
		}
		request.Resend++
		pause *= 2
	}
}

// combine returns the outcome of a request after one more send. An entry daemon's
// word on a keyed request is about all sends; any other outcome is about the last
// one alone.
func combine(earlier, last Outcome, aboutAll bool) Outcome {
	if last == NotRun && !aboutAll {
		return earlier
	}
	return last
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
