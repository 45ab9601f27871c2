package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answering is a peer that was not told before, and answers with what it knows.
type answering struct {
	keeper *Keeper
	known  []Suspect
}

// Tell implements Peers.
func (p *answering) Tell(_ Suspect, done func()) {
	p.keeper.Told(time.Now(), p.known)
	done()
}

// Lift implements Peers.
func (p *answering) Lift(Content) {}

// A daemon that missed the deaths of a content learns of them when it tells of the
// first one of its own, before it runs the content again.
func TestDeathsThatWereMissedForbidTheNextRun(t *testing.T) {
	now := time.Now()
	const content = Content(7)
	other := NewTracker()
	for i, target := range []string{"target-1", "target-2"} {
		at := now.Add(time.Duration(i-4) * time.Second)
		other.Died(at, &Run{Content: content, Target: target, Began: at.Add(-time.Millisecond), Resume: func(bool) {}})
	}
	peers := &answering{}
	keeper := NewKeeper(peers)
	peers.keeper = keeper
	var allowed []bool
	run := &Run{Content: content, Target: "target-3", Began: now.Add(-time.Millisecond), Resume: func(a bool) { allowed = append(allowed, a) }}

	peers.known = other.Known(now, []Suspect{{Content: content}, {Content: content + 1}})
	require.Len(t, peers.known, 1)
	keeper.Died(now, run)
	require.Equal(t, []bool{false}, allowed)
}

// Nothing that peers know leaves the run allowed.
func TestFirstDeathLeavesTheNextRunAllowed(t *testing.T) {
	peers := &answering{}
	keeper := NewKeeper(peers)
	peers.keeper = keeper
	now := time.Now()
	var allowed []bool
	keeper.Died(now, &Run{Content: 7, Target: "target-3", Began: now.Add(-time.Millisecond), Resume: func(a bool) { allowed = append(allowed, a) }})
	require.Equal(t, []bool{true}, allowed)
}

// Recorded runs are told and resumed without taking turns, and forbidden at the limit.
func TestRecordedRunsDontWaitForOneAnother(t *testing.T) {
	peers := &answering{}
	keeper := NewKeeper(peers)
	peers.keeper = keeper
	now := time.Now()
	allowed := map[Content][]bool{}
	record := func(content Content, target string, at time.Time) {
		keeper.Record(at, &Run{Content: content, Target: target, Began: at.Add(-time.Millisecond), Resume: func(a bool) {
			allowed[content] = append(allowed[content], a)
		}})
	}
	record(1, "target-1", now)
	record(2, "target-1", now)
	require.Equal(t, map[Content][]bool{1: {true}, 2: {true}}, allowed)
	record(1, "target-2", now.Add(time.Second))
	require.Equal(t, []bool{true, false}, allowed[1])
	require.True(t, keeper.Quarantined(now.Add(time.Second), 1))
	require.False(t, keeper.Quarantined(now.Add(time.Second), 2))
}
