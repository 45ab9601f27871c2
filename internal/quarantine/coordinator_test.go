package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// respondingPeers stands for another daemon, which answers each announcement with the
// suspects that it knows.
type respondingPeers struct {
	keeper *Coordinator
	known  []Suspect
}

// Announce implements Peers.
func (p *respondingPeers) Announce(_ Suspect, done func()) {
	p.keeper.Merge(time.Now(), p.known)
	done()
}

// Lift implements Peers.
func (p *respondingPeers) Lift(Content) {}

// A daemon that missed the announcements of earlier deaths must learn of them from the
// answer to its own announcement, before it retries the content.
func TestRetryIsForbiddenByDeathsKnownToPeers(t *testing.T) {
	now := time.Now()
	const content = Content(7)
	other := NewTracker()
	for i, target := range []string{"target-1", "target-2"} {
		at := now.Add(time.Duration(i-4) * time.Second)
		other.QueueRetry(at, &FailedRequest{Content: content, Target: target, SentAt: at.Add(-time.Millisecond), Resume: func(bool) {}})
	}
	peers := &respondingPeers{}
	keeper := NewCoordinator(peers)
	peers.keeper = keeper
	var allowed []bool
	request := &FailedRequest{Content: content, Target: "target-3", SentAt: now.Add(-time.Millisecond), Resume: func(a bool) { allowed = append(allowed, a) }}

	peers.known = other.Lookup(now, []Suspect{{Content: content}, {Content: content + 1}})
	require.Len(t, peers.known, 1)
	keeper.QueueRetry(now, request)
	require.Equal(t, []bool{false}, allowed)
}

// If the peers know nothing of the content, it may be retried.
func TestRetryIsAllowedAfterFirstDeath(t *testing.T) {
	peers := &respondingPeers{}
	keeper := NewCoordinator(peers)
	peers.keeper = keeper
	now := time.Now()
	var allowed []bool
	keeper.QueueRetry(now, &FailedRequest{Content: 7, Target: "target-3", SentAt: now.Add(-time.Millisecond), Resume: func(a bool) { allowed = append(allowed, a) }})
	require.Equal(t, []bool{true}, allowed)
}

// Record announces and resumes requests without a retry turn, and forbids the retry once
// the limit is reached.
func TestRecordedRequestsDoNotTakeTurns(t *testing.T) {
	peers := &respondingPeers{}
	keeper := NewCoordinator(peers)
	peers.keeper = keeper
	now := time.Now()
	allowed := map[Content][]bool{}
	record := func(content Content, target string, at time.Time) {
		keeper.RecordDeath(at, &FailedRequest{Content: content, Target: target, SentAt: at.Add(-time.Millisecond), Resume: func(a bool) {
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
