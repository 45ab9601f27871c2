package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against fallback shares that add up to more than their part of the bound in a large
// deployment, where each daemon's part is less than one request.
func TestFallbackSharesOfAllDaemonsFitIntoTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(0.01, 5000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 5000).Draw(t, "burst")}
		var addresses []string
		for i := range rapid.IntRange(1, 153).Draw(t, "daemons") {
			addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7000", i))
		}
		sum := 0
		for _, self := range addresses {
			n := NewNode(time.Hour, Options{Self: self, Bound: testBound})
			n.SetMembers(addresses, true)
			sum += n.fallbackShare(n.account("a", limit))
		}
		require.Equal(t, testBound.fallback(limit), sum)
	})
}

// Guards against parts of the allowed excess that add up to more than all of it. The parts are
// those of "The bound" in docs/design/quotas.md.
func TestPartsOfTheExcessFitIntoTheBound(t *testing.T) {
	const handovers = 6
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(0, 5000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 5000).Draw(t, "burst")}
		allowed := testBound.Overage*(limit.Rate*testBound.Window.Seconds()+limit.Burst) + testBound.Slack
		used := limit.Rate*testBound.lifetime().Seconds() +
			testBound.capacity(limit) - limit.Burst +
			float64(testBound.fallback(limit)) +
			handovers*testBound.initial()
		require.LessOrEqual(t, used, allowed)
	})
}

// Guards against a daemon that has started and spends a fallback share that it has already spent
// before.
func TestDaemonThatHasStartedHasNoFallbackForAWindow(t *testing.T) {
	n := NewNode(time.Hour, Options{Self: "a", Bound: testBound, Random: func() float64 { return 0 }})
	n.SetMembers([]string{"a", "b", "c"}, true)
	limit := Limit{Rate: 100, Burst: 100, Revision: 1}
	admitted := func(after time.Duration) bool {
		now := time.Hour + after
		_, w := n.Admit(now, "w", limit, nil)
		require.NotNil(t, w)
		for range 3 {
			now += ownerlessWait
			n.Tick(now)
		}
		for _, d := range n.TakeOutput().Decisions {
			if d.Verdict.Outcome == Admitted {
				return true
			}
		}
		return false
	}
	require.False(t, admitted(testBound.Window-3*time.Second))
	require.True(t, admitted(testBound.Window))
}

// Guards against rejected callers that return at one moment.
func TestRetryAfterIsSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	n := NewNode(time.Hour, Options{Self: "a", Bound: testBound, Random: rng.Float64})
	const callers, intervals = 1000, 10
	var returns [intervals]int
	for range callers {
		after := n.reject().RetryAfter
		require.GreaterOrEqual(t, after, minRetryAfter)
		require.Less(t, after, maxRetryAfter)
		returns[int64(after-minRetryAfter)*intervals/int64(maxRetryAfter-minRetryAfter)]++
	}
	for _, count := range returns {
		require.InDelta(t, callers/intervals, count, callers/intervals/2)
	}
}
