package gateway

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

// Counts are a gateway's counters since its start.
type Counts struct {
	// Delivered counts the targets' responses sent to callers, Failures those of them with
	// a status of 400 or higher.
	Delivered uint64 `json:"delivered"`
	Failures  uint64 `json:"failures"`
	// Late counts successful responses of targets after the latency objective.
	Late uint64 `json:"late"`
	// Refused counts requests that were not executed, Unknown those that may have been
	// executed without a response.
	Refused uint64 `json:"refused"`
	// NoRoute counts those of the refused requests for which there was no route.
	NoRoute uint64 `json:"no_route"`
	// Unauthenticated counts those of the refused requests whose key is missing or unknown, by
	// reason.
	Unauthenticated map[string]uint64 `json:"unauthenticated,omitempty"`
	Unknown         uint64            `json:"unknown"`
	// RefusedCold counts those of the refused requests that only cold targets could take, none
	// of them in time.
	RefusedCold uint64 `json:"refused_cold,omitempty"`
	// RefusedEvacuated counts those that were refused because all zones are evacuated.
	RefusedEvacuated uint64 `json:"refused_evacuated,omitempty"`
	// Disconnected counts callers that disconnected before their response.
	Disconnected uint64 `json:"gone"`
	// Sent counts requests sent to targets, Probes health checks including load
	// probes, ProbesLost those of them that timed out.
	Sent           uint64 `json:"sent"`
	Probes         uint64 `json:"probes"`
	ProbesTimedOut uint64 `json:"probes_lost"`
	// Violations counts the responses of targets that were given up, by what was wrong.
	Violations map[targetclient.Violation]uint64 `json:"violations,omitempty"`
	// Elapsed is a histogram of the times until delivered responses: the number in each
	// bucket that ElapsedBounds delimits, and in one for longer times.
	Elapsed    [len(ElapsedBounds) + 1]uint64 `json:"elapsed"`
	ElapsedSum time.Duration                  `json:"elapsed_sum_ns"`
}

// ElapsedBounds are the inclusive upper bounds of the buckets of Counts.Elapsed.
var ElapsedBounds = [...]time.Duration{
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	300 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	5 * time.Second,
}

// minFailureStatus is the lowest status that counts as a failure.
const minFailureStatus = 400

// recordDelivered counts a response of a target that is sent to the caller.
func (c *Counts) recordDelivered(status int, elapsed time.Duration) {
	c.Delivered++
	if status >= minFailureStatus {
		c.Failures++
	}
	c.ElapsedSum += elapsed
	i := 0
	for i < len(ElapsedBounds) && elapsed > ElapsedBounds[i] {
		i++
	}
	c.Elapsed[i]++
}

// recordUnauthenticated counts a request that is refused because of its key.
func (c *Counts) recordUnauthenticated(reason string) {
	c.Refused++
	if c.Unauthenticated == nil {
		c.Unauthenticated = map[string]uint64{}
	}
	c.Unauthenticated[reason]++
}

// recordViolation counts a response that was given up, if err reports one.
func (c *Counts) recordViolation(err error) {
	violation, ok := targetclient.ViolationOf(err)
	if !ok {
		return
	}
	if c.Violations == nil {
		c.Violations = map[targetclient.Violation]uint64{}
	}
	c.Violations[violation]++
}
