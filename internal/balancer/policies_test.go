package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTargets(n int) []*Target {
	targets := make([]*Target, n)
	for i := range targets {
		targets[i] = &Target{Name: fmt.Sprintf("target-%d", i), Slots: 3}
	}
	return targets
}

// attempt is an attempt in flight in a random sequence of events.
type attempt struct {
	target  *Target
	started time.Time
}

// playHistory applies a random sequence of attempts, results, load reports and probes
// to targets, checks the ages of the attempts still in flight and returns the time
// at the end.
func playHistory(t *rapid.T, targets []*Target, policy Policy, rng *rand.Rand) time.Time {
	now := start
	var live []attempt
	for range rapid.IntRange(0, 60).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "us")) * time.Microsecond)
		if prober, ok := policy.(Prober); ok {
			target := targets[rng.IntN(len(targets))]
			prober.RecordProbe(now, target, Probe{InFlight: rng.IntN(9), Latency: time.Duration(rng.IntN(20)) * time.Millisecond})
		}
		if len(live) > 0 && rapid.Bool().Draw(t, "ends") {
			i := rng.IntN(len(live))
			endAttempt(now, live[i], rapid.IntRange(0, 9).Draw(t, "reported"))
			live = append(live[:i], live[i+1:]...)
			continue
		}
		target := policy.Pick(now, rng, targets)
		target.InFlight++
		target.RecordStart(now)
		live = append(live, attempt{target, now})
	}
	checkTotalAge(t, now, targets, live)
	return now
}

// endAttempt ends an attempt. The attempt fails if reported is 0, and the response
// carries a load report if it is at least 2.
func endAttempt(now time.Time, a attempt, reported int) {
	a.target.RecordEnd(now, Sample{Started: a.started, Answered: reported > 0, Load: LoadReport{Known: reported > 1, InFlight: reported}})
	a.target.InFlight--
}

// checkTotalAge checks totalAge of each target against the attempts in flight.
func checkTotalAge(t *rapid.T, now time.Time, targets []*Target, live []attempt) {
	for _, target := range targets {
		var want time.Duration
		for _, a := range live {
			if a.target == target {
				want += now.Sub(a.started)
			}
		}
		require.Equal(t, want, target.totalAge(now))
	}
}

func TestEveryPolicyPicksACandidate(t *testing.T) {
	for name := range builders {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				policy, err := New(name)
				require.NoError(t, err)
				rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
				targets := newTargets(rapid.IntRange(1, 12).Draw(t, "targets"))
				now := playHistory(t, targets, policy, rng)
				candidates := targets[rapid.IntRange(0, len(targets)-1).Draw(t, "first"):]
				require.Contains(t, candidates, policy.Pick(now, rng, candidates))
			})
		})
	}
}

func TestUnknownPolicy(t *testing.T) {
	_, err := New("fastest")
	var unknown *UnknownPolicyError
	require.ErrorAs(t, err, &unknown)
}

// A load report below this daemon's own attempts must not lower the estimated load
// of the target under them.
func TestLoadIsAtLeastOwnAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := newTargets(1)[0]
		target.InFlight = rapid.IntRange(0, 20).Draw(t, "own")
		now := start
		for range rapid.IntRange(0, 20).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			target.RecordLoad(now, rapid.IntRange(0, 40).Draw(t, "reported"))
			require.GreaterOrEqual(t, target.Load(now), float64(target.InFlight))
			require.LessOrEqual(t, target.Load(now), float64(target.InFlight)+40)
		}
	})
}

func TestLeastInFlightPicksFewestInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		targets := newTargets(rapid.IntRange(1, 12).Draw(t, "targets"))
		for _, target := range targets {
			target.InFlight = rapid.IntRange(0, 5).Draw(t, "in flight")
		}
		picked := LeastInFlight{}.Pick(start, rng, targets)
		for _, target := range targets {
			require.LessOrEqual(t, picked.InFlight, target.InFlight)
		}
	})
}

// All targets have one attempt in flight, but that of the straggler is unfinished
// for ten times as long as the others took.
func TestLeastWorkAvoidsStraggler(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	targets := newTargets(3)
	for _, target := range targets {
		target.InFlight = 1
		target.RecordStart(start)
	}
	now := start.Add(50 * time.Millisecond)
	for _, target := range targets[1:] {
		endAttempt(now, attempt{target, start.Add(45 * time.Millisecond)}, 1)
		target.InFlight++
		target.RecordStart(now)
	}
	for range 20 {
		require.NotEqual(t, targets[0], LeastWork{}.Pick(now, rng, targets))
	}
}

func TestProbesAreUsedAtMostProbeUsesTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		targets := newTargets(4)
		policy := &PooledProbes{}
		probes := rapid.IntRange(0, 30).Draw(t, "probes")
		for range probes {
			policy.Probed(start, targets[rng.IntN(4)], Probe{InFlight: rng.IntN(9)})
		}
		kept := min(probes, poolSize)
		require.Len(t, policy.pool, kept)
		for range kept * probeUses {
			require.NotEmpty(t, policy.pool)
			policy.Pick(start, rng, targets)
		}
		require.Empty(t, policy.pool)
	})
}

func TestHotTargetIsAvoidedDespiteLowLatency(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	targets := newTargets(3)
	policy := &PooledProbes{}
	policy.Probed(start, targets[0], Probe{InFlight: 9, Latency: time.Millisecond})
	policy.Probed(start, targets[1], Probe{InFlight: 1, Latency: 8 * time.Millisecond})
	policy.Probed(start, targets[2], Probe{InFlight: 1, Latency: 4 * time.Millisecond})
	require.Equal(t, targets[2], policy.Pick(start, rng, targets))
}

func TestExpiredProbesAreDropped(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	targets := newTargets(2)
	targets[0].InFlight = 1
	policy := &PooledProbes{}
	policy.Probed(start, targets[0], Probe{})
	require.Equal(t, targets[1], policy.Pick(start.Add(probeAge+1), rng, targets))
	require.Empty(t, policy.pool)
}
