package rollout

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var errDown = errors.New("down")

// trackerModel drives a tracker in virtual time against a platform that comes
// and goes and peers that hear of revisions at random times.
type trackerModel struct {
	t        *rapid.T
	tracker  *Tracker
	now      time.Time
	accepted uint64
	platform bool
	// silent platforms answer reads with an older revision.
	peers map[string]uint64
	reads []time.Time
}

func newTrackerModel(t *rapid.T) *trackerModel {
	return &trackerModel{
		t:        t,
		tracker:  NewTracker(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))),
		now:      time.Unix(1000, 0),
		platform: true,
		peers:    map[string]uint64{},
	}
}

// run lets the daemon follow for d.
func (m *trackerModel) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		step := m.tracker.Next(m.now)
		switch step.Kind {
		case ReadPlatform:
			m.readPlatform()
		case ReadPeer:
			advanced := m.apply(m.peers[step.Peer])
			m.tracker.PeerRead(m.now, step.Peer, advanced)
			m.now = m.now.Add(time.Millisecond)
		default:
			require.True(m.t, step.Until.After(m.now), "a wait must move time")
			m.now = step.Until
		}
	}
}

func (m *trackerModel) readPlatform() {
	m.reads = append(m.reads, m.now)
	if !m.platform {
		m.now = m.now.Add(time.Second)
		m.tracker.PlatformRead(m.now, errDown)
		return
	}
	m.now = m.now.Add(time.Millisecond)
	m.apply(m.accepted)
	m.tracker.PlatformRead(m.now, nil)
}

func (m *trackerModel) apply(revision uint64) bool {
	before := m.tracker.Revision()
	if !m.tracker.Advances(revision) {
		return false
	}
	m.tracker.Applied(m.now, revision)
	require.Greater(m.t, m.tracker.Revision(), before)
	return true
}

// TestTrackerConverges: while the platform or one peer has the accepted revision
// and answers, the daemon has it within 13 s, whatever came before, and reads the
// platform seldom.
func TestTrackerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTrackerModel(t)
		names := []string{"entry-1", "entry-2", "entry-3"}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				m.platform = !m.platform
			case 1:
				m.accepted++
			case 2:
				name := rapid.SampledFrom(names).Draw(t, "peer")
				m.peers[name] = rapid.Uint64Range(m.peers[name], m.accepted).Draw(t, "revision")
				m.tracker.PeerAt(m.now, name, m.peers[name])
			case 3:
				m.run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause")) * time.Millisecond)
			}
		}
		if !m.platform {
			m.peers["entry-1"] = m.accepted
			m.tracker.PeerAt(m.now, "entry-1", m.accepted)
		}
		m.run(13 * time.Second)
		require.Equal(t, m.accepted, m.tracker.Revision())
		requireSpaced(t, m.reads, 10*time.Second, 41)
	})
}

// requireSpaced checks that no window of time holds more than limit reads.
func requireSpaced(t *rapid.T, reads []time.Time, window time.Duration, limit int) {
	for i := range reads {
		if j := i + limit; j < len(reads) {
			require.Greater(t, reads[j].Sub(reads[i]), window)
		}
	}
}

// TestPausedDaemonAsksAtOnce: a daemon that was paused reads as soon as it runs.
func TestPausedDaemonAsksAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(rand.New(rand.NewPCG(1, 1)))
	tracker.Applied(now, 5)
	tracker.PlatformRead(now, nil)
	require.Equal(t, Wait, tracker.Next(now).Kind)
	require.Equal(t, ReadPlatform, tracker.Next(now.Add(time.Minute)).Kind)
}

// TestUnreachablePlatformLeavesPeers: while the platform fails, a peer that is
// ahead is asked without delay.
func TestUnreachablePlatformLeavesPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(rand.New(rand.NewPCG(1, 1)))
	tracker.Applied(now, 5)
	tracker.PlatformRead(now, errDown)
	tracker.PeerAt(now, "entry-1", 6)
	tracker.PeerAt(now, "entry-2", 7)
	require.Equal(t, Step{Kind: ReadPeer, Peer: "entry-2"}, tracker.Next(now))
	tracker.PeerRead(now, "entry-2", false)
	require.Equal(t, Step{Kind: ReadPeer, Peer: "entry-1"}, tracker.Next(now))
}
