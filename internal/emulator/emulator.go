// Package emulator simulates the decisions of daemons in virtual time: several daemons,
// targets whose speed changes, and callers that retry refused requests. It drives the
// production placement code and compares it with policies that have no information or
// complete information.
//
// A simulation run is deterministic for a given seed.
package emulator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Scenario describes a deployment and the traffic of its callers.
type Scenario struct {
	Name string
	// Zones is the number of availability zones. Daemons and targets are spread over
	// them evenly.
	Zones int
	// Daemons is the number of daemons that receive requests from callers.
	Daemons int
	// Targets is the number of targets. Each runs Slots requests concurrently and
	// queues up to QueueSize more.
	Targets, Slots, QueueSize int
	// Rate is the number of new requests per second.
	Rate float64
	// During the burst, from BurstStart for BurstDuration, the rate is BurstFactor
	// times Rate.
	BurstFactor               float64
	BurstStart, BurstDuration time.Duration
	// Workspaces is the number of workspaces, which send at the same rate, or 0 if callers belong
	// to none. The additional requests of the burst then come from workspace 0.
	Workspaces int
	// FairSharing makes the daemons share the targets among the workspaces.
	FairSharing bool
	// ServiceTime is the mean execution time of a request at a target of usual speed,
	// Spread its relative standard deviation.
	ServiceTime time.Duration
	Spread      float64
	// A response within Objective is in time. A try must be answered within Timeout,
	// and a caller stops retrying after CallerTimeout.
	Objective, Timeout, CallerTimeout time.Duration
	// MaxRetries limits how often a caller retries a refused request.
	MaxRetries int
	// A target is slow for SlowShare of the time, in periods of SlowDuration. Execution
	// then takes SlowFactor times as long.
	SlowShare, SlowFactor float64
	SlowDuration          time.Duration
	// StragglerShare is the share of executions that take StragglerFactor times as long. The
	// same request sent again is drawn anew.
	StragglerShare, StragglerFactor float64
	// SaturationShare is the share of occupied slots from which execution takes
	// SaturationFactor times as long.
	SaturationShare, SaturationFactor float64
	// NoReports is set for targets that do not report their load. A probe then needs a
	// slot like any other request.
	NoReports bool
	// HedgeRatio limits the hedges of the daemons, as in their settings. 0 means that only the
	// retry budget limits them.
	HedgeRatio float64
	// LocalDelay and RemoteDelay are the one-way network delays within an availability
	// zone and between zones.
	LocalDelay, RemoteDelay time.Duration
	// SameArrivals draws arrivals apart from the rest, so that callers arrive at the same times
	// with the same work in all runs with a seed, whatever the daemons do. It makes runs
	// comparable at full load, where the outcome depends most on the arrivals.
	SameArrivals bool
	// ArrivalPeriod is the time during which new requests arrive.
	ArrivalPeriod time.Duration
}

// event is a callback scheduled at a virtual time.
type event struct {
	at       time.Time
	order    uint64
	callback func()
}

// simulation is the state of one simulation run.
type simulation struct {
	scenario Scenario
	rng      *rand.Rand
	arrivals *rand.Rand
	now      time.Time
	events   eventHeap
	order    uint64
	start    time.Time
	daemons  []daemon
	targets  []*target
	result   *Result
}

// daemon places the requests that it receives.
type daemon interface {
	arrive(j *job)
}

// job is one try of a caller's request.
type job struct {
	// first is when the caller's first try arrived.
	first time.Time
	// arrived is when this try arrived.
	arrived time.Time
	// workspace is that of the caller.
	workspace int
	try       int
	work      time.Duration
	done      bool
}

// execution is a request at a target.
type execution struct {
	job       *job
	remaining time.Duration
	ended     func()
	canceled  bool
}

// schedule runs a callback after a delay.
func (s *simulation) schedule(delay time.Duration, callback func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(delay), order: s.order, callback: callback})
}

// Simulate runs a scenario with a policy.
func Simulate(scenario Scenario, policy Policy, seed uint64) *Result {
	start := time.Unix(0, 0)
	s := &simulation{
		scenario: scenario,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      start,
		start:    start,
		result:   newResult(scenario, policy),
	}
	s.arrivals = s.rng
	if scenario.SameArrivals {
		s.arrivals = rand.New(rand.NewPCG(seed, 3))
	}
	for i := range scenario.Targets {
		s.targets = append(s.targets, newTarget(s, i))
	}
	for i := range scenario.Daemons {
		s.daemons = append(s.daemons, policy.daemon(s, i))
	}
	s.schedule(0, s.nextArrival)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.callback()
	}
	return s.result
}

// nextArrival starts the request of a new caller and schedules the next arrival.
func (s *simulation) nextArrival() {
	elapsed := s.now.Sub(s.start)
	if elapsed >= s.scenario.ArrivalPeriod {
		return
	}
	burst := 1.0
	if elapsed >= s.scenario.BurstStart && elapsed < s.scenario.BurstStart+s.scenario.BurstDuration {
		burst = s.scenario.BurstFactor
	}
	s.schedule(time.Duration(s.arrivals.ExpFloat64()/(burst*s.scenario.Rate)*float64(time.Second)), s.nextArrival)
	factor := 1 + s.scenario.Spread*s.arrivals.NormFloat64()
	s.arrive(&job{first: s.now, workspace: s.anyWorkspace(burst), work: time.Duration(max(factor, minServiceTimeFactor) * float64(s.scenario.ServiceTime))})
}

// anyWorkspace returns the workspace of an arrival while the rate is burst times the usual one.
func (s *simulation) anyWorkspace(burst float64) int {
	if s.scenario.Workspaces == 0 || s.arrivals.Float64()*burst >= 1 {
		return 0
	}
	return s.arrivals.IntN(s.scenario.Workspaces)
}

// executionTime returns the time that one execution of a job takes at a target of usual speed.
func (s *simulation) executionTime(j *job) time.Duration {
	if s.scenario.StragglerShare == 0 || s.rng.Float64() >= s.scenario.StragglerShare {
		return j.work
	}
	return time.Duration(s.scenario.StragglerFactor * float64(j.work))
}

// minServiceTimeFactor is the minimum service time of a request relative to the mean.
const minServiceTimeFactor = 0.2

func (s *simulation) arrive(j *job) {
	j.arrived = s.now
	s.daemons[s.rng.IntN(len(s.daemons))].arrive(j)
}

// answered ends a job with a response.
func (s *simulation) answered(j *job) {
	if j.done {
		return
	}
	j.done = true
	s.result.answered(j.workspace, j.first.Sub(s.start), s.now.Sub(j.first))
}

// refused ends a job without a response. Its caller may retry after the given delay.
func (s *simulation) refused(j *job, after time.Duration) {
	if j.done {
		return
	}
	j.done = true
	remainingTime := s.scenario.CallerTimeout - s.now.Sub(j.first)
	after = min(after, remainingTime/retryDelayDivisor)
	if j.try >= s.scenario.MaxRetries || remainingTime-after < j.work {
		s.result.failed(j.workspace, j.first.Sub(s.start))
		return
	}
	again := &job{first: j.first, workspace: j.workspace, try: j.try + 1, work: j.work}
	s.schedule(after+2*s.scenario.RemoteDelay, func() { s.arrive(again) })
}

// A caller waits at most its remaining time divided by retryDelayDivisor before it
// retries.
const retryDelayDivisor = 3

// delay returns the one-way network delay between a daemon and a target.
func (s *simulation) delay(daemon int, t *target) time.Duration {
	if daemon%s.scenario.Zones == t.zone {
		return s.scenario.LocalDelay
	}
	return s.scenario.RemoteDelay
}

// eventHeap orders events by time, and events of the same time by the order in which
// they were scheduled.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
