package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// typical is the service time of a good response.
const typical = 10 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// establishedGroup returns targets with enough good responses to be compared.
func establishedGroup(size int) Group {
	group := make(Group, size)
	for i := range group {
		group[i] = &Target{}
	}
	for range minSamples {
		for _, target := range group {
			group.Good(start, target, typical)
		}
	}
	return group
}

func ejectedCount(group Group, now time.Time) int {
	return group.ejected(now)
}

func TestFailingTargetIsEjected(t *testing.T) {
	group := establishedGroup(6)
	for range failuresToEject {
		group.Failed(start, group[0], ServerError, typical)
	}
	require.True(t, group[0].Ejected(start))
	require.Equal(t, Failing, group[0].Reason())
	require.Equal(t, 1, ejectedCount(group, start))
}

// If all targets fail, the requests are the likely cause and at most one target is ejected.
func TestFailuresOfAllTargetsEjectAtMostOne(t *testing.T) {
	group := establishedGroup(6)
	for range 100 {
		for _, target := range group {
			group.Failed(start, target, ServerError, typical)
		}
	}
	require.LessOrEqual(t, ejectedCount(group, start), 1)
}

func TestEjectionsAreBoundedInEachGroup(t *testing.T) {
	for size := 1; size <= 20; size++ {
		group := establishedGroup(size)
		for range 100 {
			for _, target := range group {
				group.Failed(start, target, NoConnection, typical)
				group.Overtaken(start, target, time.Minute)
			}
		}
		require.LessOrEqual(t, ejectedCount(group, start), MaxOut(size))
		require.Less(t, ejectedCount(group, start), size)
	}
}

func TestSlowTargetIsEjectedAndRandomLatencyIsNot(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	group := establishedGroup(6)
	for range 10000 {
		for _, target := range group {
			group.Good(start, target, time.Duration(rng.ExpFloat64()*float64(typical)))
		}
	}
	require.Zero(t, ejectedCount(group, start))
	responses := 0
	for !group[0].Ejected(start) {
		group.Good(start, group[0], time.Duration(rng.ExpFloat64()*float64(typical)*5))
		responses++
		require.Less(t, responses, 200)
	}
	require.Equal(t, Slow, group[0].Reason())
}

func TestCanceledAttemptsEjectSlowTarget(t *testing.T) {
	group := establishedGroup(6)
	for range 100 {
		group.Overtaken(start, group[0], 4*typical)
	}
	require.True(t, group[0].Ejected(start))
}

func TestFailureBacksOffForServiceTimeOfAResponse(t *testing.T) {
	group := establishedGroup(6)
	group.Failed(start, group[0], ServerError, typical)
	require.True(t, group[0].Resting(start.Add(typical-1)))
	require.False(t, group[0].Resting(start.Add(typical)))
}

func TestTargetReturnsInSlowStartAndSecondEjectionIsLonger(t *testing.T) {
	group := establishedGroup(6)
	target := group[0]
	for range failuresToEject {
		group.Failed(start, target, ServerError, typical)
	}
	now := start.Add(baseEjection)
	target.Advance(now)
	require.False(t, target.Ejected(now))
	require.True(t, target.Cold())
	require.Equal(t, 1, target.Limit(3))
	for range slowStartFailuresToEject {
		group.Failed(now, target, ServerError, typical)
	}
	require.True(t, target.Ejected(now.Add(2*baseEjection-1)))
	now = now.Add(2 * baseEjection)
	target.Advance(now)
	for range slowStartResponses {
		group.Good(now, target, typical)
	}
	require.False(t, target.Cold())
	require.Equal(t, 3, target.Limit(3))
}

func TestSlowStartLastsWhileTargetIsSlow(t *testing.T) {
	group := establishedGroup(6)
	target := group[0]
	target.Restart()
	for range slowStartResponses {
		group.Good(start, target, typical*5/2)
	}
	require.True(t, target.Cold())
	require.Equal(t, 2, target.Limit(3))
}

func TestUnresponsiveTargetIsEjectedAfterTwoAttempts(t *testing.T) {
	group := establishedGroup(6)
	target := group[0]
	group.Failed(start, target, NoAnswer, typical)
	require.False(t, target.Ejected(start))
	group.Good(start, target, typical)
	group.Failed(start, target, NoAnswer, typical)
	require.False(t, target.Ejected(start), "the response in between must reset the count")
	group.Failed(start, target, NoAnswer, typical)
	require.True(t, target.Ejected(start))
	require.Equal(t, Failing, target.Reason())

	now := start.Add(baseEjection)
	target.Advance(now)
	require.True(t, target.Cold())
	group.Failed(now, target, NoAnswer, typical)
	require.True(t, target.Ejected(now), "a target in slow start must be ejected after one unanswered attempt")
}
