// Package balancer picks the target of an attempt.
//
// A Policy ranks the targets of one service by what the daemon knows of them.
// Policies are plain code: time and randomness are passed in.
package balancer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
)

// Target is what a daemon knows of one target.
type Target struct {
	// Name is the VM name.
	Name string
	// Address is the "ip:port" that serves requests.
	Address string
	// Zone is the availability zone.
	Zone string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// MaxConnections bounds this daemon's connections to the target.
	MaxConnections int
	// InFlight is the number of this daemon's attempts at the target.
	InFlight int
	// Leaving is set once any sign says that the target shuts down.
	Leaving bool
}

// Policy picks one of the candidates.
type Policy interface {
	// Pick returns the target for the next attempt. Candidates is not empty.
	Pick(now time.Time, rng *rand.Rand, candidates []*Target) *Target
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
	switch name {
	case config.PolicyRandom:
		return Random{}, nil
	case config.PolicyRoundRobin:
		return &RoundRobin{}, nil
	case config.PolicyLeast:
		return LeastInFlight{}, nil
	case config.PolicyTwoChoices:
		return TwoChoices{}, nil
	}
	if build, ok := registered.Load(name); ok {
		return build.(func() Policy)(), nil
	}
	return nil, &UnknownPolicyError{Name: name}
}

// registered holds the policies of programs that compare policies.
var registered sync.Map

// Register makes New return policies of the program's own under a further name.
func Register(name string, build func() Policy) { registered.Store(name, build) }
