package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newMuteBench returns a bench whose targets have been seen not to tell their load.
func newMuteBench(t *testing.T, entries ...Entry) *bench {
	t.Helper()
	b := newBench(t, entries...)
	b.pool.SetZones([]string{"a", "b"})
	b.pool.Update(b.now, entries)
	actions := b.pool.Arrive(b.now, b.request(true))
	var sent *Attempt
	for _, probe := range append([]Action(nil), of(actions, Probe)...) {
		for _, action := range of(b.pool.Probed(b.now, probe.Target, nil, true), Send) {
			sent = action.Attempt
		}
	}
	require.NotNil(t, sent)
	b.pool.Finished(b.now, sent, Result{Outcome: Answered})
	return b
}

func TestMuteTargetsAreNotAsked(t *testing.T) {
	b := newMuteBench(t, entry("a1", "a"), entry("a2", "a"), entry("b1", "b"), entry("b2", "b"))
	actions := b.pool.Arrive(b.now, b.request(true))
	require.Empty(t, of(actions, Probe))
	require.Equal(t, "a", b.only(actions, Send).Attempt.Target.Zone)
}

func TestMuteTargetsGetOnlyTheDaemonsOwnPlaces(t *testing.T) {
	b := newMuteBench(t, entry("a1", "a"), entry("b1", "b"))
	for range 5 {
		b.pool.Arrive(b.now, b.request(true))
	}
	for _, target := range b.pool.Targets() {
		require.Equal(t, target.places, target.own(), target.ID)
	}
	require.Equal(t, 3, b.pool.Queued())
}

func TestOthersPlacesAreUsedWhileTheOwnAreOut(t *testing.T) {
	b := newMuteBench(t, entry("a1", "a"), entry("b1", "b"), entry("b2", "b"), entry("b3", "b"))
	for _, target := range b.pool.Targets() {
		if target.Zone == "a" {
			target.health.Check(false)
			target.health.Check(false)
		}
	}
	for range 3 {
		sent := b.only(b.pool.Arrive(b.now, b.request(true)), Send)
		require.Equal(t, "b", sent.Attempt.Target.Zone)
	}
}

func TestATargetThatHasBecomeSlowIsGuessedFromItsAnswers(t *testing.T) {
	b := newMuteBench(t, entry("a1", "a"), entry("a2", "a"))
	slowed := b.only(b.pool.Arrive(b.now, b.request(true)), Send).Attempt
	b.now = b.now.Add(4 * work)
	b.pool.Finished(b.now, slowed, Result{Outcome: Answered})
	next := b.only(b.pool.Arrive(b.now, b.request(true)), Send).Attempt
	require.NotSame(t, slowed.Target, next.Target)
	require.Greater(t, slowed.Target.Slowness(b.now), 3.0)
	require.InDelta(t, 1, slowed.Target.Slowness(b.now.Add(time.Second)), 0.01)
}

func TestAnOverdueRequestAtAMuteTargetIsSentOnceMore(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		b := newMuteBench(t, entry("a1", "a"), entry("a2", "a"))
		first := b.only(b.pool.Arrive(b.now, b.request(idempotent)), Send).Attempt
		b.now = b.now.Add(time.Duration(overdueShare*float64(work)) + time.Millisecond)
		beside := of(b.pool.Expire(b.now), Send)
		if !idempotent {
			require.Empty(t, beside)
			continue
		}
		require.Len(t, beside, 1)
		require.NotSame(t, first.Target, beside[0].Attempt.Target)
		done := b.pool.Finished(b.now.Add(work), beside[0].Attempt, Result{Outcome: Answered, Answer: "answer"})
		b.only(done, Deliver)
		require.Same(t, first, b.only(done, Cancel).Attempt)
	}
}

func TestATargetThatTellsItsLoadIsAskedAgain(t *testing.T) {
	b := newMuteBench(t, entry("a1", "a"), entry("a2", "a"))
	sent := b.only(b.pool.Arrive(b.now, b.request(true)), Send).Attempt
	b.pool.Finished(b.now, sent, Result{Outcome: Answered, Report: quiet(0)})
	b.now = b.now.Add(time.Second)
	require.NotEmpty(t, of(b.pool.Arrive(b.now, b.request(true)), Probe))
}
