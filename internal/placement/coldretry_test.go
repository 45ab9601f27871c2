package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a retry that exceeds the rate of the last cold target, and that is charged to the
// retry budget although it can't be sent.
func TestRetryThatOnlyAColdTargetCouldTakeIsRefused(t *testing.T) {
	h := coldHarness(t, 0, targetInfo("a1", "a"), coldInfo("a2", "a"))
	a := h.arriveAndSend(h.request(true), normalReport(0))
	require.Equal(t, "a1", a.Target.ID)
	refused := h.singleAction(h.pool.AttemptFinished(h.now, a, Result{Outcome: NotRun, Report: normalReport(0)}), Refuse)
	require.Equal(t, ReasonCold, refused.Reason)
	require.Zero(t, h.pool.budget.spent)
}

// Guards against hedges that use up the retry budget although only cold targets are left, which are
// too slow for them.
func TestHedgeIsNotChargedWhileOnlyColdTargetsAreLeft(t *testing.T) {
	h := coldHarness(t, 1, targetInfo("a1", "a"), coldInfo("a2", "a"))
	a := h.arriveAndSend(h.request(true), normalReport(0))
	require.Equal(t, "a1", a.Target.ID)
	for range 10 {
		h.now = h.now.Add(checkInterval)
		h.setShare(1)
		for _, probe := range actionsOf(h.pool.Tick(h.now), Probe) {
			require.Empty(t, actionsOf(h.pool.ProbeAnswered(h.now, probe.Target, slowReport(1), true), Send))
		}
	}
	require.Zero(t, h.pool.budget.spent)
}
