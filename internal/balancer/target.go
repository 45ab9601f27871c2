package balancer

import (
	"math"
	"time"
)

const (
	// sampleDecay is the time in which the weight of an answer falls to 1/e.
	sampleDecay = 100 * time.Millisecond
	// reportDecay is the time in which the weight of a load report falls to 1/e.
	reportDecay = 50 * time.Millisecond
)

// Target is what a daemon knows of one target.
type Target struct {
	// Name is the VM name.
	Name string
	// Address is the "ip:port" that serves requests.
	Address string
	// Zone is the availability zone.
	Zone string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// MaxConnections bounds this daemon's connections to the target.
	MaxConnections int
	// InFlight is the number of this daemon's attempts at the target.
	InFlight int
	// Leaving is set once any sign says that the target shuts down.
	Leaving bool
	// Probing is set while a probe is under way.
	Probing bool

	// begun is the sum of the start times of the attempts in flight, in
	// nanoseconds since origin.
	begun  int64
	origin time.Time
	// answers and spent are the decayed number of answers and the time that
	// their attempts took.
	answers  float64
	spent    time.Duration
	sampleAt time.Time
	// others is the last reported load less this daemon's own, usual its
	// long-term mean.
	others   float64
	usual    float64
	reportAt time.Time
}

// Report is a load report as it came with an answer.
type Report struct {
	// Known is false if the answer carried no report.
	Known bool
	// InFlight is the number of requests at the target, the answered one
	// included.
	InFlight int
}

// Sample is the end of one attempt at a target.
type Sample struct {
	// Started is when the attempt began.
	Started time.Time
	// Answered is set for a good answer. Failures tell nothing about speed.
	Answered bool
	// Canceled is set if the attempt would have taken longer.
	Canceled bool
	// Load is the report on the answer.
	Load Report
}

// HasConnection reports whether another attempt stays within the daemon's
// connections; a probe takes one.
func (t *Target) HasConnection() bool {
	used := t.InFlight
	if t.Probing {
		used++
	}
	return t.MaxConnections == 0 || used < t.MaxConnections
}

// Began notes the start of an attempt.
func (t *Target) Began(now time.Time) {
	if t.origin.IsZero() {
		t.origin = now
	}
	t.begun += now.Sub(t.origin).Nanoseconds()
}

// Ended notes the end of an attempt. It is called while the attempt still counts
// in InFlight or right after.
func (t *Target) Ended(now time.Time, sample Sample) {
	t.begun -= sample.Started.Sub(t.origin).Nanoseconds()
	if sample.Load.Known {
		t.Observe(now, sample.Load.InFlight)
	}
	if !sample.Answered && !sample.Canceled {
		return
	}
	t.decay(now)
	t.spent += now.Sub(sample.Started)
	if sample.Answered {
		t.answers++
	}
}

// decay lets older answers count less.
func (t *Target) decay(now time.Time) {
	if !t.sampleAt.IsZero() {
		weight := fade(now.Sub(t.sampleAt), sampleDecay)
		t.answers *= weight
		t.spent = time.Duration(float64(t.spent) * weight)
	}
	t.sampleAt = now
}

// Observe takes a load report. A report below the daemon's own count says that
// there are no others; it can't make the target look idler than that.
func (t *Target) Observe(now time.Time, inFlight int) {
	others := math.Max(float64(inFlight-t.InFlight), 0)
	if t.reportAt.IsZero() {
		t.usual = others
	}
	t.usual += (others - t.usual) * usualWeight
	t.others = others
	t.reportAt = now
}

// usualWeight is the weight of one report in the long-term mean.
const usualWeight = 0.05

// Others estimates the requests of other daemons at the target. The last report
// fades into the long-term mean.
func (t *Target) Others(now time.Time) float64 {
	if t.reportAt.IsZero() {
		return 0
	}
	weight := fade(now.Sub(t.reportAt), reportDecay)
	return t.usual + (t.others-t.usual)*weight
}

// Reported returns when the last load report arrived; zero means never.
func (t *Target) Reported() time.Time { return t.reportAt }

// Load estimates all requests at the target.
func (t *Target) Load(now time.Time) float64 { return float64(t.InFlight) + t.Others(now) }

// ages is the sum of the ages of the attempts in flight.
func (t *Target) ages(now time.Time) time.Duration {
	if t.InFlight == 0 {
		return 0
	}
	return max(time.Duration(int64(t.InFlight)*now.Sub(t.origin).Nanoseconds()-t.begun), 0)
}

// recent returns the decayed number of answers and the time spent on them, the
// unfinished attempts included.
func (t *Target) recent(now time.Time) (answers float64, spent time.Duration) {
	weight := 1.0
	if !t.sampleAt.IsZero() {
		weight = fade(now.Sub(t.sampleAt), sampleDecay)
	}
	return t.answers * weight, time.Duration(float64(t.spent)*weight) + t.ages(now)
}

// fade is the weight that is left after a time.
func fade(elapsed, decay time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(decay))
}
