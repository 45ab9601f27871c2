package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSchedulerIsIdleOnlyWithoutWorkAndTargetState(t *testing.T) {
	const length = time.Minute
	later := start.Add(2 * length)
	s := testScheduler(t, testService(2))
	require.True(t, s.Idle(start, length))

	call := testCall(1, bookingType())
	attempt := s.Arrive(start, call)[0].Attempt
	require.False(t, s.Idle(later, length), "an attempt is in flight")
	s.FinishAttempt(start, attempt, Result{Kind: Answered})
	require.False(t, s.Idle(start.Add(length/2), length), "the last call was recent")
	require.True(t, s.Idle(later, length))

	s.SetLeavingByPeer("target-0")
	require.False(t, s.Idle(later, length), "a target is leaving")
	s.SetLeaving("target-0", true)
	s.SetLeaving("target-0", false)
	require.True(t, s.Idle(later, length))

	target := s.Targets()[0]
	target.Probing = true
	require.False(t, s.Idle(later, length), "a target is being probed")
	target.Probing = false
	check := HealthCheck{Name: target.Name, Target: target}
	s.RecordHealthCheck(later, check, CheckUnhealthy)
	s.RecordHealthCheck(later, check, CheckUnhealthy)
	require.False(t, s.Idle(later, length), "a target is unhealthy")
	s.RecordHealthCheck(later, check, CheckHealthy)
	require.True(t, s.Idle(later, length))
}

func TestSchedulerWithAttemptsAtRemovedTargetIsNotIdle(t *testing.T) {
	s := testScheduler(t, testService(1))
	attempt := s.Arrive(start, testCall(1, bookingType()))[0].Attempt
	replaced := testService(1)
	replaced.Groups[0].Targets[0].Name = "target-9"
	require.NoError(t, s.Configure(replaced))
	later := start.Add(time.Hour)
	s.Expire(later)
	require.False(t, s.Idle(later, time.Minute))
	s.FinishAttempt(later, attempt, Result{Kind: Answered})
	require.True(t, s.Idle(later, time.Minute))
}
