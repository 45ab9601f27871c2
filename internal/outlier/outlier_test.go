package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const typical = 10 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// warmGroup returns targets with good answers behind them.
func warmGroup(size int) Group {
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

func ejected(group Group, now time.Time) int {
	return group.out(now)
}

func TestFailingTargetIsEjected(t *testing.T) {
	group := warmGroup(6)
	for range failingRun {
		group.Failed(start, group[0], ServerError, typical)
	}
	require.True(t, group[0].Ejected(start))
	require.Equal(t, Failing, group[0].Reason())
	require.Equal(t, 1, ejected(group, start))
}

func TestSharedFailureEjectsNone(t *testing.T) {
	group := warmGroup(6)
	for range 100 {
		for _, target := range group {
			group.Failed(start, target, ServerError, typical)
		}
	}
	require.LessOrEqual(t, ejected(group, start), 1)
}

func TestBadSignalsCannotEmptyAGroup(t *testing.T) {
	for size := 1; size <= 20; size++ {
		group := warmGroup(size)
		for range 100 {
			for _, target := range group {
				group.Failed(start, target, NoConnection, typical)
				group.Overtaken(start, target, time.Minute)
			}
		}
		require.LessOrEqual(t, ejected(group, start), MaxOut(size))
		require.Less(t, ejected(group, start), size)
	}
}

func TestStragglerIsEjectedAndNoiseIsNot(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	group := warmGroup(6)
	for range 10000 {
		for _, target := range group {
			group.Good(start, target, time.Duration(rng.ExpFloat64()*float64(typical)))
		}
	}
	require.Zero(t, ejected(group, start))
	answers := 0
	for !group[0].Ejected(start) {
		group.Good(start, group[0], time.Duration(rng.ExpFloat64()*float64(typical)*5))
		answers++
		require.Less(t, answers, 200)
	}
	require.Equal(t, Slow, group[0].Reason())
}

func TestCanceledAttemptsShowAStraggler(t *testing.T) {
	group := warmGroup(6)
	for range 100 {
		group.Overtaken(start, group[0], 4*typical)
	}
	require.True(t, group[0].Ejected(start))
}

func TestFailureRestsForAsLongAsAnAnswerTakes(t *testing.T) {
	group := warmGroup(6)
	group.Failed(start, group[0], ServerError, typical)
	require.True(t, group[0].Resting(start.Add(typical-1)))
	require.False(t, group[0].Resting(start.Add(typical)))
}

func TestReturnIsColdAndSecondEjectionLonger(t *testing.T) {
	group := warmGroup(6)
	target := group[0]
	for range failingRun {
		group.Failed(start, target, ServerError, typical)
	}
	now := start.Add(baseEjection)
	target.Advance(now)
	require.False(t, target.Ejected(now))
	require.True(t, target.Cold())
	require.Equal(t, 1, target.Limit(3))
	for range coldRun {
		group.Failed(now, target, ServerError, typical)
	}
	require.True(t, target.Ejected(now.Add(2*baseEjection-1)))
	now = now.Add(2 * baseEjection)
	target.Advance(now)
	for range coldAnswers {
		group.Good(now, target, typical)
	}
	require.False(t, target.Cold())
	require.Equal(t, 3, target.Limit(3))
}

func TestSlowStartLastsWhileTheTargetIsSlow(t *testing.T) {
	group := warmGroup(6)
	target := group[0]
	target.Restart()
	for range coldAnswers {
		group.Good(start, target, typical*5/2)
	}
	require.True(t, target.Cold())
	require.Equal(t, 2, target.Limit(3))
}

func TestSilentTargetIsEjectedAfterTwoAttempts(t *testing.T) {
	group := warmGroup(6)
	target := group[0]
	group.Failed(start, target, NoAnswer, typical)
	require.False(t, target.Ejected(start))
	group.Good(start, target, typical)
	group.Failed(start, target, NoAnswer, typical)
	require.False(t, target.Ejected(start), "an answer in between shows that it isn't silent")
	group.Failed(start, target, NoAnswer, typical)
	require.True(t, target.Ejected(start))
	require.Equal(t, Failing, target.Reason())

	now := start.Add(baseEjection)
	target.Advance(now)
	require.True(t, target.Cold())
	group.Failed(now, target, NoAnswer, typical)
	require.True(t, target.Ejected(now), "a cold target that is still silent costs one call")
}
