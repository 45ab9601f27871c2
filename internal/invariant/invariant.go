// Package invariant asserts, inside the running program, what must always hold.
//
// A breach is counted and reported while serving, and panics in tests.
package invariant

import (
	"fmt"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
)

// Name identifies an invariant in logs, metrics and dumps.
type Name string

// Invariants.
const (
	// RevisionGrows: the configuration in force never reverts to an older one.
	RevisionGrows Name = "revision_grows"
	// RevisionUnique: one revision is one acceptance, whatever source gave it.
	RevisionUnique Name = "revision_unique"
	// AnswerMatchesAttempt: an answer belongs to the attempt it is given to.
	AnswerMatchesAttempt Name = "answer_matches_attempt"
	// DispatchedOnce: a non-idempotent request that may have run isn't sent again.
	DispatchedOnce Name = "dispatched_once"
	// NotRunIsTrue: "not run" is said only if no attempt can have begun.
	NotRunIsTrue Name = "not_run_is_true"
	// MeasuringBudget: probes stay within the daemon's share of the budget.
	MeasuringBudget Name = "measuring_budget"
	// LeavingGetsNothing: no attempt starts at a target known to be leaving.
	LeavingGetsNothing Name = "leaving_gets_nothing"
	// PausedGetsNothing: no attempt starts at a target within the pause that it asked for.
	PausedGetsNothing Name = "paused_gets_nothing"
	// EvacuatedGetsNothing: no attempt starts at a target of an evacuated zone.
	EvacuatedGetsNothing Name = "evacuated_gets_nothing"
	// ColdRate: no daemon sends a cold target more than its share of the service's cold rate.
	ColdRate Name = "cold_rate"
	// RetryBudget: retries and hedges stay within their budgets.
	RetryBudget Name = "retry_budget"
	// EjectionBounded: only a bounded share of a group is ejected.
	EjectionBounded Name = "ejection_bounded"
	// QueueBounded: the calls that wait for a free slot stay within their bound.
	QueueBounded Name = "queue_bounded"
	// TeamsApart: what a team accepts leaves the services of other teams as they are.
	TeamsApart Name = "teams_apart"
	// InFlightBalanced: counts of attempts in flight never fall below zero.
	InFlightBalanced Name = "in_flight_balanced"
)

// BreachError describes a breach.
type BreachError struct {
	Name   Name
	Detail string
}

// Error implements error.
func (e *BreachError) Error() string { return fmt.Sprintf("invariant %s: %s", e.Name, e.Detail) }

var registry = struct {
	mu       sync.Mutex
	breaches map[Name]uint64
	report   func(*BreachError)
}{breaches: map[Name]uint64{}}

// OnBreach sets the function that reports breaches, in place of a panic in
// tests. nil restores the default.
func OnBreach(report func(*BreachError)) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.report = report
}

// LogTo reports breaches to a log.
func LogTo(log logrus.FieldLogger) {
	OnBreach(func(breach *BreachError) {
		log.WithField("invariant", breach.Name).WithField("detail", breach.Detail).Error("invariant breached")
	})
}

// Check records a breach of the invariant unless ok is true. Its arguments are
// allocated at every check; on the way of a call use Breached.
func Check(ok bool, name Name, format string, args ...any) {
	if !ok {
		Breached(name, format, args...)
	}
}

// Breached records a breach of the invariant.
func Breached(name Name, format string, args ...any) {
	breach(&BreachError{Name: name, Detail: fmt.Sprintf(format, args...)})
}

func breach(err *BreachError) {
	registry.mu.Lock()
	registry.breaches[err.Name]++
	report := registry.report
	registry.mu.Unlock()
	if report != nil {
		report(err)
		return
	}
	if testing.Testing() {
		panic(err)
	}
}

// Breaches returns the number of breaches by invariant.
func Breaches() map[Name]uint64 {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	counts := make(map[Name]uint64, len(registry.breaches))
	for name, count := range registry.breaches {
		counts[name] = count
	}
	return counts
}
