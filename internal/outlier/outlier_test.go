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
			group.RecordSuccess(start, target, typical)
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
		group.RecordFailure(start, group[0], ServerError, typical)
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
			group.RecordFailure(start, target, ServerError, typical)
		}
	}
	require.LessOrEqual(t, ejectedCount(group, start), 1)
}

func TestEjectionsAreBoundedInEachGroup(t *testing.T) {
	for size := 1; size <= 20; size++ {
		group := establishedGroup(size)
		for range 100 {
			for _, target := range group {
				group.RecordFailure(start, target, NoConnection, typical)
				group.RecordCanceled(start, target, time.Minute)
			}
		}
		require.LessOrEqual(t, ejectedCount(group, start), MaxExcluded(size))
		require.Less(t, ejectedCount(group, start), size)
	}
}

func TestSlowTargetIsEjectedAndRandomLatencyIsNot(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	group := establishedGroup(6)
	for range 10000 {
		for _, target := range group {
			group.RecordSuccess(start, target, time.Duration(rng.ExpFloat64()*float64(typical)))
		}
	}
	require.Zero(t, ejectedCount(group, start))
	responses := 0
	for !group[0].Ejected(start) {
		group.RecordSuccess(start, group[0], time.Duration(rng.ExpFloat64()*float64(typical)*5))
		responses++
		require.Less(t, responses, 200)
	}
	require.Equal(t, Slow, group[0].Reason())
}

func TestCanceledAttemptsEjectSlowTarget(t *testing.T) {
	group := establishedGroup(6)
	for range 100 {
		group.RecordCanceled(start, group[0], 4*typical)
	}
	require.True(t, group[0].Ejected(start))
}

func TestFailureBacksOffForServiceTimeOfAResponse(t *testing.T) {
	group := establishedGroup(6)
	group.RecordFailure(start, group[0], ServerError, typical)
	require.True(t, group[0].BackingOff(start.Add(typical-1)))
	require.False(t, group[0].BackingOff(start.Add(typical)))
}

func TestTargetReturnsInSlowStartAndSecondEjectionIsLonger(t *testing.T) {
	group := establishedGroup(6)
	target := group[0]
	for range failuresToEject {
		group.RecordFailure(start, target, ServerError, typical)
	}
	now := start.Add(baseEjection)
	target.EndExpiredEjection(now)
	require.False(t, target.Ejected(now))
	require.True(t, target.InSlowStart())
	require.Equal(t, 1, target.ConcurrencyLimit(3))
	for range slowStartFailuresToEject {
		group.RecordFailure(now, target, ServerError, typical)
	}
	require.True(t, target.Ejected(now.Add(2*baseEjection-1)))
	now = now.Add(2 * baseEjection)
	target.EndExpiredEjection(now)
	for range slowStartResponses {
		group.RecordSuccess(now, target, typical)
	}
	require.False(t, target.InSlowStart())
	require.Equal(t, 3, target.ConcurrencyLimit(3))
}

func TestSlowStartLastsWhileTargetIsSlow(t *testing.T) {
	group := establishedGroup(6)
	target := group[0]
	target.BeginSlowStart()
	for range slowStartResponses {
		group.RecordSuccess(start, target, typical*5/2)
	}
	require.True(t, target.InSlowStart())
	require.Equal(t, 2, target.ConcurrencyLimit(3))
}

func TestUnresponsiveTargetIsEjectedAfterTwoAttempts(t *testing.T) {
	group := establishedGroup(6)
	target := group[0]
	group.RecordFailure(start, target, NoResponse, typical)
	require.False(t, target.Ejected(start))
	group.RecordSuccess(start, target, typical)
	group.RecordFailure(start, target, NoResponse, typical)
	require.False(t, target.Ejected(start), "the response in between must reset the count")
	group.RecordFailure(start, target, NoResponse, typical)
	require.True(t, target.Ejected(start))
	require.Equal(t, Failing, target.Reason())

	now := start.Add(baseEjection)
	target.EndExpiredEjection(now)
	require.True(t, target.InSlowStart())
	group.RecordFailure(now, target, NoResponse, typical)
	require.True(t, target.Ejected(now), "a target in slow start must be ejected after one unanswered attempt")
}
