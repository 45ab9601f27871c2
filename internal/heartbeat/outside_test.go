package heartbeat

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// abroad returns a member of another zone.
func abroad(name, zone string) Member {
	m := member(name, 1, Ready)
	m.Zone = zone
	return m
}

func TestOtherZonesAreAskedAndNamedOnlyWhileNobodyServesHere(t *testing.T) {
	r := NewRoster(Member{Name: "self", Zone: "a", Front: "self:80", State: Ready}, 1)
	r.Learn(start, abroad("b1", "b"))
	r.Learn(start, abroad("c1", "c"))
	require.Empty(t, r.OutsideDue(start))
	require.Empty(t, r.Members(), "a member of another zone counts as one of this")

	r.SetState(Leaving)
	require.Len(t, r.OutsideDue(start), 2)
	require.Empty(t, r.OutsideDue(start), "asked twice at once")
	require.Empty(t, r.Named(start))
	r.HeardOutside(start, abroad("b1", "b"), []string{"b7:80"})
	require.Equal(t, []string{"b7:80"}, r.Named(start))
	require.Empty(t, r.NamedHere(start), "another zone would be told of a third")
	require.Equal(t, []string{"b1:90"}, r.Sources(start))
	require.Empty(t, r.Named(start.Add(outsideCounts)), "old news")

	next := Member{Name: "next", Zone: "a", Front: "next:80", State: Ready}
	r.Heard(start, next)
	require.Equal(t, []string{"next:80"}, r.Named(start))
}

func TestASilentContactMakesWayForTheNext(t *testing.T) {
	r := NewRoster(Member{Name: "self", Zone: "a", State: Starting}, 1)
	names := map[string]bool{}
	for _, name := range []string{"b1", "b2", "b3"} {
		r.Learn(start, abroad(name, "b"))
	}
	now := start
	for range 3 {
		due := r.OutsideDue(now)
		require.Len(t, due, 1)
		names[due[0].Name] = true
		now = now.Add(askOutsideEvery)
	}
	require.Len(t, names, 3)

	// The one that answers stays.
	due := r.OutsideDue(now)
	r.HeardOutside(now, due[0], nil)
	require.Equal(t, due, r.OutsideDue(now.Add(askOutsideEvery)))
}

func TestAFewMembersOfEachOtherZoneArePicked(t *testing.T) {
	r := NewRoster(Member{Name: "self", Zone: "a", State: Ready}, 1)
	for _, name := range []string{"b1", "b2", "b3"} {
		r.Learn(start, abroad(name, "b"))
	}
	r.Learn(start, abroad("c1", "c"))
	inOrder := func(n int) []int { return []int{0, 1, 2}[:n] }
	require.Len(t, r.OutsidePeers(2, inOrder), 3)
	require.Contains(t, r.OutsidePeers(2, inOrder), "c1:90")
	require.Empty(t, r.ActivePeers(start))
	next := Member{Name: "next", Zone: "a", Peer: "next:90", State: Ready}
	r.Heard(start, next)
	require.Equal(t, []string{"next:90"}, r.ActivePeers(start))
}
