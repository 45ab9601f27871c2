package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// responseTime is the time until a successful response.
const responseTime = 10 * time.Millisecond

// runWithFastFailingTarget makes calls 1 ms apart. target-0 fails them immediately,
// the other targets respond after responseTime. It returns the number of attempts at
// target-0.
func runWithFastFailingTarget(t *testing.T, s *Scheduler, calls int) int {
	t.Helper()
	type running struct {
		attempt *Attempt
		until   time.Time
	}
	var live []running
	failed := 0
	now := start
	for id := range uint64(calls) {
		now = now.Add(time.Millisecond)
		for len(live) > 0 && !live[0].until.After(now) {
			s.FinishAttempt(now, live[0].attempt, Result{Kind: Answered, Answer: "good"})
			live = live[1:]
		}
		call := testCall(id, readType())
		call.Deadline = now.Add(time.Second)
		actions := s.Arrive(now, call)
		for len(actions) > 0 && actions[0].Kind == Start {
			attempt := actions[0].Attempt
			if attempt.Target.Name != "target-0" {
				live = append(live, running{attempt: attempt, until: now.Add(responseTime)})
				break
			}
			failed++
			actions = s.FinishAttempt(now, attempt, Result{Kind: Answered, ServerError: true, Answer: "failed"})
		}
	}
	return failed
}

// A target that fails immediately has no attempts in flight, so without outlier
// detection the policy would take it for idle and send it most calls.
func TestFastFailingTargetIsNotPreferred(t *testing.T) {
	s := testScheduler(t, testService(4))
	const calls = 2000
	failed := runWithFastFailingTarget(t, s, calls)
	t.Logf("attempts at the failing target: %d of %d calls", failed, calls)
	require.Less(t, failed, calls/20)
}

func TestLeavingTargetGetsNoAttempts(t *testing.T) {
	s := testScheduler(t, testService(2))
	first := requireOnly(t, s.Arrive(start, testCall(1, readType())), Start).Attempt
	s.FinishAttempt(start, first, Result{Kind: Answered, Leaving: true, Answer: "last"})
	s.SetLeaving(first.Target.Name, false)
	for id := range uint64(10) {
		attempt := requireOnly(t, s.Arrive(start, testCall(10+id, readType())), Start).Attempt
		require.NotEqual(t, first.Target.Name, attempt.Target.Name)
	}
	require.Equal(t, []string{first.Target.Name}, s.SelfReportedLeaving())
}

func TestCallIsRefusedIfAllTargetsAreLeaving(t *testing.T) {
	s := testScheduler(t, testService(2))
	s.SetLeaving("target-0", true)
	s.SetLeavingByPeer("target-1")
	require.Equal(t, ReasonNoTarget, requireOnly(t, s.Arrive(start, testCall(1, readType())), Refuse).Reason)
}

// recordCheck passes the result of a health check of the named target to s.
func recordCheck(s *Scheduler, name string, result HealthCheckResult) {
	s.RecordHealthCheck(start, HealthCheck{Name: name, Target: s.targets.byName[name].Target}, result)
}

func TestReplacedProcessStartsWithSlowStart(t *testing.T) {
	s := testScheduler(t, testService(2))
	s.SetLeavingByPeer("target-0")
	recordCheck(s, "target-0", CheckHealthy)
	require.True(t, s.Targets()[0].Leaving, "a leaving target may still report itself healthy")
	recordCheck(s, "target-0", CheckUnreachable)
	require.True(t, s.Targets()[0].Leaving)
	recordCheck(s, "target-0", CheckHealthy)
	require.False(t, s.Targets()[0].Leaving)
	require.Equal(t, TargetCold, s.TargetStatuses(start)[0].State)
}

func TestUnhealthyTargetsAreExcludedUpToLimit(t *testing.T) {
	s := testScheduler(t, testService(6))
	unhealthy := func(names ...string) {
		for range 2 {
			for _, name := range names {
				recordCheck(s, name, CheckUnhealthy)
			}
		}
	}
	used := func() map[string]bool {
		names := map[string]bool{}
		for id := range uint64(60) {
			call := testCall(id, readType())
			attempt := requireOnly(t, s.Arrive(start, call), Start).Attempt
			names[attempt.Target.Name] = true
		}
		return names
	}
	unhealthy("target-0", "target-1")
	require.Len(t, used(), 4)
	unhealthy("target-2", "target-3", "target-4", "target-5")
	require.Len(t, used(), 6)
}

func TestHealthChecksStayWithinRateLimit(t *testing.T) {
	s := testScheduler(t, testService(100))
	s.Arrive(start, testCall(1, readType()))
	checks := 0
	const seconds = 20
	for tick := range seconds * 4 {
		checks += len(s.DueHealthChecks(start.Add(time.Duration(tick)*250*time.Millisecond), 25))
	}
	require.LessOrEqual(t, checks, seconds*int(checksPerSecond)+int(checkBurst))
	require.Empty(t, s.DueHealthChecks(start.Add(time.Hour), 25), "the targets of a service without calls aren't checked")
}

func TestAddedTargetStartsWithSlowStart(t *testing.T) {
	s := testScheduler(t, testService(2))
	require.NoError(t, s.Configure(testService(3)))
	for id := range uint64(30) {
		requireOnly(t, s.Arrive(start, testCall(id, readType())), Start)
	}
	require.Equal(t, 1, s.Targets()[2].InFlight)
}

func TestUnresponsiveTargetIsEjectedAsFailing(t *testing.T) {
	s := testScheduler(t, testService(4))
	s.serviceTime.observe(responseTime)
	for id := range uint64(200) {
		now := start.Add(time.Duration(id) * time.Second)
		call := testCall(id, readType())
		call.Deadline = now.Add(time.Second)
		attempt := requireOnly(t, s.Arrive(now, call), Start).Attempt
		if attempt.Target.Name == "target-0" {
			s.Expire(call.Deadline)
			s.FinishAttempt(call.Deadline, attempt, Result{Kind: Lost})
			continue
		}
		s.FinishAttempt(now.Add(responseTime), attempt, Result{Kind: Answered, Answer: "good"})
	}
	require.Equal(t, "failing", s.TargetStatuses(start)[0].Reason)
}
