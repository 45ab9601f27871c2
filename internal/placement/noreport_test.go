package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newNonReportingHarness returns a harness whose targets have sent responses without
// load reports.
func newNonReportingHarness(t *testing.T, infos ...Entry) *harness {
	t.Helper()
	h := newHarness(t, infos...)
	h.pool.SetZones([]string{"a", "b"})
	h.pool.Update(h.now, infos)
	actions := h.pool.Arrive(h.now, h.request(true))
	var sent *Attempt
	for _, probe := range append([]Action(nil), actionsOf(actions, Probe)...) {
		for _, action := range actionsOf(h.pool.Probed(h.now, probe.Target, nil, true), Send) {
			sent = action.Attempt
		}
	}
	require.NotNil(t, sent)
	h.pool.Finished(h.now, sent, Result{Outcome: Answered})
	return h
}

func TestNonReportingTargetsAreNotProbed(t *testing.T) {
	h := newNonReportingHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"), targetInfo("b1", "b"), targetInfo("b2", "b"))
	actions := h.pool.Arrive(h.now, h.request(true))
	require.Empty(t, actionsOf(actions, Probe))
	require.Equal(t, "a", h.singleAction(actions, Send).Attempt.Target.Zone)
}

func TestNonReportingTargetsGetOnlyOwnPermits(t *testing.T) {
	h := newNonReportingHarness(t, targetInfo("a1", "a"), targetInfo("b1", "b"))
	for range 5 {
		h.pool.Arrive(h.now, h.request(true))
	}
	for _, target := range h.pool.Targets() {
		require.Equal(t, target.permits, target.ownLoad(), target.ID)
	}
	require.Equal(t, 3, h.pool.Queued())
}

func TestPermitsOfOtherDaemonsAreUsedWhileOwnTargetsAreUnhealthy(t *testing.T) {
	h := newNonReportingHarness(t, targetInfo("a1", "a"), targetInfo("b1", "b"), targetInfo("b2", "b"), targetInfo("b3", "b"))
	for _, target := range h.pool.Targets() {
		if target.Zone == "a" {
			target.health.Check(false)
			target.health.Check(false)
		}
	}
	for range 3 {
		sent := h.singleAction(h.pool.Arrive(h.now, h.request(true)), Send)
		require.Equal(t, "b", sent.Attempt.Target.Zone)
	}
}

func TestSlownessIsEstimatedFromResponseTimes(t *testing.T) {
	h := newNonReportingHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	slowed := h.singleAction(h.pool.Arrive(h.now, h.request(true)), Send).Attempt
	h.now = h.now.Add(4 * serviceTime)
	h.pool.Finished(h.now, slowed, Result{Outcome: Answered})
	next := h.singleAction(h.pool.Arrive(h.now, h.request(true)), Send).Attempt
	require.NotSame(t, slowed.Target, next.Target)
	require.Greater(t, slowed.Target.Slowness(h.now), 3.0)
	require.InDelta(t, 1, slowed.Target.Slowness(h.now.Add(time.Second)), 0.01)
}

func TestOverdueRequestAtNonReportingTargetIsHedged(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newNonReportingHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
		first := h.singleAction(h.pool.Arrive(h.now, h.request(idempotent)), Send).Attempt
		h.now = h.now.Add(time.Duration(overdueFactor*float64(serviceTime)) + time.Millisecond)
		hedges := actionsOf(h.pool.Expire(h.now), Send)
		if !idempotent {
			require.Empty(t, hedges)
			continue
		}
		require.Len(t, hedges, 1)
		require.NotSame(t, first.Target, hedges[0].Attempt.Target)
		actions := h.pool.Finished(h.now.Add(serviceTime), hedges[0].Attempt, Result{Outcome: Answered, Answer: "answer"})
		h.singleAction(actions, Deliver)
		require.Same(t, first, h.singleAction(actions, Cancel).Attempt)
	}
}

func TestProbingResumesWhenTargetReportsLoad(t *testing.T) {
	h := newNonReportingHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	sent := h.singleAction(h.pool.Arrive(h.now, h.request(true)), Send).Attempt
	h.pool.Finished(h.now, sent, Result{Outcome: Answered, Report: normalReport(0)})
	h.now = h.now.Add(time.Second)
	require.NotEmpty(t, actionsOf(h.pool.Arrive(h.now, h.request(true)), Probe))
}
