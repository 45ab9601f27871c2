package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

// faults are the disturbances of a row.
type faults struct {
	name string
	// noise is the noisy neighbour of every target.
	noise targetd.Noise
	// script is played on one random target after another.
	script []step
	// always holds for all targets, steps aside.
	always targetd.Faults
	// reportLag is the age of load reports.
	reportLag time.Duration
	// drainAfter is when the first target leaves for good; 0 is never.
	drainAfter time.Duration
	// zoneGone silences all targets of one availability zone from the start.
	zoneGone bool
}

// step is one fault and how long it lasts.
type step struct {
	faults targetd.Faults
	length time.Duration
}

const (
	half = 500 * time.Millisecond
	// drainAfter is when a target starts to leave.
	drainAfter = 800 * time.Millisecond
	// stragglerFactor multiplies the service time of a straggler.
	stragglerFactor = 4.0
	// coldFactor multiplies the service time of a target that has just started.
	coldFactor = 5.0
	// shedAbove is the number of requests in flight above which targets refuse.
	shedAbove = 6
	// lag is the age of lagging load reports.
	lag = 200 * time.Millisecond
)

// neighbours is the noise of shared hosts.
var neighbours = targetd.Noise{Every: 180 * time.Millisecond, For: 20 * time.Millisecond, Factor: 4}

var stragglers = []step{{targetd.Faults{SlowFactor: stragglerFactor}, half}, {targetd.Faults{}, half}}

var (
	// quiet has no faults.
	quiet = faults{name: "none"}
	// usual is what the users' hosts do every day.
	usual    = faults{name: "noise+stragglers", noise: neighbours, script: stragglers}
	failFast = faults{name: "fail-fast", noise: neighbours, script: []step{{targetd.Faults{FailFast: true}, half}, {targetd.Faults{}, half}}}
	lying    = faults{name: "lying-stragglers", noise: neighbours, script: []step{{targetd.Faults{SlowFactor: stragglerFactor, LieIdle: true}, half}, {targetd.Faults{}, half}}}
	lagging  = faults{name: "lagging-reports", noise: neighbours, script: stragglers, reportLag: lag}
	drains   = faults{name: "drain+cold-start", noise: neighbours, drainAfter: drainAfter, script: []step{
		{targetd.Faults{SlowFactor: coldFactor}, 300 * time.Millisecond},
		{targetd.Faults{}, 700 * time.Millisecond},
	}}
	shedding = faults{name: "shed", noise: neighbours, script: stragglers, always: targetd.Faults{ShedAbove: shedAbove}}
	zoneLost = faults{name: "zone-gone", noise: neighbours, zoneGone: true}
)

// slowed multiplies every duration of the faults.
func (f faults) slowed(scale time.Duration) faults {
	f.noise.Every *= scale
	f.noise.For *= scale
	f.reportLag *= scale
	f.drainAfter *= scale
	f.script = slices.Clone(f.script)
	for i := range f.script {
		f.script[i].length *= scale
	}
	return f
}

// capacityShare returns the part of the nominal capacity of n targets that noise
// and the script leave.
func (f faults) capacityShare(n int) float64 {
	share := 1.0
	if f.noise.Every > 0 {
		cycle := float64(f.noise.Every + f.noise.For)
		share = (float64(f.noise.Every) + float64(f.noise.For)/f.noise.Factor) / cycle
	}
	if len(f.script) > 0 {
		share *= 1 - (1-f.scriptShare())/float64(n)
	}
	if f.drainAfter > 0 {
		share *= 1 - 1/float64(n)
	}
	return share
}

// scriptShare returns the mean capacity of a target under the script.
func (f faults) scriptShare() float64 {
	var left, total float64
	for _, s := range f.script {
		total += s.length.Seconds()
		left += s.length.Seconds() * capacityUnder(s.faults)
	}
	return left / total
}

func capacityUnder(f targetd.Faults) float64 {
	switch {
	case f.FailFast:
		return 0
	case f.SlowFactor > 0:
		return 1 / f.SlowFactor
	default:
		return 1
	}
}

// disturb plays the faults on the targets of one service until stop.
func (f faults) disturb(targets []*targetd.Target, seed uint64, stop <-chan struct{}) {
	for i, target := range targets {
		faults := f.always
		faults.Mute = f.zoneGone && zone(i) == zone(0)
		target.SetFaults(faults)
	}
	if f.drainAfter > 0 {
		leave := time.AfterFunc(f.drainAfter, func() { targets[0].SetFaults(targetd.Faults{Leaving: true}) })
		defer leave.Stop()
		targets = targets[1:]
	}
	if len(f.script) == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	for {
		target := targets[rng.IntN(len(targets))]
		for _, s := range f.script {
			faults := s.faults
			faults.ShedAbove = f.always.ShedAbove
			target.SetFaults(faults)
			if !sleep(s.length, stop) {
				return
			}
		}
	}
}

// sleep returns false if stop came first.
func sleep(duration time.Duration, stop <-chan struct{}) bool {
	select {
	case <-time.After(duration):
		return true
	case <-stop:
		return false
	}
}
