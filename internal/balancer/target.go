package balancer

import (
	"math"
	"time"
)

const (
	// sampleDecay is the time constant (decay to 1/e) of the weight of a response.
	sampleDecay = 100 * time.Millisecond
	// reportDecay is the time constant (decay to 1/e) of the weight of a load
	// report.
	reportDecay = 50 * time.Millisecond
)

// Target is this daemon's view of one target of a service.
type Target struct {
	// Name is the VM name.
	Name string
	// Address is the "ip:port" on which the target serves requests.
	Address string
	// Zone is the availability zone.
	Zone string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// MaxConnections limits this daemon's connections to the target; 0 means no
	// limit.
	MaxConnections int
	// InFlight is the number of this daemon's attempts at the target.
	InFlight int
	// Leaving is set once any source reports that the target is shutting down.
	Leaving bool
	// Probing is set while a probe or health check of the target is in progress.
	Probing bool

	// startSum is the sum of the start times of the attempts in flight, in
	// nanoseconds since origin.
	startSum int64
	origin   time.Time
	// sampleCount and sampleTime are the exponentially decayed number of
	// responses and total time of attempts, as of sampleAt.
	sampleCount float64
	sampleTime  time.Duration
	sampleAt    time.Time
	// remote is the last reported load minus this daemon's attempts in flight,
	// remoteMean the long-term mean of that difference.
	remote     float64
	remoteMean float64
	reportAt   time.Time
}

// LoadReport is the load report that a response carried.
type LoadReport struct {
	// Known is false if the response carried no report.
	Known bool
	// InFlight is the number of requests at the target, including the one this
	// response belongs to.
	InFlight int
}

// Sample is the result of one attempt at a target.
type Sample struct {
	// Started is when the attempt started.
	Started time.Time
	// Answered is set for a successful response. Failures say nothing about the
	// target's speed.
	Answered bool
	// Canceled is set if this daemon canceled the attempt, which would have taken
	// longer. Its time then counts, but not as a response.
	Canceled bool
	// Load is the load report on the response.
	Load LoadReport
}

// HasFreeConnection reports whether another attempt stays within MaxConnections.
// A probe uses a connection as well.
func (t *Target) HasFreeConnection() bool {
	used := t.InFlight
	if t.Probing {
		used++
	}
	return t.MaxConnections == 0 || used < t.MaxConnections
}

// RecordStart records the start of an attempt.
func (t *Target) RecordStart(now time.Time) {
	if t.origin.IsZero() {
		t.origin = now
	}
	t.startSum += now.Sub(t.origin).Nanoseconds()
}

// RecordEnd records the end of an attempt. It must be called while the attempt
// still counts in InFlight or right after.
func (t *Target) RecordEnd(now time.Time, sample Sample) {
	t.startSum -= sample.Started.Sub(t.origin).Nanoseconds()
	if sample.Load.Known {
		t.RecordLoad(now, sample.Load.InFlight)
	}
	if !sample.Answered && !sample.Canceled {
		return
	}
	t.decay(now)
	t.sampleTime += now.Sub(sample.Started)
	if sample.Answered {
		t.sampleCount++
	}
}

// decay reduces the weight of earlier samples by the time since the last one.
func (t *Target) decay(now time.Time) {
	if !t.sampleAt.IsZero() {
		weight := decayFactor(now.Sub(t.sampleAt), sampleDecay)
		t.sampleCount *= weight
		t.sampleTime = time.Duration(float64(t.sampleTime) * weight)
	}
	t.sampleAt = now
}

// RecordLoad records a load report. A report below this daemon's own attempts
// counts as no requests of other daemons, so that it can't make the target look
// less loaded than this daemon knows it to be.
func (t *Target) RecordLoad(now time.Time, inFlight int) {
	remote := math.Max(float64(inFlight-t.InFlight), 0)
	if t.reportAt.IsZero() {
		t.remoteMean = remote
	}
	t.remoteMean += (remote - t.remoteMean) * remoteMeanWeight
	t.remote = remote
	t.reportAt = now
}

// remoteMeanWeight is the weight of a new report in the long-term mean.
const remoteMeanWeight = 0.05

// Others estimates the requests of other daemons at the target. The estimate
// starts from the last report and decays toward the long-term mean.
func (t *Target) Others(now time.Time) float64 {
	if t.reportAt.IsZero() {
		return 0
	}
	weight := decayFactor(now.Sub(t.reportAt), reportDecay)
	return t.remoteMean + (t.remote-t.remoteMean)*weight
}

// LastReportAt returns when the last load report was recorded; zero means never.
func (t *Target) LastReportAt() time.Time { return t.reportAt }

// Load estimates the requests of all daemons at the target.
func (t *Target) Load(now time.Time) float64 { return float64(t.InFlight) + t.Others(now) }

// totalAge returns the sum of the ages of the attempts in flight.
func (t *Target) totalAge(now time.Time) time.Duration {
	if t.InFlight == 0 {
		return 0
	}
	return max(time.Duration(int64(t.InFlight)*now.Sub(t.origin).Nanoseconds()-t.startSum), 0)
}

// recentSamples returns the decayed number of responses and the decayed total time
// of attempts. The time includes that of unfinished attempts.
func (t *Target) recentSamples(now time.Time) (sampleCount float64, sampleTime time.Duration) {
	weight := 1.0
	if !t.sampleAt.IsZero() {
		weight = decayFactor(now.Sub(t.sampleAt), sampleDecay)
	}
	return t.sampleCount * weight, time.Duration(float64(t.sampleTime)*weight) + t.totalAge(now)
}

// decayFactor returns the weight that remains after the elapsed time.
func decayFactor(elapsed, decay time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(decay))
}
