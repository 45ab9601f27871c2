package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// coldHarness returns a harness with targets whose cold rate is limited; the listed ones are cold.
func coldHarness(t *testing.T, share float64, infos ...TargetInfo) *harness {
	h := newHarness(t)
	h.setShare(share)
	h.pool.UpdateTargets(h.now, infos)
	return h
}

func (h *harness) setShare(share float64) {
	h.pool.SetColdLimit(h.now, ColdLimit{Rate: coldRate, Share: share, Start: coldTime})
}

// coldInfo returns a target that is listed as cold.
func coldInfo(id, zone string) TargetInfo {
	info := targetInfo(id, zone)
	info.SlowStartFor = coldTime
	info.Incarnation = 1
	return info
}

// isCold reports whether the target with an ID counts as cold.
func (h *harness) isCold(id string) bool { return h.pool.targets[id].Cold(h.now) }

// sendsWithin submits a request every interval and returns the number that was sent, and the most
// that was sent within a second.
func (h *harness) sendsWithin(duration, interval time.Duration, share float64) (sends, most int) {
	var sent []time.Time
	for end := h.now.Add(duration); h.now.Before(end); h.now = h.now.Add(interval) {
		h.setShare(share)
		actions := h.pool.Submit(h.now, h.request(true))
		if len(actionsOf(actions, Send)) == 0 {
			actions = h.pool.Tick(h.now)
		}
		for _, action := range actionsOf(actions, Send) {
			sent = append(sent, h.now)
			h.pool.AttemptFinished(h.now, action.Attempt, Result{Outcome: Answered, Report: normalReport(0)})
		}
	}
	for i := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(sent[i]) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return len(sent), most
}

// Guards against bursts of a daemon with a small share: however small it is, requests are spaced.
func TestColdTargetGetsTheShareWithoutABurst(t *testing.T) {
	long := coldInfo("a1", "a")
	long.SlowStartFor = time.Hour
	for _, test := range []struct {
		share       float64
		atLeast, at int
	}{{1, 40, 5}, {1.0 / 3, 14, 2}, {0.1, 4, 1}, {0.02, 1, 1}} {
		h := coldHarness(t, test.share, long)
		sends, most := h.sendsWithin(11*time.Second, 4*time.Millisecond, test.share)
		require.GreaterOrEqual(t, sends, test.atLeast, "share %f", test.share)
		require.LessOrEqual(t, most, test.at, "share %f", test.share)
	}
}

// Guards against over a hundred daemons that each send a cold target one request, from callers with
// old lists.
func TestDaemonWithoutAShareRefusesAtOnce(t *testing.T) {
	h := coldHarness(t, 0, coldInfo("a1", "a"), coldInfo("b1", "b"))
	refused := h.singleAction(h.pool.Submit(h.now, h.request(true)), Refuse)
	require.Equal(t, ReasonCold, refused.Reason)
	require.Positive(t, refused.RetryAfter)

	h.pool.UpdateTargets(h.now, []TargetInfo{coldInfo("a1", "a"), targetInfo("b2", "b")})
	require.Equal(t, "b2", h.arriveAndSend(h.request(true), normalReport(0)).Target.ID)
}

// Guards against requests that are held until their deadline although the rate is used up.
func TestRequestsBeyondTheColdRateAreRefusedAtOnce(t *testing.T) {
	h := coldHarness(t, 1, coldInfo("a1", "a"), coldInfo("a2", "a"))
	refused := 0
	for range 50 {
		refused += len(actionsOf(h.pool.Submit(h.now, h.request(true)), Refuse))
	}
	require.Greater(t, refused, 40)
	require.Positive(t, 50-refused, "the rate of the next 300 ms is used")
}

// Guards against a share from before a freeze of the daemon, which another daemon has by now.
func TestColdShareExpires(t *testing.T) {
	h := coldHarness(t, 1, coldInfo("a1", "a"))
	h.now = h.now.Add(coldShareExpiry + time.Millisecond)
	require.Equal(t, ReasonCold, h.singleAction(h.pool.Submit(h.now, h.request(true)), Refuse).Reason)
}

// Guards against a target that becomes cold while it runs and isn't spared, and against a cold time
// that begins anew with each change of another entry.
func TestTargetBecomesColdAgainByItsEntry(t *testing.T) {
	info := coldInfo("a1", "a")
	info.EntryRevision = 5
	h := coldHarness(t, 1, info)
	require.True(t, h.isCold("a1"))
	h.now = h.now.Add(coldTime)
	require.False(t, h.isCold("a1"))
	h.pool.UpdateTargets(h.now, []TargetInfo{info, targetInfo("b1", "b")})
	require.False(t, h.isCold("a1"), "the entry has not changed")
	info.EntryRevision = 6
	h.pool.UpdateTargets(h.now, []TargetInfo{info})
	require.True(t, h.isCold("a1"))
}

func TestTargetBecomesColdAgainByAHealthCheck(t *testing.T) {
	info := targetInfo("a1", "a")
	h := coldHarness(t, 0, info)
	require.False(t, h.isCold("a1"))
	h.pool.RecordColdTime(h.now, h.pool.targets["a1"], time.Second, true)
	require.True(t, h.isCold("a1"))
	h.now = h.now.Add(time.Second)
	require.False(t, h.isCold("a1"))
}

// Guards against a restart that neither the entry nor a health check shows as cold.
func TestRestartedTargetIsCold(t *testing.T) {
	first := targetInfo("a1", "a")
	first.Incarnation = 1
	h := coldHarness(t, 1, first)
	require.False(t, h.isCold("a1"), "a target that a starting daemon finds may run for long")
	second := first
	second.Incarnation = 2
	h.pool.UpdateTargets(h.now, []TargetInfo{second})
	require.True(t, h.isCold("a1"))
	h.pool.UpdateTargets(h.now, []TargetInfo{first})
	h.pool.UpdateTargets(h.now, []TargetInfo{second})
	h.now = h.now.Add(coldTime)
	require.False(t, h.isCold("a1"), "an outdated list doesn't begin the cold time anew")
	third := second
	third.Incarnation, third.SlowStartFor = 3, time.Second
	h.pool.UpdateTargets(h.now, []TargetInfo{third})
	h.now = h.now.Add(time.Second)
	require.False(t, h.isCold("a1"), "the entry tells the time")
}

// Guards against a daemon that starts and takes targets for cold whose entries are old, and against
// a health check from before the target became cold.
func TestHealthCheckEndsTheColdTimeOfAnOldEntry(t *testing.T) {
	h := coldHarness(t, 1, coldInfo("a1", "a"))
	target := h.pool.targets["a1"]
	h.pool.RecordColdTime(h.now, target, 0, true)
	require.True(t, h.isCold("a1"), "no check was sent")
	target.probing, target.probedAt = true, h.now.Add(-time.Millisecond)
	h.pool.RecordColdTime(h.now, target, 0, true)
	require.True(t, h.isCold("a1"), "the check was sent before the entry was read")
	target.probedAt = h.now
	h.now = h.now.Add(time.Millisecond)
	h.pool.RecordColdTime(h.now, target, 0, false)
	require.True(t, h.isCold("a1"), "the check tells nothing")
	h.pool.RecordColdTime(h.now, target, 0, true)
	require.False(t, h.isCold("a1"))
}

// Guards against a jump of the load at the end of the cold time.
func TestLoadRisesGraduallyAfterTheColdTime(t *testing.T) {
	info := coldInfo("a1", "a")
	info.Slots = 40
	h := coldHarness(t, 1, info)
	target := h.pool.targets["a1"]
	last := 0
	for elapsed := time.Duration(0); elapsed <= coldRamp; elapsed += coldRamp / 10 {
		limit := target.requestLimit(h.now.Add(coldTime + elapsed))
		require.GreaterOrEqual(t, limit, max(last, 1))
		require.LessOrEqual(t, limit-last, 4)
		last = limit
	}
	require.Equal(t, target.concurrencyLimit(), last)
}

// Guards against a target that joins and gets nothing because all others are faster.
func TestColdTargetGetsRequestsBesideFastTargets(t *testing.T) {
	h := coldHarness(t, 0.5, coldInfo("a1", "a"), targetInfo("a2", "a"), targetInfo("a3", "a"))
	toCold := 0
	for range 300 {
		h.setShare(0.5)
		a := h.arriveAndSend(h.request(true), normalReport(0))
		if a.Target.ID == "a1" {
			toCold++
		}
		h.pool.AttemptFinished(h.now, a, Result{Outcome: Answered, Report: normalReport(0)})
		h.now = h.now.Add(10 * time.Millisecond)
	}
	require.GreaterOrEqual(t, toCold, 2)
	require.LessOrEqual(t, toCold, 8)
}

// Without a cold rate, targets that have just started are only slow, as before.
func TestWithoutAColdRateNothingIsLimited(t *testing.T) {
	h := newHarness(t, coldInfo("a1", "a"))
	target := h.pool.targets["a1"]
	require.False(t, target.Cold(h.now))
	require.InDelta(t, defaultSlowness*slowStartFactor, target.Slowness(h.now), 0.001)
	require.Nil(t, h.pool.cold.targets)
	h.setShare(1)
	require.True(t, target.Cold(h.now), "the limit applies to targets that are known already")
	h.pool.SetColdLimit(h.now, ColdLimit{})
	h.pool.UpdateTargets(h.now, []TargetInfo{coldInfo("a1", "a")})
	require.False(t, target.Cold(h.now))
}

// Guards against a stampede when a whole zone of targets returns cold while the others are near
// their capacity: the cold targets stay within their rate and still get requests.
func TestZoneOfTargetsReturnsColdUnderLoad(t *testing.T) {
	for _, listed := range []bool{true, false} {
		f := newFleet(t, 3, []string{"a", "b", "c"}, 2, 6)
		// 12 targets of two zones run 2 requests of 100 ms each below their saturation point:
		// 240 requests per second.
		f.load(200, 10*time.Second, f.anyDaemon)
		for _, target := range f.targets {
			if target.info.Zone == "c" {
				f.chill(target, listed)
			}
		}
		f.run(11 * time.Second)
		f.requireColdLimit()
		for _, target := range f.targets {
			require.NotEmpty(t, target.arrivals, "target %s", target.info.ID)
		}
		t.Logf("listed=%v served=%d late=%d refused=%v unknown=%d refused after %s, most %d", listed, f.served, f.late, f.reasons, f.unknown, f.refusedAfter, f.most())
		require.Zero(t, f.unknown)
		require.Less(t, float64(f.refused+f.late), 0.05*float64(f.served))
	}
}

// most returns the largest number of requests that a cold target got within a second.
func (f *fleet) most() int {
	most := 0
	for _, target := range f.targets {
		most = max(most, target.most)
	}
	return most
}

// Guards against load that moves between the daemons of zones and exceeds the shares of those that
// it moves to.
func TestLoadThatMovesBetweenZonesStaysWithinTheColdRate(t *testing.T) {
	f := newFleet(t, 4, []string{"a", "b", "c"}, 1, 3)
	for _, target := range f.targets {
		f.chill(target, true)
	}
	for zone := range 3 {
		f.load(150, time.Second, func() *fleetDaemon { return f.daemons[zone] })
		f.run(time.Second)
	}
	f.run(2 * time.Second)
	f.requireColdLimit()
	require.Positive(t, f.served)
	require.Positive(t, f.reasons[ReasonCold])
	require.LessOrEqual(t, f.refusedAfter, objective, "requests are refused before they are late")
}

// Checks the limit for random fleets: targets become cold at any moment, with and without an entry,
// shares change within their sum, daemons restart, and requests fail and are sent again.
func TestRandomFleetStaysWithinTheColdRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(1, 2).Draw(rt, "daemons")
		f := newFleet(t, rapid.Uint64().Draw(rt, "seed"), []string{"a", "b", "c"}, daemons, rapid.IntRange(1, 3).Draw(rt, "targets"))
		f.load(rapid.Float64Range(20, 300).Draw(rt, "load"), 6*time.Second, f.anyDaemon)
		for range 12 {
			target := f.targets[rapid.IntRange(0, len(f.targets)-1).Draw(rt, "target")]
			switch rapid.SampledFrom([]string{"entry", "check", "restart", "share", "wait"}).Draw(rt, "event") {
			case "entry":
				f.chill(target, true)
			case "check":
				f.chill(target, false)
			case "restart":
				target.info.Incarnation++
				target.info.SlowStartFor = 0
				target.coldSince, target.coldUntil = f.now, f.now.Add(coldTime)
				f.publish()
			case "share":
				f.daemons[f.rng.IntN(len(f.daemons))].limit.Share *= f.rng.Float64()
			}
			f.run(time.Duration(rapid.IntRange(1, 600).Draw(rt, "ms")) * time.Millisecond)
		}
		f.run(2 * time.Second)
		f.requireColdLimit()
	})
}
