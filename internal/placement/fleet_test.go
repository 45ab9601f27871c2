package placement

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// fleetLatency is the one-way latency between daemons and targets of a fleet.
	fleetLatency = 2 * time.Millisecond
	// fleetSlots is the number of slots of a target of a fleet.
	fleetSlots = 3
	// coldRate is the cold rate of the services in tests, coldOverage and coldSlack what a cold
	// target bears beyond it.
	coldRate    = 5.2
	coldOverage = 1.5
	coldSlack   = 8
	// coldTime is how long targets are cold after a start.
	coldTime = 3 * time.Second
)

// fleet simulates pools of several daemons that share targets, in virtual time.
type fleet struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Time
	events  fleetEvents
	daemons []*fleetDaemon
	targets []*fleetTarget
	// served, late, refused and unknown count the ended requests; reasons counts the refused
	// ones by reason and refusedAfter is the longest time until a refusal.
	served, late, refused, unknown int
	reasons                        map[Reason]int
	refusedAfter                   time.Duration
}

type fleetDaemon struct {
	fleet *fleet
	pool  *Pool
	limit ColdLimit
	// timerAt is the time of the earliest Tick that is scheduled.
	timerAt time.Time
}

type fleetTarget struct {
	info TargetInfo
	// coldUntil is the end of the target's present cold time.
	coldUntil time.Time
	coldSince time.Time
	arrivals  []time.Time
	running   int
	waiting   []func()
	// most is the largest number of requests that arrived within a second while it was cold.
	most int
}

type fleetEvent struct {
	at    time.Time
	order int
	run   func()
}

type fleetEvents struct {
	list  []fleetEvent
	count int
}

func (e *fleetEvents) Len() int { return len(e.list) }

func (e *fleetEvents) Less(i, j int) bool {
	if !e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].at.Before(e.list[j].at)
	}
	return e.list[i].order < e.list[j].order
}

func (e *fleetEvents) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *fleetEvents) Push(x any)    { e.list = append(e.list, x.(fleetEvent)) }

func (e *fleetEvents) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// newFleet returns a fleet with the given number of daemons and targets in each zone. Each daemon
// has an equal share of the cold rate.
func newFleet(t testing.TB, seed uint64, zones []string, daemons, targets int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: start, reasons: map[Reason]int{}}
	for _, zone := range zones {
		for i := range targets {
			info := TargetInfo{ID: zone + string(rune('0'+i)), Address: zone + string(rune('0'+i)) + ":80", Zone: zone, Slots: fleetSlots, Incarnation: 1}
			f.targets = append(f.targets, &fleetTarget{info: info})
		}
	}
	for _, zone := range zones {
		for range daemons {
			f.addDaemon(zone, 1/float64(len(zones)*daemons))
		}
	}
	return f
}

// addDaemon adds a daemon that knows the targets as listed.
func (f *fleet) addDaemon(zone string, share float64) *fleetDaemon {
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64()))
	d := &fleetDaemon{fleet: f, pool: NewPool(rng, zone, NewBudget(10*time.Second, 0.2, 20))}
	d.limit = ColdLimit{Rate: coldRate, Share: share, Start: coldTime}
	d.pool.SetColdLimit(f.now, d.limit)
	d.perform(d.pool.UpdateTargets(f.now, f.listed()))
	f.daemons = append(f.daemons, d)
	d.renew()
	return d
}

// renew sets the limit again and again, as a daemon does.
func (d *fleetDaemon) renew() {
	d.pool.SetColdLimit(d.fleet.now, d.limit)
	d.fleet.after(500*time.Millisecond, d.renew)
}

func (f *fleet) listed() []TargetInfo {
	var infos []TargetInfo
	for _, target := range f.targets {
		infos = append(infos, target.info)
	}
	return infos
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.events.count++
	heap.Push(&f.events, fleetEvent{at: f.now.Add(delay), order: f.events.count, run: run})
}

// run advances the time by a duration.
func (f *fleet) run(duration time.Duration) {
	end := f.now.Add(duration)
	for f.events.Len() > 0 && !f.events.list[0].at.After(end) {
		event := heap.Pop(&f.events).(fleetEvent)
		f.now = event.at
		event.run()
	}
	f.now = end
}

// load makes requests arrive at random times at daemons that pick chooses, for the given duration.
func (f *fleet) load(perSecond float64, duration time.Duration, pick func() *fleetDaemon) {
	end := f.now.Add(duration)
	var next func()
	next = func() {
		if f.now.After(end) {
			return
		}
		f.submit(pick())
		f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// anyDaemon chooses one of the daemons.
func (f *fleet) anyDaemon() *fleetDaemon { return f.daemons[f.rng.IntN(len(f.daemons))] }

func (f *fleet) submit(d *fleetDaemon) {
	r := &Request{
		Idempotent: f.rng.IntN(2) == 0, MaxAttempts: 2, ServiceTime: serviceTime,
		SoftDeadline: f.now.Add(objective), Deadline: f.now.Add(timeout), Payload: d,
	}
	f.after(timeout, func() { d.perform(d.pool.Timeout(f.now, r)) })
	d.perform(d.pool.Submit(f.now, r))
}

func (f *fleet) target(id string) *fleetTarget {
	i := slices.IndexFunc(f.targets, func(target *fleetTarget) bool { return target.info.ID == id })
	return f.targets[i]
}

// perform carries out the actions of a pool.
func (d *fleetDaemon) perform(actions []Action) {
	f := d.fleet
	for _, action := range slices.Clone(actions) {
		switch action.Kind {
		case Probe:
			target := f.target(action.Target.ID)
			f.after(2*fleetLatency, func() { d.probed(action.Target, target) })
		case Send:
			target := f.target(action.Attempt.Target.ID)
			f.after(fleetLatency, func() { target.arrive(f, d, action.Attempt) })
		case Deliver:
			f.served++
			if f.now.After(action.Request.SoftDeadline) {
				f.late++
			}
		case Refuse:
			f.refused++
			f.reasons[action.Reason]++
			f.refusedAfter = max(f.refusedAfter, f.now.Sub(action.Request.arrived))
		case OutcomeUnknown:
			f.unknown++
		}
	}
	if at := d.pool.NextTick(); !at.IsZero() && (d.timerAt.IsZero() || at.Before(d.timerAt)) {
		d.timerAt = at
		f.after(at.Sub(f.now), func() {
			d.timerAt = time.Time{}
			d.perform(d.pool.Tick(f.now))
		})
	}
}

func (d *fleetDaemon) probed(known *Target, target *fleetTarget) {
	now := d.fleet.now
	d.pool.RecordColdTime(now, known, max(target.coldUntil.Sub(now), 0), target.isCold(now))
	d.perform(d.pool.ProbeAnswered(now, known, target.report(now), true))
}

func (t *fleetTarget) isCold(now time.Time) bool { return now.Before(t.coldUntil) }

func (t *fleetTarget) report(now time.Time) *Report {
	report := &Report{Running: t.running, Waiting: len(t.waiting), Slots: fleetSlots, Slowness: 1}
	if t.isCold(now) {
		report.Slowness = 2
	}
	return report
}

// arrive handles a request, which waits for a free slot.
func (t *fleetTarget) arrive(f *fleet, d *fleetDaemon, a *Attempt) {
	t.arrivals = append(t.arrivals, f.now)
	t.countCold(f.now)
	runNow := func() { t.execute(f, d, a) }
	if t.running >= fleetSlots {
		t.waiting = append(t.waiting, runNow)
		return
	}
	runNow()
}

// countCold counts the requests of the last second that arrived while the target was cold.
func (t *fleetTarget) countCold(now time.Time) {
	if !t.isCold(now) {
		return
	}
	count := 0
	for i := len(t.arrivals) - 1; i >= 0 && now.Sub(t.arrivals[i]) < time.Second && !t.arrivals[i].Before(t.coldSince); i-- {
		count++
	}
	t.most = max(t.most, count)
}

func (t *fleetTarget) execute(f *fleet, d *fleetDaemon, a *Attempt) {
	t.running++
	took := time.Duration((0.8 + 0.4*f.rng.Float64()) * float64(serviceTime) * t.report(f.now).Slowness)
	f.after(took, func() {
		t.running--
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			next()
		}
		report := t.report(f.now)
		f.after(fleetLatency, func() {
			if !a.Canceled() {
				d.perform(d.pool.AttemptFinished(f.now, a, Result{Outcome: Answered, Answer: "answer", Report: report}))
			}
		})
	})
}

// chill makes a target cold for coldTime, and tells the daemons by its entry if listed is set.
func (f *fleet) chill(target *fleetTarget, listed bool) {
	target.coldSince, target.coldUntil = f.now, f.now.Add(coldTime)
	if listed {
		target.info.SlowStartFor = coldTime
		target.info.EntryRevision++
		f.publish()
	}
}

// publish passes the list of targets to all daemons.
func (f *fleet) publish() {
	for _, d := range f.daemons {
		d.perform(d.pool.UpdateTargets(f.now, f.listed()))
	}
}

// requireColdLimit fails the test if a cold target received more than it bears.
func (f *fleet) requireColdLimit() {
	f.t.Helper()
	for _, target := range f.targets {
		require.LessOrEqual(f.t, float64(target.most), coldRate*coldOverage+coldSlack, "requests within a second at cold target %s", target.info.ID)
	}
}
