package platformd

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Default rates of the platform, in calls per second. A waiting watch counts as
// one read.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 500
)

// muteLimit bounds the time that a mute watch is held.
const muteLimit = time.Minute

// Faults are the failures that the stand-in imitates. The zero value has none.
type Faults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down"`
	// FlapUpMs and FlapDownMs alternate service and outage, in milliseconds.
	// Both must be above 0 to take effect.
	FlapUpMs   int `json:"flap_up_ms"`
	FlapDownMs int `json:"flap_down_ms"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseWriteAnswers applies writes and closes the connection without an answer.
	LoseWriteAnswers bool `json:"lose_write_answers"`
	// LoseWriteShare does the same to this share of writes, from 0 to 1.
	LoseWriteShare float64 `json:"lose_write_share"`
	// Seed seeds the choice of writes for LoseWriteShare.
	Seed uint64 `json:"seed"`
	// BreakWatches closes the connection of each watch without an answer.
	BreakWatches bool `json:"break_watches"`
	// MuteWatches holds each watch without an answer.
	MuteWatches bool `json:"mute_watches"`
	// SilentWatches ends each watch as if nothing had changed.
	SilentWatches bool `json:"silent_watches"`
	// ListLagMs is the age of the VM list, in milliseconds.
	ListLagMs int `json:"list_lag_ms"`
	// ReadsPerSecond and WritesPerSecond replace the default rates. Calls above
	// a rate are refused with status 429.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}

// faultState is a set of faults in force.
type faultState struct {
	Faults
	since   time.Time
	reads   *rate.Limiter
	writes  *rate.Limiter
	ended   chan struct{}
	rngLock sync.Mutex
	rng     *rand.Rand
}

func newFaultState(faults Faults, now time.Time) *faultState {
	return &faultState{
		Faults: faults,
		since:  now,
		reads:  limiter(faults.ReadsPerSecond, DefaultReadsPerSecond),
		writes: limiter(faults.WritesPerSecond, DefaultWritesPerSecond),
		ended:  make(chan struct{}),
		rng:    rand.New(rand.NewPCG(faults.Seed, 1)),
	}
}

// limiter allows perSecond calls a second, and a tenth of that in one burst.
func limiter(perSecond, absent int) *rate.Limiter {
	if perSecond == 0 {
		perSecond = absent
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/10, 1))
}

// down reports whether the platform is in an outage at now.
func (f *faultState) down(now time.Time) bool {
	if f.Down || f.FlapUpMs <= 0 || f.FlapDownMs <= 0 {
		return f.Down
	}
	period := time.Duration(f.FlapUpMs+f.FlapDownMs) * time.Millisecond
	up := time.Duration(f.FlapUpMs) * time.Millisecond
	return now.Sub(f.since)%period >= up
}

// losesAnswer decides whether the answer to a write is lost.
func (f *faultState) losesAnswer() bool {
	if f.LoseWriteAnswers {
		return true
	}
	if f.LoseWriteShare <= 0 {
		return false
	}
	f.rngLock.Lock()
	defer f.rngLock.Unlock()
	return f.rng.Float64() < f.LoseWriteShare
}

// listLag returns the age of the VM list.
func (f *faultState) listLag() time.Duration { return time.Duration(f.ListLagMs) * time.Millisecond }

// watchFault carries out the faults of watches. It returns true if the watch has
// been dealt with.
func (f *faultState) watchFault(ctx *fasthttp.RequestCtx) bool {
	_, wait := waitArgs(ctx)
	switch {
	case f.BreakWatches:
		_ = ctx.Conn().Close()
	case f.MuteWatches:
		f.hold(muteLimit)
		_ = ctx.Conn().Close()
	case f.SilentWatches:
		f.hold(wait)
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	default:
		return false
	}
	return true
}

// hold waits for limit, or until the faults are replaced.
func (f *faultState) hold(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ended:
	}
}

// Counts are the calls received since the start, by kind.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Lists counts reads and watches of the VM list.
	Lists uint64 `json:"lists"`
	// Unavailable counts calls refused during an outage.
	Unavailable uint64 `json:"unavailable"`
	// LimitedReads and LimitedWrites count calls refused for the rate limits.
	LimitedReads  uint64 `json:"limited_reads"`
	LimitedWrites uint64 `json:"limited_writes"`
	// LostAnswers counts writes that were applied without an answer.
	LostAnswers uint64 `json:"lost_answers"`
	// PeakPerSecond is the largest number of calls received within one second of
	// the clock, refused ones included.
	PeakPerSecond uint64 `json:"peak_per_second"`
}

// counters counts calls. It is safe for concurrent use.
type counters struct {
	reads, writes, watches, lists atomic.Uint64
	unavailable                   atomic.Uint64
	limitedReads, limitedWrites   atomic.Uint64
	lostAnswers                   atomic.Uint64

	mu     sync.Mutex
	second int64
	calls  uint64
	peak   uint64
}

// received counts a call towards the peak.
func (c *counters) received(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Unix() != c.second {
		c.second = now.Unix()
		c.calls = 0
	}
	c.calls++
	c.peak = max(c.peak, c.calls)
}

func (c *counters) snapshot() Counts {
	c.mu.Lock()
	peak := c.peak
	c.mu.Unlock()
	return Counts{
		Reads:         c.reads.Load(),
		Writes:        c.writes.Load(),
		Watches:       c.watches.Load(),
		Lists:         c.lists.Load(),
		Unavailable:   c.unavailable.Load(),
		LimitedReads:  c.limitedReads.Load(),
		LimitedWrites: c.limitedWrites.Load(),
		LostAnswers:   c.lostAnswers.Load(),
		PeakPerSecond: peak,
	}
}
