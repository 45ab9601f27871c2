// Package balancer picks the target of an attempt.
//
// A Policy ranks the targets of one service by what the daemon knows of them:
// its own attempts in flight and how long they take, load reports carried on
// answers, and probes. Policies are plain code: time and randomness are passed
// in. They are not safe for concurrent use.
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
	// Pick returns the target for the next attempt. Candidates is not empty.
	Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target
}

// Prober is a Policy that ranks targets by probes.
type Prober interface {
	Policy
	// Probed takes the answer to a probe.
	Probed(now time.Time, target *Target, probe Probe)
}

// UnknownPolicyError reports a policy name that the program doesn't have.
type UnknownPolicyError struct{ Name string }

// Error implements error.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("balancer: unknown policy %q", e.Name)
}

// New returns the policy with the given name. The error is an
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

var builders = map[string]func() Policy{
	config.PolicyRandom:       func() Policy { return Random{} },
	config.PolicyRoundRobin:   func() Policy { return &RoundRobin{} },
	config.PolicyLeast:        func() Policy { return LeastInFlight{} },
	config.PolicyLeastReports: func() Policy { return LeastReports{} },
	config.PolicyLeastWork:    func() Policy { return LeastWork{} },
	config.PolicyTwoChoices:   func() Policy { return TwoChoices{} },
	config.PolicyTwoReports:   func() Policy { return TwoReports{} },
	config.PolicyPooledProbes: func() Policy { return &PooledProbes{} },
}

// registered holds the policies of programs that compare policies.
var registered sync.Map

// Register makes New return policies of the program's own under a further name.
func Register(name string, build func() Policy) { registered.Store(name, build) }
