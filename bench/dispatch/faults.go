package main

import (
	"fmt"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// faultLoad is the share of capacity that is offered while a target fails.
const faultLoad = 0.7

// fault is a way in which target 0 fails.
type fault struct {
	name   string
	inject func(f *fleet.Fleet) error
}

func faultOf(name string, faults targetd.Faults) fault {
	return fault{name: name, inject: func(f *fleet.Fleet) error { return f.SetTargetFaults(0, faults) }}
}

// faults measures each fault, or the one that the options name.
func faults(o options) error {
	for _, fault := range allFaults {
		if o.fault != "" && o.fault != fault.name {
			continue
		}
		err := withFleet(o, func(f *fleet.Fleet) error { return faultRow(f, o, fault) })
		if err != nil {
			return err
		}
	}
	return nil
}

var allFaults = []fault{
	faultOf("none", targetd.Faults{}),
	faultOf("fail_fast", targetd.Faults{FailFast: true, LieIdle: true, LieHealthy: true}),
	faultOf("slow_10", targetd.Faults{SlowFactor: 10, LieIdle: true, LieHealthy: true}),
	faultOf("mute", targetd.Faults{Mute: true, LieHealthy: true}),
	{name: "cut_answers", inject: func(f *fleet.Fleet) error {
		// The answer to the injection is cut too.
		_ = f.SetTargetFaults(0, targetd.Faults{CutAnswers: true})
		return nil
	}},
	faultOf("leaving", targetd.Faults{Leaving: true}),
	{name: "killed", inject: func(f *fleet.Fleet) error { return f.Kill(fleet.TargetName(0)) }},
}

// faultRow injects a fault when recording begins and prints what callers saw, and
// how many requests the target got in comparison with an equal share.
func faultRow(f *fleet.Fleet, o options, fault fault) error {
	if err := configure(f, agreed/2); err != nil {
		return err
	}
	var before targetd.Counts
	injected := make(chan error, 1)
	time.AfterFunc(warmUp, func() {
		before, _ = f.Counts(0)
		injected <- fault.inject(f)
	})
	all := stream{name: "all", service: "stock", sourceHost: 1, rate: faultLoad * capacity}
	result := runStreams(f, []stream{all}, o.duration)[0]
	if err := <-injected; err != nil {
		return err
	}
	after, err := f.Counts(0)
	requests := -1.0
	if err == nil {
		requests = float64(after.Requests-before.Requests) / (float64(result.calls) / targetsPerService)
	}
	fmt.Printf("faults fault=%s load=%.1f %s requests_at_target=%.3f\n", fault.name, faultLoad, result, requests)
	return nil
}
