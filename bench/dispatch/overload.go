package main

import (
	"fmt"
	"time"

	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// queues are the bounds of the wait that are compared; 0 is no queue.
var queues = []time.Duration{0, agreed / 2}

func overload(f *fleet.Fleet, o options) error {
	for _, load := range []float64{0.8, 1.2, 2, 3} {
		for _, queue := range queues {
			if err := configure(f, queue); err != nil {
				return err
			}
			row(f, o, fmt.Sprintf("goodput queue_ms=%d load=%.1f", queue.Milliseconds(), load),
				stream{name: "all", service: "stock", sourceHost: 1, rate: load * capacity})
		}
	}
	for _, queue := range queues {
		if err := configure(f, queue); err != nil {
			return err
		}
		row(f, o, fmt.Sprintf("shares queue_ms=%d", queue.Milliseconds()),
			stream{name: "heavy", service: "stock", sourceHost: 1, rate: 2 * capacity},
			stream{name: "light", service: "stock", sourceHost: 2, rate: 0.2 * capacity},
			stream{name: "other_service", service: "logistics", sourceHost: 3, rate: 0.5 * capacity})
	}
	return nil
}

// row runs streams together and prints their figures.
func row(f *fleet.Fleet, o options, label string, streams ...stream) {
	results := runStreams(f, streams, o.duration)
	for i, result := range results {
		rate := streams[i].rate
		fmt.Printf("%s stream=%s offered=%.2f goodput=%.3f %s\n", label, streams[i].name, rate/capacity,
			result.share(result.good)*rate/capacity, result)
	}
}
