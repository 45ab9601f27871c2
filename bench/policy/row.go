package main

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
)

const (
	// meanService is the mean service time of the targets without noise.
	meanService = 5 * time.Millisecond
	// slots is the number of requests that a target runs at once.
	slots = 3
	// deadline is the agreed time of every call.
	deadline = 250 * time.Millisecond
	// usualLoad is the share of the capacity in most tables.
	usualLoad = 0.8
	// usualSize is the number of entry VMs a service in most tables.
	usualSize = 3
	// hedgeAfter is the delay of a hedge.
	hedgeAfter = 20 * time.Millisecond
	// queueLimit bounds the wait for a free slot.
	queueLimit = 200 * time.Millisecond
	// warmUp is the part of a row that isn't measured.
	warmUp = 400 * time.Millisecond
	// maxLag is the lateness of the generator, at the 99.9th percentile, above
	// which a pass is run again.
	maxLag = 10 * time.Millisecond
	// hedgeShare limits hedges to this share of calls.
	hedgeShare = 0.05
	// retryShare limits retries to this share of calls.
	retryShare = 0.1
)

// row is one experiment.
type row struct {
	policy string
	// hedgeAfter is the delay of a hedge; 0 turns hedging off.
	hedgeAfter time.Duration
	// queue holds calls at the entry daemon until a slot is believed free.
	queue bool
	// load is the share of the capacity.
	load float64
	// k is the number of entry VMs that serve a service.
	k int
	// probes is the rate that the daemons of an entry set may use together, in
	// probes per call.
	probes float64
	faults faults
	// heavy is the share of calls that one caller sends to one entry VM; the others
	// spread theirs evenly.
	heavy float64
	times times
	// scale multiplies the pause between samples.
	scale int
}

// times are the durations of a row's calls.
type times struct {
	// service is the mean service time of the targets without noise.
	service time.Duration
	// deadline is the agreed time of every call.
	deadline time.Duration
	// queueLimit bounds the wait for a free slot.
	queueLimit time.Duration
	// warmUp is the part of the row that isn't measured.
	warmUp time.Duration
	// maxLag is the lateness of the generator, at the 99.9th percentile, above
	// which a pass is run again.
	maxLag time.Duration
}

var usualTimes = times{service: meanService, deadline: deadline, queueLimit: queueLimit, warmUp: warmUp, maxLag: maxLag}

// slowed multiplies every duration of the row, which divides its rate of calls.
// The constants of the daemons, such as the length of an ejection, stay.
func (r row) slowed(factor int) row {
	scale := time.Duration(factor)
	r.scale = factor
	r.hedgeAfter *= scale
	r.times.service *= scale
	r.times.deadline *= scale
	r.times.queueLimit *= scale
	r.times.warmUp *= scale
	r.times.maxLag *= scale
	r.faults = r.faults.slowed(scale)
	return r
}

func usualRow(policy string, hedge time.Duration) row {
	return row{policy: policy, hedgeAfter: hedge, load: usualLoad, k: usualSize, faults: usual, times: usualTimes}
}

// chosen is what the questionnaire proposes for idempotent requests.
var chosen = usualRow(config.PolicyLeastWork, hedgeAfter).queued()

// queued returns the row with calls held until a slot is believed free.
func (r row) queued() row {
	r.queue = true
	return r
}
