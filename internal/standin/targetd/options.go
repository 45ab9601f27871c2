package targetd

import (
	"io"
	"time"
)

// Options configure a target. They are fixed at its start; Faults change later.
type Options struct {
	// Name is the target's VM name.
	Name string
	// Slots is the number of requests run at once.
	Slots int
	// MaxConnections bounds the open connections; 0 means 200.
	MaxConnections int
	// MeanService is the mean service time, exponentially distributed.
	MeanService time.Duration
	// Noise is the noisy neighbour on the same host.
	Noise Noise
	// ColdFor is how long after the start the target runs at ColdFactor.
	ColdFor time.Duration
	// ColdFactor multiplies the service time while cold; 0 means 5.
	ColdFactor float64
	// ReportLag is the age of the figures in load reports.
	ReportLag time.Duration
	// Seed seeds the service times and the noise.
	Seed uint64
	// Journal takes a line of JSON for each Event as it happens, so that it
	// outlives the process. nil keeps none.
	Journal io.Writer
	// Exit ends the process on a crash. In-process targets leave it nil and
	// close their connections and listener instead.
	Exit func()
}

// Noise slows a target down for short spells.
type Noise struct {
	// Every is the mean time between two spells. 0 turns the noise off.
	Every time.Duration
	// For is the mean length of a spell.
	For time.Duration
	// Factor multiplies the service time during a spell.
	Factor float64
}

// Faults are the failures that a target imitates.
type Faults struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailFast answers every request at once with status 500.
	FailFast bool `json:"fail_fast"`
	// ShedAbove refuses requests, as not run, while more are in flight; 0 is off.
	ShedAbove int `json:"shed_above"`
	// LieIdle reports an idle target, whatever the load.
	LieIdle bool `json:"lie_idle"`
	// LieHealthy answers health checks with 200, whatever the state.
	LieHealthy bool `json:"lie_healthy"`
	// Unhealthy answers health checks with 503.
	Unhealthy bool `json:"unhealthy"`
	// Mute accepts requests and never answers.
	Mute bool `json:"mute"`
	// CutAnswers closes the connection in the middle of each answer.
	CutAnswers bool `json:"cut_answers"`
	// Leaving starts the target's shutdown: new requests are refused as not run.
	Leaving bool `json:"leaving"`
}

// controlPrefix starts the paths of the stand-in's controls, which no fault
// concerns.
const controlPrefix = "/control/"

// Paths and headers of the stand-in itself.
const (
	// PathJournal returns the journal as JSON.
	PathJournal = "/control/journal"
	// PathFaults replaces the Faults.
	PathFaults = "/control/faults"
	// PathCounts returns Counts.
	PathCounts = "/control/counts"
	// HeaderCrash is "true" on a request that crashes the target that runs it.
	HeaderCrash = "Standin-Crash"
)

// Counts are the messages that a target has received.
type Counts struct {
	// Requests counts requests that arrived, run or not.
	Requests uint64 `json:"requests"`
	// Probes counts load reports asked for.
	Probes uint64 `json:"probes"`
	// Checks counts health checks.
	Checks uint64 `json:"checks"`
	// Connections counts connections accepted.
	Connections uint64 `json:"connections"`
}

// Run is one request that the target began to run.
type Run struct {
	Key       string    `json:"key,omitempty"`
	AttemptID string    `json:"attempt_id,omitempty"`
	Path      string    `json:"path"`
	Started   time.Time `json:"started"`
	// Finished is zero while the request runs.
	Finished time.Time `json:"finished"`
	// Canceled is set when the connection closed before the answer.
	Canceled bool `json:"canceled,omitempty"`
	// Crashed is set when the request crashed the target.
	Crashed bool `json:"crashed,omitempty"`
}

// Answer is the body of the target's answers.
type Answer struct {
	Target string `json:"target"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	// Echo is the request's body.
	Echo string `json:"echo"`
}
