package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/hedging"
)

// overdueAfter is when an attempt of newLimitedHarness is overdue.
const overdueAfter = serviceTime + 10*time.Millisecond

// newLimitedHarness returns a harness with limited hedges and two targets. One response in 20
// takes seven times as long as the others.
func newLimitedHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	h.pool.SetHedgeRatio(1)
	for range 200 {
		h.pool.hedger.Limit.RecordRequest()
	}
	for range 190 {
		h.pool.hedger.Times.Record(h.now, serviceTime, serviceTime)
	}
	for range 10 {
		h.pool.hedger.Times.Record(h.now, 7*serviceTime, serviceTime)
	}
	return h
}

// sendOverdue sends a request and advances the time until it is overdue.
func (h *harness) sendOverdue(r *Request) (*Attempt, []Action) {
	h.t.Helper()
	first := h.arriveAndSend(r, normalReport(0))
	h.now = h.now.Add(overdueAfter)
	return first, h.pool.Tick(h.now)
}

// requireNoHedge answers probes for a while and fails if a request is sent.
func (h *harness) requireNoHedge(actions []Action, report *Report) {
	h.t.Helper()
	for range 10 {
		require.Empty(h.t, actionsOf(actions, Send))
		for _, probe := range append([]Action(nil), actionsOf(actions, Probe)...) {
			require.Empty(h.t, actionsOf(h.pool.ProbeAnswered(h.now, probe.Target, report, true), Send))
		}
		h.now = h.now.Add(freeProbeInterval)
		actions = h.pool.Tick(h.now)
	}
	require.Zero(h.t, h.pool.Queued(), "a hedge that is not sent must leave the queue")
}

func (h *harness) suppressed() map[hedging.Reason]uint64 { return h.pool.HedgeCounts().Suppressed }

func TestOverdueAttemptIsHedgedAndLoserCanceled(t *testing.T) {
	h := newLimitedHarness(t)
	first, actions := h.sendOverdue(h.request(true))
	hedge := h.runUntilSent(actions, normalReport(0))
	require.NotSame(t, first.Target, hedge.Target)
	h.now = h.now.Add(serviceTime)
	actions = h.pool.AttemptFinished(h.now, hedge, Result{Outcome: Answered, Answer: "answer", Report: normalReport(0)})
	h.singleAction(actions, Deliver)
	require.Same(t, first, h.singleAction(actions, Cancel).Attempt)
	require.Equal(t, uint64(1), h.pool.HedgeCounts().Sent)
	require.Equal(t, uint64(1), h.pool.HedgeCounts().Won)
}

func TestFirstAttemptThatWinsCancelsHedge(t *testing.T) {
	h := newLimitedHarness(t)
	first, actions := h.sendOverdue(h.request(true))
	hedge := h.runUntilSent(actions, normalReport(0))
	actions = h.pool.AttemptFinished(h.now, first, Result{Outcome: Answered, Report: normalReport(0)})
	require.Same(t, hedge, h.singleAction(actions, Cancel).Attempt)
	require.Zero(t, h.pool.HedgeCounts().Won)
}

func TestOverdueAttemptIsNotHedgedWithoutLimit(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	_, actions := h.sendOverdue(h.request(true))
	h.requireNoHedge(actions, normalReport(0))
	require.Nil(t, h.pool.HedgeCounts())
}

func TestRequestsThatMustNotRunTwiceAreNotHedged(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"not idempotent":    func(r *Request) { r.Idempotent = false },
		"suspected":         func(r *Request) { r.Suspected = true },
		"attempts used":     func(r *Request) { r.MaxAttempts = 1 },
		"deadline is close": func(r *Request) { r.Deadline = r.arrived.Add(overdueAfter + serviceTime/2) },
	} {
		h := newLimitedHarness(t)
		r := h.request(true)
		first := h.arriveAndSend(r, normalReport(0))
		change(r)
		h.now = first.sentAt.Add(overdueAfter)
		h.requireNoHedge(h.pool.Tick(h.now), normalReport(0))
		require.Zero(t, h.pool.HedgeCounts().Sent, name)
	}
}

func TestSpentRetryBudgetPreventsHedges(t *testing.T) {
	h := newLimitedHarness(t)
	for h.pool.budget.Take(h.now) {
		continue
	}
	_, actions := h.sendOverdue(h.request(true))
	h.requireNoHedge(actions, normalReport(0))
	require.Equal(t, uint64(1), h.suppressed()[hedging.ReasonRetryBudget])
}

// A hedge must leave a part of the budget for retries, without which requests fail.
func TestHedgesLeaveRetryBudgetForRetries(t *testing.T) {
	h := newLimitedHarness(t)
	for h.pool.budget.Allows(h.now, hedgeBudgetShare) {
		require.True(t, h.pool.budget.Take(h.now))
	}
	first, actions := h.sendOverdue(h.request(true))
	h.requireNoHedge(actions, normalReport(0))
	h.runUntilSent(h.pool.AttemptFinished(h.now, first, Result{Outcome: Lost}), normalReport(0))
}

func TestSpentLimitPreventsHedges(t *testing.T) {
	h := newLimitedHarness(t)
	h.pool.hedger.Limit = hedging.NewLimit(0.1)
	_, actions := h.sendOverdue(h.request(true))
	h.requireNoHedge(actions, normalReport(0))
	require.Equal(t, uint64(1), h.suppressed()[hedging.ReasonLimit])
}

func TestRequestIsNotHedgedIfAllTargetsAreSlow(t *testing.T) {
	h := newLimitedHarness(t)
	_, actions := h.sendOverdue(h.request(true))
	h.requireNoHedge(actions, slowReport(0))
	require.NotZero(t, h.suppressed()[hedging.ReasonNoTarget])
}

func TestRequestIsNotHedgedAtTargetWithMoreLoad(t *testing.T) {
	h := newLimitedHarness(t)
	_, actions := h.sendOverdue(h.request(true))
	h.requireNoHedge(actions, normalReport(1))
	require.NotZero(t, h.suppressed()[hedging.ReasonNoTarget])
}

func TestRequestIsNotHedgedWhileOthersWaitForRoom(t *testing.T) {
	h := newLimitedHarness(t)
	first := h.arriveAndSend(h.request(true), normalReport(0))
	h.now = first.sentAt.Add(overdueAfter - 2*fastTargetWait)
	h.pool.Submit(h.now, h.request(true))
	h.now = first.sentAt.Add(overdueAfter)
	require.Empty(t, actionsOf(h.pool.Tick(h.now), Send))
	require.Equal(t, uint64(1), h.suppressed()[hedging.ReasonNoRoom])
}

// The request must neither fail nor be sent a third time: its first attempt still runs.
func TestFirstAttemptAnswersAfterHedgeTargetDied(t *testing.T) {
	h := newLimitedHarness(t)
	first, actions := h.sendOverdue(h.request(true))
	hedge := h.runUntilSent(actions, normalReport(0))
	require.Empty(t, actionsOf(h.pool.AttemptFinished(h.now, hedge, Result{Outcome: Lost}), OutcomeUnknown))
	h.requireNoHedge(h.pool.Tick(h.now), normalReport(0))
	actions = h.pool.AttemptFinished(h.now, first, Result{Outcome: Answered, Answer: "answer", Report: normalReport(0)})
	require.Equal(t, "answer", h.singleAction(actions, Deliver).Answer)
}

// A queued hedge has not been charged, so the retry that replaces it must be.
func TestRetryInPlaceOfQueuedHedgeIsCharged(t *testing.T) {
	h := newLimitedHarness(t)
	first, _ := h.sendOverdue(h.request(true))
	require.Equal(t, 1, h.pool.Queued())
	for h.pool.budget.Take(h.now) {
		continue
	}
	actions := h.pool.AttemptFinished(h.now, first, Result{Outcome: Lost})
	require.Equal(t, ReasonRetryBudget, h.singleAction(actions, OutcomeUnknown).Reason)
	require.Zero(t, h.pool.Queued())
}

func TestRequestIsNotHedgedAfterCallerLeft(t *testing.T) {
	for _, queued := range []bool{false, true} {
		h := newLimitedHarness(t)
		r := h.request(true)
		first := h.arriveAndSend(r, normalReport(0))
		if queued {
			h.now = h.now.Add(overdueAfter)
			h.pool.Tick(h.now)
			require.Equal(t, 1, h.pool.Queued())
		}
		require.Same(t, first, h.singleAction(h.pool.Abandon(h.now, r), Cancel).Attempt)
		h.now = h.now.Add(overdueAfter)
		h.requireNoHedge(h.pool.Tick(h.now), normalReport(0))
	}
}

func TestAttemptAtTargetThatSlowedDownIsHedgedBeforeItIsOverdue(t *testing.T) {
	h := newLimitedHarness(t)
	r := h.request(true)
	r.SoftDeadline = h.now.Add(timeout)
	first := h.arriveAndSend(r, normalReport(0))
	h.now = h.now.Add(checkInterval)
	h.singleAction(h.pool.Tick(h.now), Probe)
	hedge := h.runUntilSent(h.pool.ProbeAnswered(h.now, first.Target, slowReport(1), true), normalReport(0))
	require.NotSame(t, first.Target, hedge.Target)
	require.Less(t, hedge.sentAt.Sub(first.sentAt), serviceTime)
}
