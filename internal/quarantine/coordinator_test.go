package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// respondingPeers stands for another daemon, which answers each announcement with the
// suspects that it knows.
type respondingPeers struct {
	coordinator *Coordinator
	known       []Suspect
}

// Announce implements Peers.
func (p *respondingPeers) Announce(_ Suspect, done func(Answers)) {
	p.coordinator.Merge(time.Now(), p.known)
	done(Answers{Complete: true})
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
	coordinator := NewCoordinator(peers)
	peers.coordinator = coordinator
	var allowed []bool
	failed := &FailedRequest{Content: content, Target: "target-3", SentAt: now.Add(-time.Millisecond), Resume: func(a bool) { allowed = append(allowed, a) }}

	peers.known = other.Lookup(now, []Suspect{{Content: content}, {Content: content + 1}})
	require.Len(t, peers.known, 1)
	coordinator.QueueRetry(now, failed)
	require.Equal(t, []bool{false}, allowed)
}

// recordingPeers also records the announcements.
type recordingPeers struct {
	respondingPeers
	announced []Suspect
}

// Announce implements Peers.
func (p *recordingPeers) Announce(suspect Suspect, done func(Answers)) {
	p.announced = append(p.announced, suspect)
	p.respondingPeers.Announce(suspect, done)
}

// A content that reaches the limit only by the deaths that another daemon answers must be announced
// as quarantined: it would be stored by nobody, and forgotten when all daemons restart.
func TestQuarantineByAnswersIsAnnounced(t *testing.T) {
	now := time.Now()
	earlier := Death{Target: "target-1", SentAt: now.Add(-2 * time.Second), At: now.Add(-time.Second)}
	peers := &recordingPeers{respondingPeers: respondingPeers{known: []Suspect{{Content: 7, Deaths: []Death{earlier}}}}}
	coordinator := NewCoordinator(peers)
	peers.coordinator = coordinator
	coordinator.RecordDeath(now, &FailedRequest{Content: 7, Target: "target-2", SentAt: now.Add(-time.Millisecond), Resume: func(bool) {}})
	require.Len(t, peers.announced, 2)
	require.False(t, peers.announced[0].Quarantined)
	require.True(t, peers.announced[1].Quarantined)
}

// If the peers know nothing of the content, it may be retried.
func TestRetryIsAllowedAfterFirstDeath(t *testing.T) {
	peers := &respondingPeers{}
	coordinator := NewCoordinator(peers)
	peers.coordinator = coordinator
	now := time.Now()
	var allowed []bool
	coordinator.QueueRetry(now, &FailedRequest{Content: 7, Target: "target-3", SentAt: now.Add(-time.Millisecond), Resume: func(a bool) { allowed = append(allowed, a) }})
	require.Equal(t, []bool{true}, allowed)
}

// RecordDeath announces and resumes requests without a retry turn, and forbids the retry once
// the limit is reached.
func TestRecordedRequestsDoNotTakeTurns(t *testing.T) {
	peers := &respondingPeers{}
	coordinator := NewCoordinator(peers)
	peers.coordinator = coordinator
	now := time.Now()
	allowed := map[Content][]bool{}
	record := func(content Content, target string, at time.Time) {
		coordinator.RecordDeath(at, &FailedRequest{Content: content, Target: target, SentAt: at.Add(-time.Millisecond), Resume: func(a bool) {
			allowed[content] = append(allowed[content], a)
		}})
	}
	record(1, "target-1", now)
	record(2, "target-1", now)
	require.Equal(t, map[Content][]bool{1: {true}, 2: {true}}, allowed)
	record(1, "target-2", now.Add(time.Second))
	require.Equal(t, []bool{true, false}, allowed[1])
	require.True(t, coordinator.Quarantined(now.Add(time.Second), 1))
	require.False(t, coordinator.Quarantined(now.Add(time.Second), 2))
}

// A harmless request was at both targets that the crashing one killed, but ran on another
// daemon, which tells of the second death late. The harmless one must not be refused for it.
func TestRequestBesideACrashingOneIsAllowedWhenItsDeathsAreExplainedLate(t *testing.T) {
	const harmless, crashing = Content(1), Content(2)
	now := time.Now()
	deaths := []Death{
		{Target: "target-1", SentAt: now.Add(-400 * time.Millisecond), At: now.Add(-300 * time.Millisecond)},
		{Target: "target-2", SentAt: now.Add(-200 * time.Millisecond), At: now},
	}
	peers := &respondingPeers{}
	coordinator := NewCoordinator(peers)
	peers.coordinator = coordinator
	allowed := make(chan bool, 2)
	fail := func(death Death) {
		coordinator.QueueRetry(death.At, &FailedRequest{Content: harmless, Target: death.Target, SentAt: death.SentAt, Resume: func(a bool) { allowed <- a }})
	}
	coordinator.Merge(now, []Suspect{{Content: crashing, Deaths: deaths[:1]}})
	fail(deaths[0])
	require.True(t, <-allowed)
	fail(deaths[1])
	time.Sleep(settleTime / 3)
	coordinator.Merge(time.Now(), []Suspect{{Content: crashing, Deaths: deaths}})
	select {
	case a := <-allowed:
		require.True(t, a)
	case <-time.After(10 * settleTime):
		require.Fail(t, "not decided")
	}
	require.False(t, coordinator.Quarantined(time.Now(), harmless))
}
