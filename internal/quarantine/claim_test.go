package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// lateNetwork connects coordinators. Each message, answer and health check waits until the test
// delivers it, in any order, or is lost.
type lateNetwork struct {
	now     time.Time
	daemons []*Coordinator
	pending []func()
	crashes int
}

// latePeers are the peers of one daemon of a lateNetwork.
type latePeers struct {
	network *lateNetwork
	self    int
}

// Announce implements Peers. The announcement ends complete once all others have answered, and
// incomplete if the test lets it time out first.
func (p *latePeers) Announce(suspect Suspect, done func(Answers)) {
	waiting := len(p.network.daemons) - 1
	ended, claimed := false, false
	end := func(answers Answers) {
		if !ended {
			ended = true
			done(answers)
		}
	}
	p.network.later(func() { end(Answers{Claimed: claimed}) })
	for i, other := range p.network.daemons {
		if i == p.self {
			continue
		}
		p.network.later(func() {
			other.Merge(p.network.now, []Suspect{suspect})
			known, blocked := other.Lookup(p.network.now, []Suspect{suspect})
			p.network.later(func() {
				p.network.daemons[p.self].Merge(p.network.now, known)
				claimed = claimed || blocked
				waiting--
				if waiting == 0 {
					end(Answers{Complete: true, Claimed: claimed})
				}
			})
		})
	}
}

// Lift implements Peers.
func (p *latePeers) Lift(Content) {}

func newLateNetwork(daemons int) *lateNetwork {
	n := &lateNetwork{now: time.Now()}
	for i := range daemons {
		d := NewCoordinator(&latePeers{network: n, self: i})
		d.now = func() time.Time { return n.now }
		n.daemons = append(n.daemons, d)
	}
	return n
}

func (n *lateNetwork) later(event func()) { n.pending = append(n.pending, event) }

// deliver takes place of the pending event with the given index.
func (n *lateNetwork) deliver(i int) {
	n.now = n.now.Add(time.Millisecond)
	event := n.pending[i]
	n.pending = append(n.pending[:i:i], n.pending[i+1:]...)
	event()
}

// arrive is the arrival of a crashing request at a daemon.
func (n *lateNetwork) arrive(daemon int) {
	n.now = n.now.Add(time.Millisecond)
	d := n.daemons[daemon]
	switch d.Standing(n.now, Identity{Content: crashing}) {
	case Unsuspected:
		n.run(d, false)
	case Suspected:
		d.Claim(n.now, Identity{Content: crashing}, func(granted bool) {
			if granted {
				n.run(d, true)
			}
		})
	}
}

// run runs a crashing request at a target, which dies at once. A health check tells it later.
func (n *lateNetwork) run(d *Coordinator, claimed bool) {
	n.crashes++
	sentAt := n.now
	n.now = n.now.Add(time.Millisecond)
	closedAt := n.now
	d.BeginCheck(crashing)
	target := fmt.Sprint("target-", n.crashes)
	n.later(func() {
		d.RecordDeath(closedAt, &FailedRequest{Content: crashing, Target: target, SentAt: sentAt, HoldsClaim: claimed, Resume: func(allowed bool) {
			d.EndCheck(crashing)
			if allowed {
				n.run(d, true)
			}
		}})
	})
}

// However late or lost the messages between daemons are, a crashing request kills one target
// for each daemon that didn't know of it, and no more than the limit otherwise.
func TestCrashesAreBoundedHoweverLateMessagesAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(2, 4).Draw(t, "daemons")
		n := newLateNetwork(daemons)
		for range 200 {
			if len(n.pending) == 0 || rapid.IntRange(0, 3).Draw(t, "arrive") == 0 {
				n.arrive(rapid.IntRange(0, daemons-1).Draw(t, "daemon"))
				continue
			}
			n.deliver(rapid.IntRange(0, len(n.pending)-1).Draw(t, "event"))
		}
		require.LessOrEqual(t, n.crashes, max(daemons, DeathLimit))
	})
}

// Two daemons that claim the same content at once must not both get it.
func TestSimultaneousClaimsAreNotBothGranted(t *testing.T) {
	n := newLateNetwork(2)
	suspect := Suspect{Content: crashing, Deaths: []Death{{Target: "target-1", SentAt: n.now.Add(-time.Second), At: n.now}}}
	granted := 0
	for _, d := range n.daemons {
		d.Merge(n.now, []Suspect{suspect})
		d.Claim(n.now, Identity{Content: crashing}, func(ok bool) {
			if ok {
				granted++
			}
		})
	}
	for len(n.pending) > 0 {
		n.deliver(len(n.pending) - 1)
	}
	require.LessOrEqual(t, granted, 1)
}

// Two attempts of one request crash their targets. The second one, which gets no claim, must not
// make the claim of the first one outlive the request.
func TestClaimOfARequestWithTwoAttemptsIsReleasedOnce(t *testing.T) {
	peers := &respondingPeers{}
	coordinator := NewCoordinator(peers)
	peers.coordinator = coordinator
	now := time.Now()
	var holder Holder
	for _, target := range []string{"target-1", "target-2"} {
		failed := &FailedRequest{Content: 7, Target: target, SentAt: now.Add(-time.Millisecond), HoldsClaim: holder.Holds()}
		failed.Resume = func(allowed bool) { holder.Resumed(failed, allowed) }
		coordinator.RecordDeath(now, failed)
	}
	require.True(t, holder.Holds())
	coordinator.Release(7)
	require.Equal(t, Suspected, coordinator.Standing(now, Identity{Content: 7}))
}

// A claim whose holder never releases it must not block the content for good.
func TestClaimExpires(t *testing.T) {
	peers := &respondingPeers{}
	coordinator := NewCoordinator(peers)
	peers.coordinator = coordinator
	now := time.Now()
	coordinator.Merge(now, []Suspect{{Content: 7, Deaths: []Death{{Target: "target-1", SentAt: now.Add(-time.Second), At: now}}}})
	coordinator.Claim(now, Identity{Content: 7}, func(granted bool) { require.True(t, granted) })
	require.Equal(t, Undecided, coordinator.Standing(now.Add(claimTimeout-time.Second), Identity{Content: 7}))
	require.Equal(t, Suspected, coordinator.Standing(now.Add(claimTimeout), Identity{Content: 7}))
}

// A claim that was refused or released can be acquired again.
func TestClaimCanBeAcquiredAfterRelease(t *testing.T) {
	peers := &respondingPeers{}
	coordinator := NewCoordinator(peers)
	peers.coordinator = coordinator
	now := time.Now()
	coordinator.Merge(now, []Suspect{{Content: 7, Deaths: []Death{{Target: "target-1", SentAt: now.Add(-time.Second), At: now}}}})
	claim := func() (granted bool) {
		coordinator.Claim(now, Identity{Content: 7}, func(ok bool) { granted = ok })
		return granted
	}
	require.True(t, claim())
	require.Equal(t, Undecided, coordinator.Standing(now, Identity{Content: 7}))
	require.False(t, claim())
	coordinator.Release(7)
	require.Equal(t, Suspected, coordinator.Standing(now, Identity{Content: 7}))
	require.True(t, claim())
}

// A claim that is refused after its content was lifted must not be counted as a suspect.
func TestRefusedClaimIsNotCounted(t *testing.T) {
	n := newLateNetwork(1)
	d := n.daemons[0]
	d.Merge(n.now, []Suspect{{Content: 7, Deaths: []Death{{Target: "target-1", SentAt: n.now.Add(-time.Second), At: n.now}}}})
	d.Claim(n.now, Identity{Content: 7}, func(granted bool) { require.False(t, granted) })
	d.Lift(7)
	n.deliver(0)
	require.False(t, d.HasSuspects())
}
