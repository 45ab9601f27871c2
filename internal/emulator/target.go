package emulator

import (
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// target is a server with a few slots whose speed changes.
type target struct {
	world   *world
	index   int
	zone    int
	running []*run
	waiting []*run
	// slow is set while the target's neighbors take its time.
	slow bool
	// since is when the progress of the running requests was last brought up to
	// date.
	since time.Time
	// version invalidates the completion that was scheduled.
	version int
}

func newTarget(w *world, index int) *target {
	t := &target{world: w, index: index, zone: index % w.load.Zones, since: w.now}
	w.at(time.Duration(w.rng.Float64()*float64(w.load.SlowFor)), t.toss)
	return t
}

// toss decides whether the target is slow for a while.
func (t *target) toss() {
	t.settle()
	t.slow = t.world.rng.Float64() < t.world.load.SlowShare
	t.schedule()
	if t.world.now.Sub(t.world.start) < 2*t.world.load.Length {
		t.world.at(t.world.load.SlowFor, t.toss)
	}
}

// slowness is how long work takes in relation to the usual.
func (t *target) slowness() float64 {
	if t.slow {
		return t.world.load.SlowFactor
	}
	return 1
}

// pace is how long work takes, the target's own occupancy included.
func (t *target) pace() float64 {
	pace := t.slowness()
	if float64(len(t.running)) >= t.world.load.KneeShare*float64(t.world.load.Slots) {
		pace *= t.world.load.KneeFactor
	}
	return pace
}

// settle brings the progress of the running requests up to date.
func (t *target) settle() {
	done := time.Duration(float64(t.world.now.Sub(t.since)) / t.pace())
	for _, r := range t.running {
		r.remaining -= done
	}
	t.since = t.world.now
}

// take starts or queues a request; false means that there is no room.
func (t *target) take(r *run) bool {
	t.settle()
	switch {
	case len(t.running) < t.world.load.Slots:
		t.running = append(t.running, r)
	case len(t.waiting) < t.world.load.Queue:
		t.waiting = append(t.waiting, r)
	default:
		return false
	}
	t.schedule()
	return true
}

// drop takes a request away whose connection is closed.
func (t *target) drop(r *run) {
	t.settle()
	t.waiting = slices.DeleteFunc(t.waiting, func(other *run) bool { return other == r })
	t.running = slices.DeleteFunc(t.running, func(other *run) bool { return other == r })
	t.refill()
	t.schedule()
}

func (t *target) refill() {
	for len(t.running) < t.world.load.Slots && len(t.waiting) > 0 {
		t.running = append(t.running, t.waiting[0])
		t.waiting = t.waiting[1:]
	}
}

// schedule schedules the next completion.
func (t *target) schedule() {
	t.version++
	if len(t.running) == 0 {
		return
	}
	least := t.running[0].remaining
	for _, r := range t.running {
		least = min(least, r.remaining)
	}
	version := t.version
	t.world.at(time.Duration(float64(max(least, 0))*t.pace())+1, func() {
		if t.version == version {
			t.complete()
		}
	})
}

// complete ends the requests whose work is done.
func (t *target) complete() {
	t.settle()
	var done []*run
	t.running = slices.DeleteFunc(t.running, func(r *run) bool {
		if r.remaining > 0 {
			return false
		}
		done = append(done, r)
		return true
	})
	t.refill()
	t.schedule()
	for _, r := range done {
		r.ended()
	}
}

// report is the target's word on its load, nil if it doesn't tell.
func (t *target) report() *placement.Report {
	if t.world.load.Mute {
		return nil
	}
	return &placement.Report{
		Running:  len(t.running),
		Waiting:  len(t.waiting),
		Slots:    t.world.load.Slots,
		Slowness: t.slowness(),
	}
}
