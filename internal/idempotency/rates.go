package idempotency

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// burstTime is how much of a rate may be spent at once.
const burstTime = 200 * time.Millisecond

// Rates are a daemon's shares of the platform's rates. They are safe for
// concurrent use.
type Rates struct {
	totalWrites, totalReads float64
	writes, reads           *rate.Limiter
}

// NewRates returns shares for a daemon that is alone. The totals are the calls a
// second that records may make in the whole system.
func NewRates(totalWrites, totalReads float64) *Rates {
	r := &Rates{
		totalWrites: totalWrites, totalReads: totalReads,
		writes: rate.NewLimiter(0, 1), reads: rate.NewLimiter(0, 1),
	}
	r.SetDaemons(1)
	return r
}

// SetDaemons shares the rates out among a number of daemons. The shares sum to
// the totals if every daemon counts at least as many as there are.
func (r *Rates) SetDaemons(daemons int) {
	setShare(r.writes, r.totalWrites/float64(max(daemons, 1)))
	setShare(r.reads, r.totalReads/float64(max(daemons, 1)))
}

func setShare(limiter *rate.Limiter, perSecond float64) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(max(int(perSecond*burstTime.Seconds()), 1))
}

func (r *Rates) awaitWrite() { _ = r.writes.Wait(context.Background()) }

func (r *Rates) awaitRead() { _ = r.reads.Wait(context.Background()) }

func (r *Rates) writesPerSecond() float64 { return float64(r.writes.Limit()) }
