package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The daemons of a deployment deal the places of the same targets to one another: each
// place is one daemon's, and zones get as many as one another.
func TestEachPlaceIsOneDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
		daemons := rapid.IntRange(1, 3).Draw(t, "daemons of a zone")
		var entries []Entry
		total := 0
		for i := range rapid.IntRange(1, 40).Draw(t, "targets") {
			e := entry(fmt.Sprint("t", i), rapid.SampledFrom(zones).Draw(t, "zone"))
			e.Slots = rapid.IntRange(1, 8).Draw(t, "slots")
			entries = append(entries, e)
			total += (&Target{Entry: e}).below()
		}
		dealt := map[string]int{}
		for _, zone := range zones {
			ofZone := 0
			for index := range daemons {
				pool := NewPool(nil, zone, Budget{})
				pool.setMute(true)
				pool.SetZones(zones)
				pool.SetPart(Part{Index: index, Of: daemons})
				pool.Update(start, entries)
				for _, target := range pool.Targets() {
					dealt[target.ID] += target.places
					ofZone += target.places
				}
			}
			require.InDelta(t, float64(total)/float64(len(zones)), ofZone, 1)
		}
		for _, e := range entries {
			require.Equal(t, (&Target{Entry: e}).below(), dealt[e.ID], e.ID)
		}
	})
}

func TestPlacesOfTheOwnZoneAreDealtFirst(t *testing.T) {
	pool := NewPool(nil, "a", Budget{})
	pool.setMute(true)
	pool.SetZones([]string{"a", "b"})
	pool.Update(start, []Entry{entry("a1", "a"), entry("b1", "b"), entry("a2", "a"), entry("b2", "b")})
	for _, target := range pool.Targets() {
		require.Equal(t, target.Zone == "a", target.places > 0, target.ID)
	}
}

func TestPlacesOfTargetsThatLeaveAreDealtAnew(t *testing.T) {
	leaving := entry("a1", "a")
	leaving.Draining = true
	pool := NewPool(nil, "a", Budget{})
	pool.setMute(true)
	pool.SetZones([]string{"a", "b"})
	pool.Update(start, []Entry{leaving, entry("b1", "b"), entry("b2", "b")})
	places := 0
	for _, target := range pool.Targets() {
		require.False(t, target.Draining && target.places > 0)
		places += target.places
	}
	require.Equal(t, 2, places)
}
