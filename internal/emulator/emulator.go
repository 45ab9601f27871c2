// Package emulator plays what daemons decide in virtual time: many daemons, targets
// whose speed changes, and callers who come back when they are refused. It drives the
// real placement code and compares it with choices that know nothing or everything.
//
// A play is deterministic by its seed.
package emulator

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Load describes a deployment and what its callers ask.
type Load struct {
	Name string
	// Zones is the number of availability zones. Daemons and targets are spread over
	// them evenly.
	Zones int
	// Daemons is the number of daemons that callers are sent to.
	Daemons int
	// Targets is the number of targets; Slots the requests each runs at once, Queue
	// those that wait there.
	Targets, Slots, Queue int
	// Rate is the number of new requests a second.
	Rate float64
	// BurstFactor times Rate is the rate during the burst, from BurstAt for BurstFor.
	BurstFactor       float64
	BurstAt, BurstFor time.Duration
	// Work is the mean time of a request at a target of its usual speed; Spread the
	// part by which it varies.
	Work   time.Duration
	Spread float64
	// Objective is the time within which an answer is in time, Timeout when callers
	// have to be answered, Patience how long they go on.
	Objective, Timeout, Patience time.Duration
	// Retries bounds how often a refused caller comes back.
	Retries int
	// SlowShare is the part of the time in which a target is slow, SlowFactor how
	// much, SlowFor how long at a time.
	SlowShare, SlowFactor float64
	SlowFor               time.Duration
	// KneeShare is the occupancy from which work takes KneeFactor times as long.
	KneeShare, KneeFactor float64
	// Mute targets don't tell their load, and a question for it waits for a slot.
	Mute bool
	// Near and Far are the times one way within an availability zone and between two.
	Near, Far time.Duration
	// Length is how long requests arrive.
	Length time.Duration
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order uint64
	fire  func()
}

// world is one play.
type world struct {
	load    Load
	rng     *rand.Rand
	now     time.Time
	events  eventHeap
	order   uint64
	start   time.Time
	daemons []daemon
	targets []*target
	result  *Result
}

// daemon places the requests that arrive at it.
type daemon interface {
	arrive(j *job)
}

// job is one try of a caller.
type job struct {
	// first is when the caller asked first.
	first time.Time
	// arrived is when this try arrived.
	arrived time.Time
	try     int
	work    time.Duration
	over    bool
}

// run is a request at a target.
type run struct {
	job       *job
	remaining time.Duration
	ended     func()
	canceled  bool
}

// at makes a function run after a while.
func (w *world) at(after time.Duration, fire func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(after), order: w.order, fire: fire})
}

// Play plays a load with a policy.
func Play(load Load, policy Policy, seed uint64) *Result {
	start := time.Unix(0, 0)
	w := &world{
		load:   load,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		now:    start,
		start:  start,
		result: newResult(load, policy),
	}
	for i := range load.Targets {
		w.targets = append(w.targets, newTarget(w, i))
	}
	for i := range load.Daemons {
		w.daemons = append(w.daemons, policy.daemon(w, i))
	}
	w.at(0, w.next)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fire()
	}
	return w.result
}

// next lets a new caller arrive and schedules the one after.
func (w *world) next() {
	elapsed := w.now.Sub(w.start)
	if elapsed >= w.load.Length {
		return
	}
	rate := w.load.Rate
	if elapsed >= w.load.BurstAt && elapsed < w.load.BurstAt+w.load.BurstFor {
		rate *= w.load.BurstFactor
	}
	w.at(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), w.next)
	varied := 1 + w.load.Spread*w.rng.NormFloat64()
	w.arrive(&job{first: w.now, work: time.Duration(max(varied, leastWork) * float64(w.load.Work))})
}

// leastWork bounds the work of a request, as a part of the mean.
const leastWork = 0.2

func (w *world) arrive(j *job) {
	j.arrived = w.now
	w.daemons[w.rng.IntN(len(w.daemons))].arrive(j)
}

// answered ends a job with an answer.
func (w *world) answered(j *job) {
	if j.over {
		return
	}
	j.over = true
	w.result.answered(j.first.Sub(w.start), w.now.Sub(j.first))
}

// refused ends a job without one; its caller may come back.
func (w *world) refused(j *job, after time.Duration) {
	if j.over {
		return
	}
	j.over = true
	left := w.load.Patience - w.now.Sub(j.first)
	after = min(after, left/retryPart)
	if j.try >= w.load.Retries || left-after < j.work {
		w.result.failed(j.first.Sub(w.start))
		return
	}
	again := &job{first: j.first, try: j.try + 1, work: j.work}
	w.at(after+2*w.load.Far, func() { w.arrive(again) })
}

// retryPart is the part of its time left that a caller stays away at most.
const retryPart = 3

// delay is the time one way between a daemon and a target.
func (w *world) delay(daemon int, t *target) time.Duration {
	if daemon%w.load.Zones == t.zone {
		return w.load.Near
	}
	return w.load.Far
}

// eventHeap orders events by time.
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
