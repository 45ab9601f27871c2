// Command latency measures what an entry daemon adds to a call: the same calls
// go straight to a target and through an entry daemon, alternately, in one run.
//
// It prints one "name value unit" line a figure.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/bench/internal/command"
	"github.com/poplarwheel/poplarwheel/bench/internal/process"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

type options struct {
	binary   string
	rate     int
	duration time.Duration
	loops    int
	workers  int
	distance time.Duration
}

func main() {
	o := options{rate: 2000, duration: 5 * time.Second, loops: 2, workers: 50, distance: 500 * time.Microsecond}
	c := command.New("latency", "measure what an entry daemon adds to a call")
	c.Binary(&o.binary)
	c.Int(&o.rate, "", "rate", "calls a second on each of the two ways")
	c.Duration(&o.duration, "", "duration", "length of the run")
	c.Int(&o.loops, "", "event-loops", "event loops of the entry daemon")
	c.Int(&o.workers, "", "connections", "connections on each of the two ways")
	c.Duration(&o.distance, "", "distance", "one way to the entry daemon of a second availability zone; 0 leaves it out")
	c.Run(func() error { return run(o) })
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "poplarwheel-latency")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(fleet.Options{
		Binary:     o.binary,
		Dir:        dir,
		Entries:    1,
		Targets:    1,
		TargetArgs: func(int) []string { return []string{"--slots", "1000", "--mean-ms", "0"} },
		Settings:   map[string]any{"event_loops": o.loops},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := configure(f, o); err != nil {
		return err
	}
	if err := printMemory(f); err != nil {
		return err
	}
	if err := compare(f, o); err != nil {
		return err
	}
	if o.distance == 0 {
		return nil
	}
	return compareZones(f, o)
}

// compareZones measures a call through an entry daemon of a second availability
// zone against one straight to a target of that zone.
func compareZones(f *fleet.Fleet, o options) error {
	target, closeTarget, err := relay(f.TargetAddress(0), o.distance)
	if err != nil {
		return err
	}
	defer func() { _ = closeTarget.Close() }()
	entry, closeEntry, err := relay(f.EntryAddress(0), o.distance)
	if err != nil {
		return err
	}
	defer func() { _ = closeEntry.Close() }()
	direct, relayed := measure(o, target, entry)
	for _, quantile := range []float64{50, 99} {
		straight := direct.histogram.ValueAtQuantile(quantile)
		through := relayed.histogram.ValueAtQuantile(quantile)
		fmt.Printf("second_zone_direct_p%v_ms %.3f ms\n", quantile, float64(straight)/1000)
		fmt.Printf("second_zone_added_p%v_ms %.3f ms\n", quantile, float64(through-straight)/1000)
	}
	return nil
}

// compare measures both ways and prints what they cost.
func compare(f *fleet.Fleet, o options) error {
	pid := f.Pid(fleet.EntryName(0))
	allocated, err := allocations(f)
	if err != nil {
		return err
	}
	before := process.Of(pid).CPU
	direct, relayed := measure(o, f.TargetAddress(0), f.EntryAddress(0))
	spent := process.Of(pid).CPU - before
	allocatedAfter, err := allocations(f)
	if err != nil {
		return err
	}
	print(o, direct, relayed, spent)
	if calls := relayed.calls; calls > 0 {
		fmt.Printf("entry_allocations_per_call %.0f objects\n", (allocatedAfter-allocated)/float64(calls))
	}
	return nil
}

// configure lets the entry daemon open a connection to the target for each of the
// callers'.
func configure(f *fleet.Fleet, o options) error {
	revision, err := f.Accept(&questionnaire.Answers{Team: "bench", Services: []questionnaire.Service{{
		Name:                 "stock",
		Priority:             questionnaire.PriorityCost,
		TypicalMs:            100,
		SlotsPerServer:       1000,
		ConnectionsPerServer: o.workers * config.DefaultEntryVMLimit,
		Servers:              f.Servers(0, 0),
		Requests: []questionnaire.Request{{
			Name: "availability", AgreedMs: 2000,
			IfLate: questionnaire.HarmNone, IfLost: questionnaire.HarmNone, IfDoubled: questionnaire.HarmNone,
		}},
	}}}, "bench")
	if err != nil {
		return err
	}
	return f.AwaitRevision(revision)
}

// measure sends calls on both ways, each connection at its own random times.
func measure(o options, target, entry string) (direct, relayed *way) {
	direct = newWay(target)
	relayed = newWay(entry)
	mean := time.Duration(o.workers) * time.Second / time.Duration(o.rate)
	end := time.Now().Add(o.duration)
	var pending sync.WaitGroup
	for i := range o.workers {
		seed := uint64(i)
		pending.Go(func() { direct.connection(seed, mean, end) })
		pending.Go(func() { relayed.connection(seed, mean, end) })
	}
	pending.Wait()
	return direct, relayed
}

func print(o options, direct, relayed *way, spent time.Duration) {
	for _, quantile := range []float64{50, 99, 99.9} {
		straight := direct.histogram.ValueAtQuantile(quantile)
		through := relayed.histogram.ValueAtQuantile(quantile)
		fmt.Printf("direct_p%v_ms %.3f ms\n", quantile, float64(straight)/1000)
		fmt.Printf("entry_p%v_ms %.3f ms\n", quantile, float64(through)/1000)
		fmt.Printf("added_p%v_ms %.3f ms\n", quantile, float64(through-straight)/1000)
	}
	fmt.Printf("rate %d calls/s\n", o.rate)
	fmt.Printf("event_loops %d loops\n", o.loops)
	fmt.Printf("failed %d calls\n", direct.failed+relayed.failed)
	if relayed.calls > 0 {
		perCall := float64(spent.Microseconds()) / float64(relayed.calls)
		fmt.Printf("entry_cpu_per_call %.1f us\n", perCall)
		fmt.Printf("entry_calls_per_core %.0f calls/s\n", 1e6/perCall)
	}
}
