// Package load is an open-loop load generator: it sends requests on a schedule
// that doesn't depend on earlier responses, and measures latency from the intended
// send times. A slow response therefore adds to the latency of every request that
// it delays (no coordinated omission).
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/client"
)

// Arrivals is the distribution of the intervals between requests.
type Arrivals string

// Arrival distributions.
const (
	// Constant sends requests at equal intervals.
	Constant Arrivals = "constant"
	// Poisson draws the intervals from an exponential distribution.
	Poisson Arrivals = "poisson"
)

// Options configure a run.
type Options struct {
	// PerSecond is the request rate.
	PerSecond float64
	// Duration is how long requests are sent.
	Duration time.Duration
	// Arrivals is Constant or Poisson.
	Arrivals Arrivals
	// Within is the latency objective, measured from the intended send time.
	Within time.Duration
	// MaxInFlight limits the requests in flight. A request over the limit is sent
	// late, and its delay counts as latency.
	MaxInFlight int
	// Seed seeds the intervals of Poisson arrivals.
	Seed uint64
}

// Result is the result of one request.
type Result struct {
	// Outcome is the outcome reported to the caller.
	Outcome client.Outcome
	// Reason is the reason code of a response that the entry daemon generated
	// itself; empty for a response of a target.
	Reason string
	// Correct is set if the response is the target's complete response to this
	// request.
	Correct bool
	// Resends is the number of times the client resent the request.
	Resends int
}

// Send sends request number n, counted from 0, and returns its result.
type Send func(ctx context.Context, n uint64) Result

// Run sends requests until options.Duration has passed or ctx is done, then waits
// for the results of those in flight. All results go to recorder.
func Run(ctx context.Context, options Options, recorder *Recorder, send Send) {
	intervals := newIntervals(options)
	slots := make(chan struct{}, options.MaxInFlight)
	start := time.Now()
	var pending sync.WaitGroup
	defer pending.Wait()
	for n, offset := uint64(0), intervals.next(); offset < options.Duration; n, offset = n+1, offset+intervals.next() {
		intended := start.Add(offset)
		if !waitUntil(ctx, intended) {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		pending.Go(func() {
			defer func() { <-slots }()
			sent := time.Now()
			result := send(ctx, n)
			recorder.Record(result, intended, sent, time.Now(), options.Within)
		})
	}
}

// waitUntil waits until the given time. It returns false if ctx is done first.
func waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// intervals generates the intervals between consecutive requests.
type intervals struct {
	mean time.Duration
	// rng is nil for constant intervals.
	rng *rand.Rand
}

func newIntervals(options Options) *intervals {
	i := &intervals{mean: time.Duration(float64(time.Second) / options.PerSecond)}
	if options.Arrivals == Poisson {
		i.rng = rand.New(rand.NewPCG(options.Seed, 3))
	}
	return i
}

func (i *intervals) next() time.Duration {
	if i.rng == nil {
		return i.mean
	}
	return time.Duration(i.rng.ExpFloat64() * float64(i.mean))
}
