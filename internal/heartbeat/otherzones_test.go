package heartbeat

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// otherZoneMember returns a ready member of another zone.
func otherZoneMember(name, zone string) Member {
	m := member(name, 1, Ready)
	m.Zone = zone
	return m
}

func TestOtherZonesAreUsedOnlyWhileOwnZoneServesNobody(t *testing.T) {
	membership := NewMembership(Member{Name: "self", Zone: "a", CallerAddress: "self:80", State: Ready}, 1)
	membership.Learn(start, otherZoneMember("b1", "b"))
	membership.Learn(start, otherZoneMember("c1", "c"))
	require.Empty(t, membership.DueZoneQueries(start))
	require.Empty(t, membership.Members(), "a member of another zone must not become one of this zone")

	membership.SetState(Draining)
	require.Len(t, membership.DueZoneQueries(start), 2)
	require.Empty(t, membership.DueZoneQueries(start), "a zone must be queried once per interval")
	require.Empty(t, membership.AdvertisedAddresses(start))
	membership.HandleZoneAnswer(start, otherZoneMember("b1", "b"), []string{"b7:80"})
	require.Equal(t, []string{"b7:80"}, membership.AdvertisedAddresses(start))
	require.Empty(t, membership.AdvertisedInZone(start), "addresses of another zone must not be passed on to a third")
	require.Equal(t, []string{"b1:90"}, membership.Sources(start))
	require.Empty(t, membership.AdvertisedAddresses(start.Add(zoneAnswerLifetime)), "an expired answer must not be used")

	next := Member{Name: "next", Zone: "a", CallerAddress: "next:80", State: Ready}
	membership.HandleHeartbeat(start, next)
	require.Equal(t, []string{"next:80"}, membership.AdvertisedAddresses(start))
}

func TestSilentContactIsReplacedByNextMember(t *testing.T) {
	membership := NewMembership(Member{Name: "self", Zone: "a", State: Starting}, 1)
	names := map[string]bool{}
	for _, name := range []string{"b1", "b2", "b3"} {
		membership.Learn(start, otherZoneMember(name, "b"))
	}
	now := start
	for range 3 {
		due := membership.DueZoneQueries(now)
		require.Len(t, due, 1)
		names[due[0].Name] = true
		now = now.Add(zoneQueryInterval)
	}
	require.Len(t, names, 3)

	// A contact that answers is queried again.
	due := membership.DueZoneQueries(now)
	membership.HandleZoneAnswer(now, due[0], nil)
	require.Equal(t, due, membership.DueZoneQueries(now.Add(zoneQueryInterval)))
}

func TestOtherZonePeersAreLimitedPerZone(t *testing.T) {
	membership := NewMembership(Member{Name: "self", Zone: "a", State: Ready}, 1)
	for _, name := range []string{"b1", "b2", "b3"} {
		membership.Learn(start, otherZoneMember(name, "b"))
	}
	membership.Learn(start, otherZoneMember("c1", "c"))
	inOrder := func(n int) []int { return []int{0, 1, 2}[:n] }
	require.Equal(t, []ZonePeers{
		{Zone: "b", Addresses: []string{membership.otherZones[0].members[0].PeerAddress, membership.otherZones[0].members[1].PeerAddress}},
		{Zone: "c", Addresses: []string{"c1:90"}},
	}, membership.OtherZonePeers(2, inOrder))
	require.Empty(t, membership.ActivePeers(start))
	next := Member{Name: "next", Zone: "a", PeerAddress: "next:90", State: Ready}
	membership.HandleHeartbeat(start, next)
	require.Equal(t, []string{"next:90"}, membership.ActivePeers(start))
}
