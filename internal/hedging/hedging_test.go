package hedging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const serviceTime = 100 * time.Millisecond

// Guards against hedges above the limit in any order of requests and hedges, summed over
// daemons that know nothing of each other.
func TestHedgesOfAllDaemonsStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0.001, 1).Draw(t, "ratio")
		limits := make([]Limit, rapid.IntRange(1, 5).Draw(t, "daemons"))
		for i := range limits {
			limits[i] = NewLimit(ratio)
		}
		requests, hedges := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "events") {
			limit := &limits[rapid.IntRange(0, len(limits)-1).Draw(t, "daemon")]
			if rapid.Bool().Draw(t, "request") {
				limit.RecordRequest()
				requests++
			} else if limit.Allows() {
				limit.Take()
				hedges++
			}
			const rounding = 1e-6
			require.LessOrEqual(t, float64(hedges), ratio*float64(requests)+rounding)
		}
	})
}

func TestQuantileIsUnknownUntilEnoughResponses(t *testing.T) {
	times := NewTimes()
	for range minTimes - 1 {
		times.Record(start, serviceTime, serviceTime)
	}
	_, known := times.Overdue(start)
	require.False(t, known)
	times.Record(start, serviceTime, serviceTime)
	overdue, known := times.Overdue(start.Add(refreshInterval))
	require.True(t, known)
	require.InDelta(t, 1, overdue, 0.02)
}

// Response times from before a change of load must not delay hedges for long.
func TestOldResponseTimesAreForgotten(t *testing.T) {
	times := NewTimes()
	for range 100 {
		times.Record(start, 10*serviceTime, serviceTime)
	}
	_, known := times.Overdue(start.Add(sectionLength))
	require.True(t, known)
	_, known = times.Overdue(start.Add((timesSections + 1) * sectionLength))
	require.False(t, known)
}

// Without the overtaken attempts, the quantile would fall with each hedge and cause ever more.
func TestOvertakenAttemptsKeepQuantile(t *testing.T) {
	times := NewTimes()
	for range 90 {
		times.Record(start, serviceTime, serviceTime)
	}
	for range 10 {
		times.RecordOvertaken(start)
	}
	require.InDelta(t, 1, times.StillRunning(start, serviceTime+time.Millisecond, time.Second, serviceTime), 0)
	overdue, _ := times.Overdue(start)
	require.Greater(t, overdue, 90.0)
}

// If response times only spread, an overdue attempt ends soon, and a hedge would be wasted.
func TestOverdueAttemptThatEndsSoonIsNotHedged(t *testing.T) {
	h := New(1)
	h.Limit.RecordRequest()
	for i := range 100 {
		h.Times.Record(start, serviceTime+time.Duration(i)*time.Millisecond, serviceTime)
	}
	s := suitable()
	s.Elapsed = 195 * time.Millisecond
	require.Equal(t, ReasonNoGain, h.Decide(start, s))
}

// suitable returns a situation in which nothing prevents a hedge.
func suitable() Situation {
	return Situation{
		Trigger:     Overdue,
		Elapsed:     2 * serviceTime,
		ServiceTime: serviceTime,
		HedgeTime:   serviceTime,
		DueIn:       2 * serviceTime,
		TimeLeft:    5 * serviceTime,
		HasTarget:   true,
		BudgetLeft:  true,
	}
}

func TestEachReasonPreventsHedge(t *testing.T) {
	for reason, change := range map[Reason]func(*Situation){
		ReasonSend:        func(*Situation) {},
		ReasonNoTime:      func(s *Situation) { s.TimeLeft = serviceTime },
		ReasonNoGain:      func(s *Situation) { s.Trigger, s.Remaining = SlowTarget, serviceTime },
		ReasonSuspected:   func(s *Situation) { s.Suspected = true },
		ReasonNoTarget:    func(s *Situation) { s.HasTarget = false },
		ReasonRetryBudget: func(s *Situation) { s.BudgetLeft = false },
		ReasonNoRoom:      func(s *Situation) { s.Occupied = 1 },
	} {
		h := New(1)
		h.Limit.allowance = h.Limit.capacity()
		s := suitable()
		change(&s)
		require.Equal(t, reason, h.Decide(start, s))
	}
}

// While the allowance is low, it must be left for requests that would be late.
func TestLowAllowanceIsKeptForLateRequests(t *testing.T) {
	h := New(0.1)
	h.Limit.allowance = 1
	late := suitable()
	require.Equal(t, ReasonSend, h.Decide(start, late))
	sooner := late
	sooner.Trigger, sooner.Remaining, sooner.DueIn = SlowTarget, 2*serviceTime, 4*serviceTime
	require.Equal(t, ReasonLimit, h.Decide(start, sooner))
	h.Limit.allowance = h.Limit.capacity()
	require.Equal(t, ReasonSend, h.Decide(start, sooner))
}
