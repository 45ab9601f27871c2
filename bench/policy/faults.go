package main

import (
	"math/rand/v2"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

// faults are the disturbances of a row.
type faults struct {
	name string
	// noise is the noisy neighbour of every target.
	noise targetd.Noise
	// stragglers makes one random target of each service slow from time to time.
	stragglers bool
}

const (
	// stragglerEvery is the time between the starts of two stragglers.
	stragglerEvery = time.Second
	// stragglerFor is how long a straggler is slow.
	stragglerFor = 500 * time.Millisecond
	// stragglerFactor multiplies the service time of a straggler.
	stragglerFactor = 4.0
)

// usual is what the users' hosts do every day.
var usual = faults{name: "noise+stragglers", noise: neighbours, stragglers: true}

// capacityShare returns the part of the nominal capacity of n targets that noise
// and stragglers leave.
func (f faults) capacityShare(n int) float64 {
	share := 1.0
	if f.noise.Every > 0 {
		cycle := float64(f.noise.Every + f.noise.For)
		share = (float64(f.noise.Every) + float64(f.noise.For)/f.noise.Factor) / cycle
	}
	if f.stragglers {
		slow := float64(stragglerFor) / float64(stragglerEvery) / float64(n)
		share *= 1 - slow*(1-1/stragglerFactor)
	}
	return share
}

// disturb plays the faults on the targets of one service until stop.
func (f faults) disturb(targets []*targetd.Target, seed uint64, stop <-chan struct{}) {
	if !f.stragglers {
		return
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	for {
		target := targets[rng.IntN(len(targets))]
		target.SetFaults(targetd.Faults{SlowFactor: stragglerFactor})
		if !sleep(stragglerFor, stop) {
			return
		}
		target.SetFaults(targetd.Faults{})
		if !sleep(stragglerEvery-stragglerFor, stop) {
			return
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
