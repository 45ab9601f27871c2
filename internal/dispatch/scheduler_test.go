package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/config"
)

var start = time.Unix(1_700_000_000, 0)

// testService returns a service with the given number of targets of 3 slots each.
func testService(targets int) *config.Service {
	group := config.TargetGroup{Name: "main", Slots: 3, MaxConnections: 200}
	for i := range targets {
		group.Targets = append(group.Targets, config.Target{
			Name:    fmt.Sprintf("target-%d", i),
			Address: fmt.Sprintf("127.0.0.%d:80", i+1),
			Zone:    "a",
		})
	}
	return &config.Service{
		Name:         "stock",
		EntrySetSize: 1,
		EntryVMLimit: 1,
		Policy:       config.PolicyLeast,
		RetryShare:   0.1,
		HedgeShare:   1,
		Groups:       []config.TargetGroup{group},
	}
}

func testScheduler(t *testing.T, service *config.Service) *Scheduler {
	t.Helper()
	s := NewScheduler(rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, s.Configure(service))
	return s
}

// readType returns an idempotent request type.
func readType() *config.RequestType {
	return &config.RequestType{Name: "read", DeadlineMs: 100, Idempotent: true, MaxAttempts: 3}
}

// bookingType returns a non-idempotent request type.
func bookingType() *config.RequestType {
	return &config.RequestType{Name: "book", DeadlineMs: 100, MaxAttempts: 3}
}

func testCall(id uint64, requestType *config.RequestType) *Call {
	return &Call{ID: id, Type: requestType, Deadline: start.Add(requestType.Deadline()), Attempts: requestType.MaxAttempts}
}

// kinds returns the kinds of the actions. It copies them, since the actions are only
// valid until the next event.
func kinds(actions []Action) []ActionKind {
	var kinds []ActionKind
	for _, action := range actions {
		kinds = append(kinds, action.Kind)
	}
	return kinds
}

// requireOnly requires a single action of the given kind and returns it.
func requireOnly(t *testing.T, actions []Action, kind ActionKind) Action {
	t.Helper()
	require.Equal(t, []ActionKind{kind}, kinds(actions))
	return actions[0]
}

func TestCallAbandonedBeforeArrivalIsNotAttempted(t *testing.T) {
	s := testScheduler(t, testService(3))
	call := testCall(1, readType())
	require.Len(t, s.Abandon(start, call), 1)
	require.Empty(t, s.Arrive(start, call))
	require.Zero(t, s.NextWake())
}

// The first attempt may have run, so the caller must not be told that the request was
// not run, although the second attempt was not.
func TestFailedThenNotRunIsNotReportedAsNotRun(t *testing.T) {
	s := testScheduler(t, testService(2))
	call := testCall(1, readType())
	first := requireOnly(t, s.Arrive(start, call), Start).Attempt
	second := requireOnly(t, s.FinishAttempt(start, first, Result{Kind: Answered, ServerError: true, Answer: "failed"}), Start).Attempt
	end := requireOnly(t, s.FinishAttempt(start, second, Result{Kind: NotRun}), Reply)
	require.Equal(t, "failed", end.Answer)
}

func TestHedgeNotRunAfterFailureRelaysFailure(t *testing.T) {
	s := testScheduler(t, testService(2))
	requestType := readType()
	requestType.HedgeAfterMs = 10
	call := testCall(1, requestType)
	first := requireOnly(t, s.Arrive(start, call), Start).Attempt
	now := start.Add(10 * time.Millisecond)
	hedge := requireOnly(t, s.Expire(now), Start).Attempt
	require.True(t, hedge.Hedge)
	require.Empty(t, s.FinishAttempt(now, first, Result{Kind: Answered, ServerError: true, Answer: "failed"}))
	require.Equal(t, "failed", requireOnly(t, s.FinishAttempt(now, hedge, Result{Kind: NotRun}), Reply).Answer)
}

func TestOriginalAttemptIsCanceledIfHedgeSucceeds(t *testing.T) {
	s := testScheduler(t, testService(2))
	requestType := readType()
	requestType.HedgeAfterMs = 10
	call := testCall(1, requestType)
	first := requireOnly(t, s.Arrive(start, call), Start).Attempt
	now := start.Add(10 * time.Millisecond)
	hedge := requireOnly(t, s.Expire(now), Start).Attempt
	actions := s.FinishAttempt(now, hedge, Result{Kind: Answered, Answer: "fast"})
	require.Equal(t, []ActionKind{Cancel, Reply}, kinds(actions))
	require.Same(t, first, actions[0].Attempt)
	require.Equal(t, []ActionKind{LateResponse}, kinds(s.FinishAttempt(now, first, Result{Kind: Answered, Answer: "slow"})))
}

// The request may have crashed its target. The driver calls StopHedging while it
// informs other daemons, and the request must not go to another target meanwhile.
func TestCallIsNotHedgedAfterStopHedging(t *testing.T) {
	s := testScheduler(t, testService(3))
	requestType := readType()
	requestType.HedgeAfterMs = 10
	call := testCall(1, requestType)
	died := requireOnly(t, s.Arrive(start, call), Start).Attempt
	require.Empty(t, s.StopHedging(start, call))
	require.Empty(t, s.Expire(start.Add(20*time.Millisecond)))
	requireOnly(t, s.FinishAttempt(start.Add(30*time.Millisecond), died, Result{Kind: Lost, NoRetry: true}), ReplyUnknown)
}

func TestLostNonIdempotentAttemptIsNotRetried(t *testing.T) {
	s := testScheduler(t, testService(3))
	call := testCall(1, bookingType())
	attempt := requireOnly(t, s.Arrive(start, call), Start).Attempt
	requireOnly(t, s.FinishAttempt(start, attempt, Result{Kind: Lost}), ReplyUnknown)
}

func TestNonIdempotentAttemptNotRunIsRetried(t *testing.T) {
	s := testScheduler(t, testService(3))
	call := testCall(1, bookingType())
	attempt := requireOnly(t, s.Arrive(start, call), Start).Attempt
	attempt = requireOnly(t, s.FinishAttempt(start, attempt, Result{Kind: NotRun}), Start).Attempt
	attempt = requireOnly(t, s.FinishAttempt(start, attempt, Result{Kind: NotRun}), Start).Attempt
	requireOnly(t, s.FinishAttempt(start, attempt, Result{Kind: NotRun}), Refuse)
}

func TestRetryWithoutTargetSpendsNoBudget(t *testing.T) {
	s := testScheduler(t, testService(1))
	for id := range uint64(20) {
		call := testCall(id, readType())
		attempt := requireOnly(t, s.Arrive(start, call), Start).Attempt
		requireOnly(t, s.FinishAttempt(start, attempt, Result{Kind: NotRun}), Refuse)
	}
	require.Zero(t, s.retries.spent)
	require.InDelta(t, maxCredit, s.retries.credit, 0.01)
}

func TestRetriesStayWithinTheirShare(t *testing.T) {
	s := testScheduler(t, testService(3))
	starts := 0
	const calls = 1000
	for id := range uint64(calls) {
		actions := s.Arrive(start, testCall(id, readType()))
		for len(actions) == 1 && actions[0].Kind == Start {
			starts++
			actions = s.FinishAttempt(start, actions[0].Attempt, Result{Kind: Answered, ServerError: true, Answer: "failed"})
		}
	}
	require.LessOrEqual(t, starts, calls+calls/10+int(maxCredit))
	require.Greater(t, starts, calls+calls/20)
}

func TestTargetAddedAgainKeepsItsAttempts(t *testing.T) {
	s := testScheduler(t, testService(1))
	call := testCall(1, readType())
	attempt := requireOnly(t, s.Arrive(start, call), Start).Attempt
	other := testService(1)
	other.Groups[0].Targets[0] = config.Target{Name: "other", Address: "127.0.0.9:80", Zone: "a"}
	require.NoError(t, s.Configure(other))
	require.NoError(t, s.Configure(testService(1)))
	require.Equal(t, 1, s.Targets()[0].InFlight)
	requireOnly(t, s.FinishAttempt(start, attempt, Result{Kind: Answered}), Reply)
	require.Zero(t, s.Targets()[0].InFlight)
}

// Of 5 attempts, 4 are extra. The first attempt delegates 2 of them and reports 1 as
// used. Each retry takes 1 itself and delegates half of the rest: the second attempt
// 1, the third none. All 4 then count as used.
func TestAllowanceIsNotSpentTwice(t *testing.T) {
	s := testScheduler(t, testService(5))
	requestType := readType()
	requestType.MaxAttempts = 5
	call := testCall(1, requestType)
	first := requireOnly(t, s.Arrive(start, call), Start).Attempt
	require.Equal(t, 3, first.DownstreamAttempts())
	failed := Result{Kind: Answered, ServerError: true, DownstreamSpentKnown: true, DownstreamSpent: 1, Answer: "failed"}
	second := requireOnly(t, s.FinishAttempt(start, first, failed), Start).Attempt
	require.Equal(t, 2, second.DownstreamAttempts())
	third := requireOnly(t, s.FinishAttempt(start, second, Result{Kind: Lost}), Start).Attempt
	require.Equal(t, 1, third.DownstreamAttempts())
	end := requireOnly(t, s.FinishAttempt(start, third, Result{Kind: Lost}), Reply)
	require.Equal(t, 4, end.Spent)
}

func TestHedgesStayWithinTheirShare(t *testing.T) {
	service := testService(3)
	service.HedgeShare = 0.05
	s := testScheduler(t, service)
	requestType := readType()
	requestType.HedgeAfterMs = 10
	hedges := 0
	const calls = 1000
	for id := range uint64(calls) {
		attempt := requireOnly(t, s.Arrive(start, testCall(id, requestType)), Start).Attempt
		for _, action := range s.Expire(start.Add(10 * time.Millisecond)) {
			hedges++
			s.FinishAttempt(start, action.Attempt, Result{Kind: Lost})
		}
		s.FinishAttempt(start, attempt, Result{Kind: Answered, Answer: "good"})
	}
	require.InDelta(t, calls*service.HedgeShare, hedges, 1)
}
