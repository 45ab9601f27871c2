package main

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
)

// samplePause is the time between two samples of a pass, before --slow.
const samplePause = 20 * time.Millisecond

// occupancy sums samples of slots and queues, each over all services.
type occupancy struct {
	samples float64
	// idle sums free slots at targets.
	idle float64
	// waiting sums calls in the queues of the daemons.
	waiting float64
	// stranded sums free slots of a service that had calls waiting, at most one
	// for each of them.
	stranded float64
	// beyond sums requests at targets that had no slot.
	beyond float64
	// ejected and cold sum targets by their state, as a mean over the entry set.
	ejected float64
	cold    float64
}

func (o *occupancy) merge(other occupancy) {
	o.samples += other.samples
	o.idle += other.idle
	o.waiting += other.waiting
	o.stranded += other.stranded
	o.beyond += other.beyond
	o.ejected += other.ejected
	o.cold += other.cold
}

// mean returns a sum as the mean of the samples.
func (o *occupancy) mean(sum float64) float64 {
	if o.samples == 0 {
		return 0
	}
	return sum / o.samples
}

// observe samples the services until stop and sends the sums.
func (f *fleet) observe(services []*service, pause time.Duration, k int, stop <-chan struct{}) <-chan occupancy {
	done := make(chan occupancy, 1)
	go func() {
		var sums occupancy
		for sleep(pause, stop) {
			f.sample(services, k, &sums)
		}
		done <- sums
	}()
	return done
}

func (f *fleet) sample(services []*service, k int, sums *occupancy) {
	sums.samples++
	waiting := map[string]int{}
	for _, d := range f.daemons {
		dump := d.Dump()
		countStates(dump.Targets, float64(k), sums)
		countWaiting(dump, waiting)
	}
	for _, s := range services {
		idle := s.countSlots(sums)
		queued := waiting[s.config.Name]
		sums.waiting += float64(queued)
		sums.stranded += float64(min(idle, queued))
	}
}

func countStates(targets []proxy.TargetState, k float64, sums *occupancy) {
	for _, target := range targets {
		switch target.State {
		case dispatch.TargetEjected:
			sums.ejected += 1 / k
		case dispatch.TargetCold:
			sums.cold += 1 / k
		}
	}
}

func countWaiting(dump daemon.Dump, waiting map[string]int) {
	states, _ := dump.Sections["services"].([]proxy.ServiceState)
	for _, state := range states {
		waiting[state.Service] += state.Queued
	}
}

// countSlots returns the free slots of a service.
func (s *service) countSlots(sums *occupancy) int {
	idle := 0
	for _, target := range s.targets {
		free := slots - target.InFlight()
		idle += max(free, 0)
		sums.beyond += float64(max(-free, 0))
	}
	sums.idle += float64(idle)
	return idle
}
