package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// evacuate sets the evacuated zones of all daemons.
func (f *fleet) evacuate(zones ...string) {
	for _, d := range f.daemons {
		d.perform(d.pool.SetEvacuated(f.now, zones))
	}
}

// arrivedAfter returns the number of requests that arrived at the targets of a zone after a time.
func (f *fleet) arrivedAfter(zone string, at time.Time) int {
	count := 0
	for _, target := range f.targets {
		for _, arrived := range target.arrivals {
			if target.info.Zone == zone && arrived.After(at) {
				count++
			}
		}
	}
	return count
}

// Guards against a retry of a request that goes to a target of an evacuated zone, and against an
// attempt that is given up because the zone of its target is evacuated.
func TestAttemptsGoOnButRetriesLeaveTheEvacuatedZone(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"), targetInfo("b1", "b"))
	first := h.arriveAndSend(h.request(true), normalReport(0))
	second := h.arriveAndSend(h.request(true), normalReport(0))
	require.Equal(t, "a", first.Target.Zone)
	require.Empty(t, actionsOf(h.pool.SetEvacuated(h.now, []string{"a"}), Cancel))
	done := h.pool.AttemptFinished(h.now, first, Result{Outcome: Answered, Answer: "answer"})
	require.Equal(t, "answer", h.singleAction(done, Deliver).Answer)
	retry := h.runUntilSent(h.pool.AttemptFinished(h.now, second, Result{Outcome: Lost}), normalReport(0))
	require.Equal(t, "b1", retry.Target.ID)
}

// Guards against a hedge to a target of an evacuated zone.
func TestHedgesLeaveTheEvacuatedZone(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"), targetInfo("a3", "a"))
	h.arriveAndSend(h.request(true), normalReport(0))
	h.pool.SetEvacuated(h.now, []string{"a"})
	for range 20 {
		h.now = h.now.Add(checkInterval)
		actions := h.pool.Tick(h.now)
		require.Empty(t, actionsOf(actions, Send))
		for _, probe := range actionsOf(actions, Probe) {
			require.Empty(t, actionsOf(h.pool.ProbeAnswered(h.now, probe.Target, slowReport(1), true), Send))
		}
	}
}

// Guards against requests that wait for their deadline while no zone may get any.
func TestRequestsAreRefusedAtOnceWhileAllZonesAreEvacuated(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("b1", "b"))
	waiting := h.request(true)
	h.pool.Submit(h.now, waiting)
	refused := h.singleAction(h.pool.SetEvacuated(h.now, []string{"a", "b"}), Refuse)
	require.Equal(t, ReasonEvacuated, refused.Reason)
	require.Equal(t, ReasonEvacuated, h.singleAction(h.pool.Submit(h.now, h.request(true)), Refuse).Reason)
	h.pool.UpdateTargets(h.now, []TargetInfo{targetInfo("a2", "a"), targetInfo("b2", "b")})
	require.Equal(t, ReasonEvacuated, h.singleAction(h.pool.Submit(h.now, h.request(true)), Refuse).Reason, "targets that join are evacuated, too")
	h.pool.SetEvacuated(h.now, nil)
	h.arriveAndSend(h.request(true), normalReport(0))
}

// Guards against a leaving target of another zone that isn't used although the zone of all others is
// evacuated.
func TestLeavingTargetIsALastResortDuringAnEvacuation(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("b1", "b"))
	h.pool.RecordAnnouncement(h.now, h.pool.targets["b1"], Announcement{Leaving: true})
	h.pool.SetEvacuated(h.now, []string{"a"})
	require.Equal(t, "b1", h.arriveAndSend(h.request(true), normalReport(0)).Target.ID)
}

// Guards against permits that are wasted on targets of evacuated zones.
func TestEvacuatedTargetsHaveNoPermits(t *testing.T) {
	h := newNonReportingHarness(t, targetInfo("a1", "a"), targetInfo("b1", "b"))
	h.pool.SetEvacuated(h.now, []string{"a"})
	require.Zero(t, h.pool.targets["a1"].permits)
	require.Equal(t, "b1", h.singleAction(h.pool.Submit(h.now, h.request(true)), Send).Attempt.Target.ID)
}

// Guards against losses when one of three zones is evacuated while the others can take its load, and
// against requests that are served late instead of refused when they can't.
func TestEvacuationOfOneOfThreeZonesUnderLoad(t *testing.T) {
	const capacity = 360 // 18 targets with 2 requests of 100 ms each below saturation
	for _, test := range []struct {
		load                  float64
		minServed, maxRefused float64
	}{{0.6, 0.99, 0.01}, {0.9, 0.75, 0.25}} {
		f := newFleet(t, 5, []string{"a", "b", "c"}, 2, 6)
		f.load(test.load*capacity, 8*time.Second, f.anyDaemon)
		f.run(2 * time.Second)
		f.evacuate("b")
		evacuatedAt := f.now
		f.run(8 * time.Second)
		require.Zero(t, f.arrivedAfter("b", evacuatedAt.Add(fleetLatency)))
		total := float64(f.served + f.refused + f.unknown)
		t.Logf("load %.1f: served %.3f late %.3f refused %.3f %v after at most %s unknown %d", test.load,
			float64(f.served)/total, float64(f.late)/total, float64(f.refused)/total, f.reasons, f.refusedAfter, f.unknown)
		require.GreaterOrEqual(t, float64(f.served-f.late)/total, test.minServed)
		require.LessOrEqual(t, float64(f.refused)/total, test.maxRefused)
		require.LessOrEqual(t, float64(f.late)/total, 0.01)
		require.LessOrEqual(t, f.refusedAfter, objective)
		require.Zero(t, f.unknown)
	}
}

// Guards against a stampede to the targets of a zone whose evacuation ends: they have become cold,
// and no health check has shown it.
func TestZoneComesBackFromItsEvacuationWithoutAStampede(t *testing.T) {
	f := newFleet(t, 6, []string{"a", "b", "c"}, 2, 6)
	f.load(210, 12*time.Second, f.anyDaemon)
	f.run(time.Second)
	f.evacuate("b")
	f.run(4 * time.Second)
	for _, target := range f.targets {
		if target.info.Zone == "b" {
			f.chill(target, false)
		}
	}
	back := f.now
	f.evacuate()
	f.run(8 * time.Second)
	f.requireColdLimit()
	require.Positive(t, f.arrivedAfter("b", back.Add(coldTime+coldRamp)))
	total := float64(f.served + f.refused + f.unknown)
	require.LessOrEqual(t, float64(f.refused+f.late)/total, 0.01)
}

// Guards against a jump of the load of targets that are back, where no cold rate is set.
func TestLoadRisesGraduallyAfterAnEvacuation(t *testing.T) {
	info := targetInfo("a1", "a")
	info.Slots = 40
	h := newHarness(t, info)
	h.pool.SetEvacuated(h.now, []string{"a"})
	h.pool.SetEvacuated(h.now, nil)
	target := h.pool.targets["a1"]
	require.Equal(t, 1, target.requestLimit(h.now))
	require.Equal(t, target.concurrencyLimit()/2, target.requestLimit(h.now.Add(coldRamp/2)))
	require.Equal(t, target.concurrencyLimit(), target.requestLimit(h.now.Add(coldRamp)))
}

// Checks for random fleets that evacuated zones get nothing and cold targets stay within their rate,
// while evacuations begin and end, also one after the other at each daemon, and targets restart.
func TestRandomEvacuations(t *testing.T) {
	zones := []string{"a", "b", "c"}
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(rt, "seed"), zones, 1, 2)
		f.load(rapid.Float64Range(20, 200).Draw(rt, "load"), 4*time.Second, f.anyDaemon)
		for range 8 {
			evacuated := rapid.SliceOfNDistinct(rapid.SampledFrom(zones), 0, 3, rapid.ID[string]).Draw(rt, "zones")
			f.evacuate(evacuated...)
			began := f.now
			if rapid.Bool().Draw(rt, "chill") {
				f.chill(f.targets[f.rng.IntN(len(f.targets))], rapid.Bool().Draw(rt, "listed"))
			}
			f.run(time.Duration(rapid.IntRange(5, 800).Draw(rt, "ms")) * time.Millisecond)
			for _, zone := range evacuated {
				require.Zero(rt, f.arrivedAfter(zone, began.Add(fleetLatency)))
			}
		}
		f.run(2 * time.Second)
		f.requireColdLimit()
	})
}

// Guards against requests to a target that has become cold during the evacuation and that no health
// check has reached since.
func TestTargetOfAFormerlyEvacuatedZoneCountsAsColdUntilAHealthCheck(t *testing.T) {
	h := coldHarness(t, 0, targetInfo("a1", "a"))
	h.pool.SetEvacuated(h.now, []string{"a"})
	h.pool.SetEvacuated(h.now, []string{"b"})
	actions := h.pool.Submit(h.now, h.request(true))
	require.Empty(t, actionsOf(actions, Send))
	require.Equal(t, "a1", h.singleAction(actions, Probe).Target.ID, "the request waits for a health check")
	h.pool.RecordColdTime(h.now, h.pool.targets["a1"], 0, false)
	require.False(t, h.isCold("a1"), "the check doesn't say that the target is cold")
	h.singleAction(h.pool.ProbeAnswered(h.now, h.pool.targets["a1"], normalReport(0), true), Send)
	h.pool.SetEvacuated(h.now, []string{"a"})
	h.pool.SetEvacuated(h.now, nil)
	h.pool.RecordColdTime(h.now, h.pool.targets["a1"], time.Second, true)
	h.now = h.now.Add(time.Second - time.Millisecond)
	require.True(t, h.isCold("a1"))
}
