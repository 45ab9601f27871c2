package emulator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// Policy is a way of choosing targets.
type Policy string

// Policies.
const (
	// Random sends each request at once to any target.
	Random Policy = "random"
	// Placement is what daemons do.
	Placement Policy = "placement"
	// Oracle sends each request at once to the target that would end it first, and
	// knows all of them.
	Oracle Policy = "oracle"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Random, Placement, Oracle} }

func (p Policy) daemon(w *world, index int) daemon {
	switch p {
	case Placement:
		return newPlacer(w, index)
	case Oracle:
		return &direct{world: w, index: index, choose: w.fastest}
	}
	return &direct{world: w, index: index, choose: w.any}
}

// direct sends each request at once.
type direct struct {
	world  *world
	index  int
	choose func() *target
}

func (d *direct) arrive(j *job) {
	w := d.world
	t := d.choose()
	delay := w.delay(d.index, t)
	r := &run{job: j, remaining: j.work}
	r.ended = func() { w.at(delay, func() { w.answered(j) }) }
	w.at(delay, func() {
		if !t.take(r) {
			w.at(delay, func() { w.refused(j, refusedFor) })
		}
	})
}

// refusedFor is when a caller comes back that a target had no room for.
const refusedFor = 200 * time.Millisecond

func (w *world) any() *target { return w.targets[w.rng.IntN(len(w.targets))] }

// fastest returns the target that would do the most work of one more request.
func (w *world) fastest() *target {
	best := w.targets[0]
	bestCost := 0.0
	for i, t := range w.targets {
		load := len(t.running) + len(t.waiting) + 1
		cost := t.slowness() * (1 + float64(load))
		if float64(load) >= w.load.KneeShare*float64(w.load.Slots) {
			cost *= w.load.KneeFactor * float64(load)
		}
		if i == 0 || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// placer drives the real placement code.
type placer struct {
	world *world
	index int
	pool  *placement.Pool
	wake  time.Time
}

// The budget of retries in the emulator.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retryFixed  = 20
)

func newPlacer(w *world, index int) *placer {
	budget := placement.NewBudget(retryWindow, retryRatio, retryFixed)
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), 2))
	p := &placer{world: w, index: index, pool: placement.NewPool(rng, zoneName(index%w.load.Zones), budget)}
	var entries []placement.Entry
	var zones []string
	for zone := range w.load.Zones {
		zones = append(zones, zoneName(zone))
	}
	p.pool.SetZones(zones)
	p.pool.SetPart(placement.Part{Index: index / w.load.Zones, Of: max(w.load.Daemons/w.load.Zones, 1)})
	for i, t := range w.targets {
		entries = append(entries, placement.Entry{
			ID:      strconv.Itoa(i),
			Address: strconv.Itoa(i),
			Zone:    zoneName(t.zone),
			Slots:   w.load.Slots,
		})
	}
	p.perform(p.pool.Update(w.now, entries))
	return p
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }

func (p *placer) arrive(j *job) {
	w := p.world
	r := &placement.Request{
		Idempotent:  true,
		MaxAttempts: 2,
		Due:         j.first.Add(w.load.Objective),
		Deadline:    earlier(w.now.Add(w.load.Timeout), j.first.Add(w.load.Patience)),
		Work:        w.load.Work,
		Payload:     j,
	}
	w.at(r.Deadline.Sub(w.now), func() { p.perform(p.pool.Timeout(w.now, r)) })
	p.perform(p.pool.Arrive(w.now, r))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (p *placer) perform(actions []placement.Action) {
	for _, action := range append([]placement.Action(nil), actions...) {
		switch action.Kind {
		case placement.Probe:
			p.probe(action.Target)
		case placement.Send:
			p.send(action.Attempt)
		case placement.Cancel:
			p.cancel(action.Attempt)
		case placement.Deliver:
			p.world.answered(action.Request.Payload.(*job))
		case placement.Refuse:
			p.world.refused(action.Request.Payload.(*job), action.RetryAfter)
		case placement.Unknown:
			p.world.refused(action.Request.Payload.(*job), 0)
		}
	}
	p.setWake()
}

// setWake lets the pool look again when it asks for it.
func (p *placer) setWake() {
	at := p.pool.NextWake()
	if at.IsZero() || at.Equal(p.wake) {
		return
	}
	p.wake = at
	p.world.at(at.Sub(p.world.now), func() {
		if p.wake.Equal(at) {
			p.wake = time.Time{}
			p.perform(p.pool.Expire(p.world.now))
		}
	})
}

func (p *placer) target(t *placement.Target) *target {
	index, err := strconv.Atoi(t.ID)
	if err != nil {
		panic(err)
	}
	return p.world.targets[index]
}

func (p *placer) probe(asked *placement.Target) {
	w := p.world
	t := p.target(asked)
	delay := w.delay(p.index, t)
	w.result.Probes++
	w.at(delay, func() {
		if w.load.Mute {
			p.probeMute(asked, t, delay)
			return
		}
		report := t.report()
		w.at(delay, func() { p.perform(p.pool.Probed(w.now, asked, report, true)) })
	})
}

// probeMute asks a target that answers like to any other request.
func (p *placer) probeMute(asked *placement.Target, t *target, delay time.Duration) {
	w := p.world
	answer := func(healthy bool) {
		w.at(delay, func() { p.perform(p.pool.Probed(w.now, asked, nil, healthy)) })
	}
	if !t.take(&run{remaining: time.Millisecond, ended: func() { answer(true) }}) {
		answer(false)
	}
}

func (p *placer) send(a *placement.Attempt) {
	w := p.world
	t := p.target(a.Target)
	delay := w.delay(p.index, t)
	r := &run{job: a.Request.Payload.(*job), remaining: a.Request.Payload.(*job).work}
	a.Handle = r
	w.result.Sends++
	finish := func(outcome placement.Outcome) {
		report := t.report()
		w.at(delay, func() {
			if !r.canceled {
				p.perform(p.pool.Finished(w.now, a, placement.Result{Outcome: outcome, Report: report}))
			}
		})
	}
	r.ended = func() { finish(placement.Answered) }
	w.at(delay, func() {
		if !r.canceled && !t.take(r) {
			finish(placement.NotRun)
		}
	})
}

func (p *placer) cancel(a *placement.Attempt) {
	r, sent := a.Handle.(*run)
	if !sent {
		return
	}
	r.canceled = true
	t := p.target(a.Target)
	p.world.at(p.world.delay(p.index, t), func() { t.drop(r) })
}
