package placement

import (
	"testing"
	"time"

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

// Guards against a daemon that starts, finds entries which have said for hours that their targets are
// cold, and refuses all requests.
func TestStartingDaemonChecksTargetsWithOldEntries(t *testing.T) {
	for _, limitFirst := range []bool{true, false} {
		pool := newHarness(t).pool
		pool.cold.listed = false
		h := &harness{t: t, pool: pool, now: start}
		if limitFirst {
			h.setShare(0)
		}
		h.pool.UpdateTargets(h.now, []TargetInfo{coldInfo("a1", "a")})
		h.setShare(0)
		require.True(t, h.isCold("a1"))
		probe := h.singleAction(h.pool.Submit(h.now, h.request(true)), Probe)
		h.pool.RecordColdTime(h.now, probe.Target, 0, false)
		h.singleAction(h.pool.ProbeAnswered(h.now, probe.Target, normalReport(0), true), Send)
		require.Equal(t, probe.Target.concurrencyLimit(), probe.Target.requestLimit(h.now))

		h.pool.UpdateTargets(h.now, []TargetInfo{coldInfo("a1", "a"), coldInfo("a2", "a")})
		require.False(t, h.isCold("a1"))
		require.True(t, h.isCold("a2"))
		h.now = h.now.Add(time.Millisecond)
		h.pool.RecordColdTime(h.now, h.pool.targets["a2"], 0, false)
		require.True(t, h.isCold("a2"), "a target that joins is listed when it starts")
	}
}

// Guards against a limit that takes effect while the daemon runs and takes targets for cold that
// started long ago.
func TestNewLimitDoesNotChillTargets(t *testing.T) {
	h := newHarness(t, coldInfo("a1", "a"))
	h.now = h.now.Add(time.Hour)
	h.setShare(1)
	h.pool.UpdateTargets(h.now, []TargetInfo{coldInfo("a1", "a")})
	require.False(t, h.isCold("a1"))
}

// Guards against a target that becomes cold again while it is cold, and whose later end is missed.
func TestHealthCheckExtendsTheColdTime(t *testing.T) {
	h := coldHarness(t, 1, coldInfo("a1", "a"))
	target := h.pool.targets["a1"]
	// The first check was sent before the entry was read, the second one after it.
	for i, took := range []time.Duration{100 * time.Millisecond, 20 * time.Millisecond} {
		target.probing, target.probedAt = i > 0, h.now
		h.now = h.now.Add(took)
		h.pool.RecordColdTime(h.now, target, coldTime, true)
		h.now = h.now.Add(coldTime - 50*time.Millisecond)
		require.True(t, h.isCold("a1"), "check %d", i)
		target.probing = false
	}
	target.probing, target.probedAt = true, h.now
	h.pool.RecordColdTime(h.now, target, time.Millisecond, true)
	h.now = h.now.Add(time.Millisecond)
	require.False(t, h.isCold("a1"), "the target's own word is the later one")
}

// Guards against a target that becomes cold unnoticed, because its responses show its load, so that it
// needs no health checks, or because the probes are used up.
func TestBusyTargetIsCheckedForCold(t *testing.T) {
	h := coldHarness(t, 1, targetInfo("a1", "a"))
	h.pool.SetProbeRate(h.now, 3)
	sent, checks := 0, 0
	a := h.arriveAndSend(h.request(true), normalReport(0))
	for range 1000 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.setShare(1)
		h.pool.AttemptFinished(h.now, a, Result{Outcome: Answered, Report: normalReport(0)})
		for _, action := range append([]Action(nil), h.pool.Submit(h.now, h.request(true))...) {
			switch action.Kind {
			case Probe:
				checks++
				h.pool.ProbeAnswered(h.now, action.Target, normalReport(1), true)
			case Send:
				sent++
				a = action.Attempt
			}
		}
	}
	require.Equal(t, 1000, sent)
	require.GreaterOrEqual(t, checks, 25)
	require.LessOrEqual(t, checks, 50)
}
