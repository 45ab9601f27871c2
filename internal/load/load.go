// Package load sends requests at intended times, whether or not earlier ones
// have been answered, and reports their latency from the intended times. A slow
// answer therefore counts for every request that it delays.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/client"
)

// Arrivals says how the intended times are spread.
type Arrivals string

// Kinds of arrivals.
const (
	// Constant spaces the intended times evenly.
	Constant Arrivals = "constant"
	// Poisson spaces them at random with exponential gaps.
	Poisson Arrivals = "poisson"
)

// Options configure a run.
type Options struct {
	// PerSecond is the rate of requests.
	PerSecond float64
	// Duration is the time over which requests are sent.
	Duration time.Duration
	// Arrivals is Constant or Poisson.
	Arrivals Arrivals
	// Within is the agreed time, from the intended time of sending.
	Within time.Duration
	// MaxInFlight bounds the requests in flight. Requests beyond it are sent
	// late, and the wait counts as latency.
	MaxInFlight int
	// Seed seeds the gaps between arrivals.
	Seed uint64
}

// Result is the end of one request.
type Result struct {
	// Outcome is what the caller was told.
	Outcome client.Outcome
	// Reason is the reason code of an answer that an entry daemon made.
	Reason string
	// Correct is set if the answer is the target's whole answer to this request.
	Correct bool
	// Resends is the number of times that the request was sent again.
	Resends int
}

// Send sends the n-th request and returns its end.
type Send func(ctx context.Context, n uint64) Result

// Run sends requests until the duration is over or ctx is done, and waits for
// the answers.
func Run(ctx context.Context, options Options, recorder *Recorder, send Send) {
	gaps := newGaps(options)
	slots := make(chan struct{}, options.MaxInFlight)
	start := time.Now()
	var pending sync.WaitGroup
	defer pending.Wait()
	for n, offset := uint64(0), gaps.next(); offset < options.Duration; n, offset = n+1, offset+gaps.next() {
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

// waitUntil returns false if ctx is done.
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

// gaps are the times between two arrivals.
type gaps struct {
	mean time.Duration
	rng  *rand.Rand
}

func newGaps(options Options) *gaps {
	g := &gaps{mean: time.Duration(float64(time.Second) / options.PerSecond)}
	if options.Arrivals == Poisson {
		g.rng = rand.New(rand.NewPCG(options.Seed, 3))
	}
	return g
}

func (g *gaps) next() time.Duration {
	if g.rng == nil {
		return g.mean
	}
	return time.Duration(g.rng.ExpFloat64() * float64(g.mean))
}
