package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
)

var start = time.Unix(1000, 0)

func member(name string, born int64, state State) Member {
	return Member{Name: name, CallerAddress: name + ":80", PeerAddress: name + ":90", StartedMillis: born, State: state}
}

func TestAllDaemonsAdvertiseTheSame(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	var want []string
	for _, self := range names {
		membership := NewMembership(member(self, 1, Ready), 2)
		for _, other := range names {
			membership.HandleHeartbeat(start, member(other, 1, Ready))
		}
		advertised := membership.AdvertisedAddresses(start)
		require.Len(t, advertised, 2)
		if want == nil {
			want = advertised
		}
		require.Equal(t, want, advertised, "as advertised by %s", self)
	}
}

// Exactly one daemon of a zone is the first, also while none can serve yet.
func TestOneDaemonOfAZoneIsTheFirst(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	firstOf := func(state State, without string) (first []string) {
		for _, self := range names {
			membership := NewMembership(member(self, 1, state), 1)
			for _, other := range names {
				membership.Learn(start, member(other, 1, state))
				if other != without {
					membership.HandleHeartbeat(start, member(other, 1, state))
				}
			}
			if self != without && membership.IsFirst(start) {
				first = append(first, self)
			}
		}
		return first
	}
	first := firstOf(Ready, "")
	require.Len(t, first, 1)
	require.Equal(t, first, firstOf(Starting, ""))
	require.Len(t, firstOf(Draining, ""), 0)
	next := firstOf(Ready, first[0])
	require.Len(t, next, 1, "a daemon that doesn't respond isn't the first")
	require.NotEqual(t, first, next)
}

func TestOnlyReadyMembersAreAdvertised(t *testing.T) {
	membership := NewMembership(member("self", 1, Starting), 3)
	membership.Learn(start, member("listed", 1, Ready))
	membership.HandleHeartbeat(start, member("starting", 1, Starting))
	membership.HandleHeartbeat(start, member("draining", 1, Draining))
	membership.HandleHeartbeat(start, member("ready", 1, Ready))
	require.Equal(t, []string{"ready:80"}, membership.AdvertisedAddresses(start))
	membership.SetState(Ready)
	require.ElementsMatch(t, []string{"ready:80", "self:80"}, membership.AdvertisedAddresses(start))
}

func TestSilentMemberIsNotAdvertisedUntilItAnswers(t *testing.T) {
	membership := NewMembership(member("self", 1, Starting), 3)
	membership.HandleHeartbeat(start, member("other", 1, Ready))
	require.Len(t, membership.DuePings(start), 1)
	require.NotEmpty(t, membership.AdvertisedAddresses(start.Add(answerTimeout/2)))
	require.Empty(t, membership.AdvertisedAddresses(start.Add(answerTimeout)))
	// Another ping must not restart the timeout.
	membership.DuePings(start.Add(answerTimeout))
	require.Empty(t, membership.AdvertisedAddresses(start.Add(answerTimeout+time.Millisecond)))
	membership.HandleHeartbeat(start.Add(2*answerTimeout), member("other", 1, Ready))
	require.NotEmpty(t, membership.AdvertisedAddresses(start.Add(2*answerTimeout)))
}

func TestDrainingDaemonReturnsOnlyByNewStart(t *testing.T) {
	membership := NewMembership(member("self", 1, Starting), 3)
	membership.HandleHeartbeat(start, member("other", 5, Draining))
	// A datagram that was sent earlier and arrives later.
	membership.HandleHeartbeat(start, member("other", 5, Ready))
	require.Empty(t, membership.AdvertisedAddresses(start))
	membership.HandleHeartbeat(start, member("other", 6, Ready))
	require.NotEmpty(t, membership.AdvertisedAddresses(start))
	membership.HandleHeartbeat(start, member("other", 5, Draining))
	require.NotEmpty(t, membership.AdvertisedAddresses(start), "a datagram of an earlier start must be ignored")
}

// A daemon that starts again after its time of day was set back must be advertised soon.
func TestRestartAfterTimeOfDayWasSetBack(t *testing.T) {
	membership := NewMembership(member("self", 1, Starting), 3)
	membership.HandleHeartbeat(start, member("other", 5000, Draining))
	restarted := member("other", 2000, Ready)
	membership.HandleHeartbeat(start.Add(100*time.Millisecond), restarted)
	require.Empty(t, membership.AdvertisedAddresses(start.Add(100*time.Millisecond)), "this may be a late datagram")
	soon := start.Add(time.Second)
	membership.HandleHeartbeat(soon, restarted)
	require.NotEmpty(t, membership.AdvertisedAddresses(soon))
}

func TestActiveDaemonsArePingedMoreOften(t *testing.T) {
	membership := NewMembership(member("self", 1, Ready), 1)
	const others = 30
	for i := range others {
		membership.HandleHeartbeat(start, member(fmt.Sprint("m", i), 1, Ready))
	}
	pinged := map[string]int{}
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(pingInterval) {
		for _, m := range membership.DuePings(now) {
			pinged[m.Name]++
			membership.HandleHeartbeat(now, m)
		}
	}
	often := 0
	for _, count := range pinged {
		if count > 20 {
			often++
		}
	}
	require.Equal(t, 1+standbyCount, often)
	require.Len(t, pinged, others)
}

func TestSilentMemberIsRemoved(t *testing.T) {
	membership := NewMembership(member("self", 1, Ready), 1)
	membership.HandleHeartbeat(start, member("other", 1, Ready))
	membership.DuePings(start.Add(forgetAfter + time.Second))
	require.Empty(t, membership.Members())
}

func TestNodesDiscoverOneAnother(t *testing.T) {
	var nodes []*Node
	var members []Member
	for i := range 3 {
		m := Member{Name: fmt.Sprint("n", i), CallerAddress: fmt.Sprint("front", i), PeerAddress: fmt.Sprintf("127.0.0.1:%d", 47310+i), StartedMillis: 1}
		node, err := Listen(m, 3, logging.Discard())
		require.NoError(t, err)
		t.Cleanup(node.Close)
		nodes = append(nodes, node)
		members = append(members, m)
	}
	for _, node := range nodes {
		node.SetState(Ready)
	}
	// Only the last one learns of the others; they learn of it by its pings.
	nodes[2].Learn(members)
	for _, node := range nodes[:1] {
		require.Eventually(t, func() bool { return len(node.AdvertisedAddresses()) >= 2 }, 20*time.Second, 10*time.Millisecond)
	}
	require.Eventually(t, func() bool { return len(nodes[2].AdvertisedAddresses()) == 3 }, 20*time.Second, 10*time.Millisecond)
	nodes[0].SetState(Draining)
	require.Eventually(t, func() bool { return len(nodes[2].AdvertisedAddresses()) == 2 }, 20*time.Second, 10*time.Millisecond)
}

// A zone advertises its largest daemon, and more daemons while its load exceeds the capacity.
func TestAdvertisedDaemonsCoverTheLoad(t *testing.T) {
	zone := func(load float64) *Membership {
		membership := NewMembership(Member{Name: "s0", CallerAddress: "s0:80", State: Ready, Capacity: 100}, 1)
		for _, name := range []string{"s1", "s2", "s3"} {
			membership.HandleHeartbeat(start, Member{Name: name, CallerAddress: name + ":80", StartedMillis: 1, State: Ready, Capacity: 100})
		}
		membership.HandleHeartbeat(start, Member{Name: "large", CallerAddress: "large:80", StartedMillis: 1, State: Ready, Capacity: 500, Load: load})
		return membership
	}
	require.Equal(t, []string{"large:80"}, zone(0).AdvertisedAddresses(start))
	require.Equal(t, []string{"large:80"}, zone(500).AdvertisedAddresses(start))
	advertised := zone(650).AdvertisedAddresses(start)
	require.Len(t, advertised, 3)
	require.Equal(t, "large:80", advertised[0])
	require.Len(t, zone(5000).AdvertisedAddresses(start), 5, "all daemons must be advertised")

	// Once the large one is silent, its load still counts and the others must cover it.
	membership := zone(250)
	membership.DuePings(start)
	later := start.Add(answerTimeout + time.Millisecond)
	for _, name := range []string{"s1", "s2", "s3"} {
		membership.HandleHeartbeat(later, Member{Name: name, CallerAddress: name + ":80", StartedMillis: 1, State: Ready, Capacity: 100})
	}
	require.Len(t, membership.AdvertisedAddresses(later), 3)
	require.NotContains(t, membership.AdvertisedAddresses(later), "large:80")
}

func TestZoneStatusReflectsAdvertisedDaemons(t *testing.T) {
	membership := NewMembership(Member{Name: "a", CallerAddress: "a:80", State: Ready, Capacity: 100}, 1)
	membership.HandleHeartbeat(start, Member{Name: "b", CallerAddress: "b:80", StartedMillis: 1, State: Ready, Capacity: 200})
	require.Equal(t, ZoneStatus{AdvertisedDaemons: 1, Daemons: 2}, membership.ZoneStatus(start))
	membership.SetLoad(250)
	require.Equal(t, ZoneStatus{Advertised: true, Index: 1, AdvertisedDaemons: 2, Daemons: 2}, membership.ZoneStatus(start))
}

func TestLoadRisesAtOnceAndDecays(t *testing.T) {
	var m RateMeter
	require.Zero(t, m.Update(start, 10))
	require.InDelta(t, 100, m.Update(start.Add(time.Second), 110), 1)
	decayed := m.Update(start.Add(2*time.Second), 110)
	require.Less(t, decayed, 90.0)
	require.Greater(t, decayed, 60.0)
	require.InDelta(t, 400, m.Update(start.Add(3*time.Second), 510), 1)
	require.Less(t, m.Update(start.Add(time.Minute), 510), 1.0)
}
