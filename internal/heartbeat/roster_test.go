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
	return Member{Name: name, Front: name + ":80", Peer: name + ":90", Born: born, State: state}
}

func TestAllDaemonsNameTheSame(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	var want []string
	for _, self := range names {
		r := NewRoster(member(self, 1, Ready), 2)
		for _, other := range names {
			r.Heard(start, member(other, 1, Ready))
		}
		named := r.Named(start)
		require.Len(t, named, 2)
		if want == nil {
			want = named
		}
		require.Equal(t, want, named, "as named by %s", self)
	}
}

func TestOnlyReadyMembersAreNamed(t *testing.T) {
	r := NewRoster(member("self", 1, Starting), 3)
	r.Learn(start, member("listed", 1, Ready))
	r.Heard(start, member("starting", 1, Starting))
	r.Heard(start, member("leaving", 1, Leaving))
	r.Heard(start, member("ready", 1, Ready))
	require.Equal(t, []string{"ready:80"}, r.Named(start))
	r.SetState(Ready)
	require.ElementsMatch(t, []string{"ready:80", "self:80"}, r.Named(start))
}

func TestSilentMemberIsNotNamedUntilItAnswers(t *testing.T) {
	r := NewRoster(member("self", 1, Starting), 3)
	r.Heard(start, member("other", 1, Ready))
	require.Len(t, r.Due(start), 1)
	require.NotEmpty(t, r.Named(start.Add(silentAfter/2)))
	require.Empty(t, r.Named(start.Add(silentAfter)))
	// Asking again doesn't make it younger.
	r.Due(start.Add(silentAfter))
	require.Empty(t, r.Named(start.Add(silentAfter+time.Millisecond)))
	r.Heard(start.Add(2*silentAfter), member("other", 1, Ready))
	require.NotEmpty(t, r.Named(start.Add(2*silentAfter)))
}

func TestLeavingDaemonComesBackOnlyWithANewStart(t *testing.T) {
	r := NewRoster(member("self", 1, Starting), 3)
	r.Heard(start, member("other", 5, Leaving))
	// A datagram that was overtaken.
	r.Heard(start, member("other", 5, Ready))
	require.Empty(t, r.Named(start))
	r.Heard(start, member("other", 6, Ready))
	require.NotEmpty(t, r.Named(start))
	r.Heard(start, member("other", 5, Leaving))
	require.NotEmpty(t, r.Named(start), "word of an earlier start counts")
}

func TestNamedDaemonsAreAskedMoreOftenThanOthers(t *testing.T) {
	r := NewRoster(member("self", 1, Ready), 1)
	const others = 30
	for i := range others {
		r.Heard(start, member(fmt.Sprint("m", i), 1, Ready))
	}
	asked := map[string]int{}
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(pingEvery) {
		for _, m := range r.Due(now) {
			asked[m.Name]++
			r.Heard(now, m)
		}
	}
	often := 0
	for _, count := range asked {
		if count > 20 {
			often++
		}
	}
	require.Equal(t, 1+reserve, often)
	require.Len(t, asked, others)
}

func TestSilentMemberIsForgotten(t *testing.T) {
	r := NewRoster(member("self", 1, Ready), 1)
	r.Heard(start, member("other", 1, Ready))
	r.Due(start.Add(forgetAfter + time.Second))
	require.Empty(t, r.Members())
}

func TestNodesFindOneAnother(t *testing.T) {
	var nodes []*Node
	var members []Member
	for i := range 3 {
		m := Member{Name: fmt.Sprint("n", i), Front: fmt.Sprint("front", i), Peer: fmt.Sprintf("127.0.0.1:%d", 47310+i), Born: 1}
		node, err := Listen(m, 3, logging.Discard())
		require.NoError(t, err)
		t.Cleanup(node.Close)
		nodes = append(nodes, node)
		members = append(members, m)
	}
	for _, node := range nodes {
		node.SetState(Ready)
	}
	// Only the last one knows the others.
	nodes[2].Learn(members)
	for _, node := range nodes[:1] {
		require.Eventually(t, func() bool { return len(node.Named()) >= 2 }, 20*time.Second, 10*time.Millisecond)
	}
	require.Eventually(t, func() bool { return len(nodes[2].Named()) == 3 }, 20*time.Second, 10*time.Millisecond)
	nodes[0].SetState(Leaving)
	require.Eventually(t, func() bool { return len(nodes[2].Named()) == 2 }, 20*time.Second, 10*time.Millisecond)
}

// A zone names its largest daemons, and more of them while its load asks for it.
func TestZoneNamesAsManyDaemonsAsItsLoadAsksFor(t *testing.T) {
	zone := func(load float64) *Roster {
		r := NewRoster(Member{Name: "s0", Front: "s0:80", State: Ready, Capacity: 100}, 1)
		for _, name := range []string{"s1", "s2", "s3"} {
			r.Heard(start, Member{Name: name, Front: name + ":80", Born: 1, State: Ready, Capacity: 100})
		}
		r.Heard(start, Member{Name: "large", Front: "large:80", Born: 1, State: Ready, Capacity: 500, Load: load})
		return r
	}
	require.Equal(t, []string{"large:80"}, zone(0).Named(start))
	require.Equal(t, []string{"large:80"}, zone(500).Named(start))
	named := zone(650).Named(start)
	require.Len(t, named, 3)
	require.Equal(t, "large:80", named[0])
	require.Len(t, zone(5000).Named(start), 5, "all there are")

	// Once the large one is silent, its load goes to the others.
	r := zone(250)
	r.Due(start)
	later := start.Add(silentAfter + time.Millisecond)
	for _, name := range []string{"s1", "s2", "s3"} {
		r.Heard(later, Member{Name: name, Front: name + ":80", Born: 1, State: Ready, Capacity: 100})
	}
	require.Len(t, r.Named(later), 3)
	require.NotContains(t, r.Named(later), "large:80")
}

func TestStandingCountsTheNamed(t *testing.T) {
	r := NewRoster(Member{Name: "a", Front: "a:80", State: Ready, Capacity: 100}, 1)
	r.Heard(start, Member{Name: "b", Front: "b:80", Born: 1, State: Ready, Capacity: 200})
	require.Equal(t, Standing{NamedDaemons: 1, Daemons: 2}, r.Standing(start))
	r.SetLoad(250)
	require.Equal(t, Standing{Named: true, Index: 1, NamedDaemons: 2, Daemons: 2}, r.Standing(start))
}

func TestLoadRisesAtOnceAndFades(t *testing.T) {
	var m Meter
	require.Zero(t, m.Take(start, 10))
	require.InDelta(t, 100, m.Take(start.Add(time.Second), 110), 1)
	faded := m.Take(start.Add(2*time.Second), 110)
	require.Less(t, faded, 90.0)
	require.Greater(t, faded, 60.0)
	require.InDelta(t, 400, m.Take(start.Add(3*time.Second), 510), 1)
	require.Less(t, m.Take(start.Add(time.Minute), 510), 1.0)
}
