// Package balancer implements the load-balancing policies that pick the target of
// an attempt.
//
// A Policy ranks the targets of one service by what this daemon knows of them: its
// own attempts in flight and their durations, load reports carried on responses,
// and probes. Time and randomness are passed in, so policies are deterministic.
// They are not safe for concurrent use.
package balancer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
)

// Policy picks one of the candidates.
type Policy interface {
	// Pick returns the target for the next attempt. candidates must not be empty.
	Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target
}

// Prober is a Policy that ranks targets by probes.
type Prober interface {
	Policy
	// RecordProbe records the response to a probe of the target.
	RecordProbe(now time.Time, target *Target, probe Probe)
}

// UnknownPolicyError reports a policy name that is neither built in nor registered.
type UnknownPolicyError struct{ Name string }

// Error implements error.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("balancer: unknown policy %q", e.Name)
}

// New returns a new instance of the named policy. The error is an
// *UnknownPolicyError.
func New(name string) (Policy, error) {
	if build, ok := builders[name]; ok {
		return build(), nil
	}
	if build, ok := registered.Load(name); ok {
		return build.(func() Policy)(), nil
	}
	return nil, &UnknownPolicyError{Name: name}
}

// builders holds the built-in policies by name.
var builders = map[string]func() Policy{
	config.PolicyRandom:       func() Policy { return Random{} },
	config.PolicyRoundRobin:   func() Policy { return &RoundRobin{} },
	config.PolicyLeast:        func() Policy { return LeastInFlight{} },
	config.PolicyLeastReports: func() Policy { return LeastReports{} },
	config.PolicyLeastWork:    func() Policy { return LeastWork{} },
	config.PolicyTwoChoices:   func() Policy { return TwoChoices{} },
	config.PolicyTwoReports:   func() Policy { return TwoChoicesReports{} },
	config.PolicyPooledProbes: func() Policy { return &PooledProbes{} },
}

// registered holds the policies added by Register.
var registered sync.Map

// Register adds a policy under the given name, for example one that a benchmark
// compares with the built-in ones. Built-in names take precedence.
func Register(name string, build func() Policy) { registered.Store(name, build) }
