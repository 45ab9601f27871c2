package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

// attemptsPerTarget is the number of attempts up to which a target of testService
// gets queued calls.
const attemptsPerTarget = 3 + slotHeadroom

// waitingRead returns a request type whose calls may be queued for the given time.
func waitingRead(queueMs int) *config.RequestType {
	requestType := readType()
	requestType.QueueMs = queueMs
	return requestType
}

// fillTargets makes the given number of calls, each of which must start at once, and
// returns their attempts.
func fillTargets(t *testing.T, s *Scheduler, count int) []*Attempt {
	t.Helper()
	var attempts []*Attempt
	for id := range uint64(count) {
		attempts = append(attempts, requireOnly(t, s.Arrive(start, testCall(1000+id, waitingRead(50))), Start).Attempt)
	}
	return attempts
}

func TestCallIsQueuedUntilSlotIsFree(t *testing.T) {
	s := testScheduler(t, testService(2))
	busy := fillTargets(t, s, 2*attemptsPerTarget)
	call := testCall(1, waitingRead(50))
	require.Empty(t, s.Arrive(start, call))
	require.Equal(t, 1, s.Queued())
	actions := s.FinishAttempt(start, busy[0], Result{Kind: Answered})
	require.Equal(t, []ActionKind{Reply, Start}, kinds(actions))
	require.Same(t, call, actions[1].Call)
	require.Zero(t, s.Queued())
}

func TestQueuedCallIsRefusedAtQueueLimit(t *testing.T) {
	s := testScheduler(t, testService(1))
	fillTargets(t, s, attemptsPerTarget)
	call := testCall(1, waitingRead(50))
	require.Empty(t, s.Arrive(start, call))
	require.Empty(t, s.Expire(start.Add(49*time.Millisecond)))
	end := requireOnly(t, s.Expire(start.Add(50*time.Millisecond)), Refuse)
	require.Equal(t, ReasonOverload, end.Reason)
}

func TestCallThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	s := testScheduler(t, testService(1))
	busy := fillTargets(t, s, attemptsPerTarget)
	s.FinishAttempt(start.Add(20*time.Millisecond), busy[0], Result{Kind: Answered})
	require.Equal(t, 20*time.Millisecond, s.serviceTime.mean)
	now := start.Add(20 * time.Millisecond)
	waiting := 0
	for id := range uint64(100) {
		call := testCall(id, waitingRead(50))
		call.Deadline = now.Add(100 * time.Millisecond)
		actions := s.Arrive(now, call)
		if len(actions) == 0 {
			waiting++
			continue
		}
		if actions[0].Kind == Refuse {
			require.Equal(t, ReasonOverload, actions[0].Reason)
		}
	}
	// Calls may be queued for 50 ms, and one starts every 20 ms / attemptsPerTarget.
	const startedInTime = 50 / (20 / attemptsPerTarget)
	require.InDelta(t, startedInTime, waiting, 2)
}

func TestEarliestDeadlineIsServedFirst(t *testing.T) {
	s := testScheduler(t, testService(1))
	busy := fillTargets(t, s, attemptsPerTarget)
	relaxed := testCall(1, waitingRead(50))
	urgent := testCall(2, waitingRead(50))
	urgent.Deadline = relaxed.Deadline.Add(-10 * time.Millisecond)
	require.Empty(t, s.Arrive(start, relaxed))
	require.Empty(t, s.Arrive(start, urgent))
	actions := s.FinishAttempt(start, busy[0], Result{Kind: Answered})
	require.Same(t, urgent, actions[1].Call)
}

func TestCallersAreServedRoundRobin(t *testing.T) {
	s := testScheduler(t, testService(1))
	busy := fillTargets(t, s, attemptsPerTarget)
	for id := range uint64(40) {
		call := testCall(id, waitingRead(50))
		call.Caller = "heavy"
		require.Empty(t, s.Arrive(start, call))
	}
	for id := range uint64(2) {
		call := testCall(100+id, waitingRead(50))
		call.Caller = "light"
		require.Empty(t, s.Arrive(start, call))
	}
	served := map[string]int{}
	for range 4 {
		actions := s.FinishAttempt(start, busy[0], Result{Kind: Answered})
		started := actions[len(actions)-1]
		require.Equal(t, Start, started.Kind)
		served[started.Call.Caller]++
		busy = append(busy[1:], started.Attempt)
	}
	require.Equal(t, map[string]int{"heavy": 2, "light": 2}, served)
}

func TestQueuedCallsAreRefusedIfAllTargetsAreLeaving(t *testing.T) {
	s := testScheduler(t, testService(1))
	fillTargets(t, s, attemptsPerTarget)
	require.Empty(t, s.Arrive(start, testCall(1, waitingRead(50))))
	s.SetLeaving("target-0", true)
	require.Equal(t, ReasonNoTarget, requireOnly(t, s.Expire(start), Refuse).Reason)
}

func TestQueuedCallOfDisconnectedCallerIsNotRun(t *testing.T) {
	s := testScheduler(t, testService(1))
	busy := fillTargets(t, s, attemptsPerTarget)
	requestType := bookingType()
	requestType.QueueMs = 50
	call := testCall(1, requestType)
	require.Empty(t, s.Arrive(start, call))
	requireOnly(t, s.Abandon(start, call), Refuse)
	require.Equal(t, []ActionKind{Reply}, kinds(s.FinishAttempt(start, busy[0], Result{Kind: Answered})))
}

// The load reports show many requests of other daemons, so a queued call starts only
// once this daemon has no other attempt at the target.
func TestRemoteAttemptsReduceFreeSlots(t *testing.T) {
	s := testScheduler(t, testService(1))
	busy := fillTargets(t, s, attemptsPerTarget)
	waiting := testCall(1, waitingRead(50))
	require.Empty(t, s.Arrive(start, waiting))
	for i, attempt := range busy[:3] {
		full := Result{Kind: Answered, Load: balancer.LoadReport{Known: true, InFlight: 20}}
		require.Equal(t, []ActionKind{Reply}, kinds(s.FinishAttempt(start, attempt, full)), "answer %d", i)
	}
	require.Equal(t, []ActionKind{Reply, Start}, kinds(s.FinishAttempt(start, busy[3], Result{Kind: Answered, Load: balancer.LoadReport{Known: true, InFlight: 20}})))
}

// ejectSlowTarget records slow responses of m and fast ones of its peers until m is
// ejected as slow.
func ejectSlowTarget(t *testing.T, s *Scheduler, m *member, fast, slow time.Duration) {
	t.Helper()
	s.serviceTime.mean = fast
	for range 20 {
		for _, peer := range s.targets.members {
			took := fast
			if peer == m {
				took = slow
			}
			m.group.activeHealth().RecordSuccess(start, &peer.health, took)
		}
	}
	require.True(t, m.health.OnlySlow(start))
}

// Calls are queued until the last of them would wait as long as the slow target takes
// to respond. Then one call goes to the slow target.
func TestSlowTargetGetsCallIfQueueWaitIsLonger(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, 45 * time.Millisecond
	s := testScheduler(t, testService(2))
	straggler := s.targets.members[0]
	ejectSlowTarget(t, s, straggler, fast, slow)
	fillTargets(t, s, attemptsPerTarget)
	require.Zero(t, straggler.InFlight)
	waiting := 0
	for id := uint64(1); straggler.InFlight == 0; id++ {
		call := testCall(id, waitingRead(200))
		call.Deadline = start.Add(250 * time.Millisecond)
		s.Arrive(start, call)
		waiting++
		require.Less(t, waiting, 100, "slow target still has no attempt although calls are queued")
	}
	perCall := fast / (2 * attemptsPerTarget)
	require.InDelta(t, float64(slow/perCall), waiting, 1, "the last queued call would wait as long as the slow target takes to respond")
	require.Equal(t, maxAttemptsAtSlow, straggler.InFlight)
}

func TestSlowTargetGetsNoCallThatWouldMissItsDeadline(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, 60 * time.Millisecond
	s := testScheduler(t, testService(2))
	straggler := s.targets.members[0]
	ejectSlowTarget(t, s, straggler, fast, slow)
	fillTargets(t, s, attemptsPerTarget)
	for id := range uint64(40) {
		call := testCall(id, waitingRead(50))
		call.Deadline = start.Add(slow)
		s.Arrive(start, call)
	}
	require.Zero(t, straggler.InFlight)
}

func TestFailingTargetGetsNoQueuedCalls(t *testing.T) {
	s := testScheduler(t, testService(3))
	failing := s.targets.members[0]
	s.serviceTime.mean = 10 * time.Millisecond
	for range 5 {
		failing.group.activeHealth().RecordFailure(start, &failing.health, outlier.ServerError, time.Millisecond)
	}
	now := start.Add(100 * time.Millisecond)
	require.True(t, failing.health.Ejected(now))
	for id := range uint64(100) {
		call := testCall(id, waitingRead(200))
		call.Deadline = now.Add(250 * time.Millisecond)
		s.Arrive(now, call)
	}
	require.Zero(t, failing.InFlight)
	require.Positive(t, s.Queued())
}
