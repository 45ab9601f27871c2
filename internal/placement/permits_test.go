package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Checks that daemons which know the same targets compute the same assignment: each
// permit belongs to exactly one daemon, and each zone gets its equal share within 1
// permit.
func TestEachPermitBelongsToOneDaemon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
		daemons := rapid.IntRange(1, 3).Draw(t, "daemons per zone")
		var infos []Entry
		total := 0
		for i := range rapid.IntRange(1, 40).Draw(t, "targets") {
			info := targetInfo(fmt.Sprint("t", i), rapid.SampledFrom(zones).Draw(t, "zone"))
			info.Slots = rapid.IntRange(1, 8).Draw(t, "slots")
			infos = append(infos, info)
			total += (&Target{Entry: info}).concurrencyLimit()
		}
		assigned := map[string]int{}
		for _, zone := range zones {
			zonePermits := 0
			for index := range daemons {
				pool := NewPool(nil, zone, Budget{})
				pool.setNoReports(true)
				pool.SetZones(zones)
				pool.SetPart(Part{Index: index, Of: daemons})
				pool.Update(start, infos)
				for _, target := range pool.Targets() {
					assigned[target.ID] += target.permits
					zonePermits += target.permits
				}
			}
			require.InDelta(t, float64(total)/float64(len(zones)), zonePermits, 1)
		}
		for _, info := range infos {
			require.Equal(t, (&Target{Entry: info}).concurrencyLimit(), assigned[info.ID], info.ID)
		}
	})
}

func TestLocalPermitsAreAssignedFirst(t *testing.T) {
	pool := NewPool(nil, "a", Budget{})
	pool.setNoReports(true)
	pool.SetZones([]string{"a", "b"})
	pool.Update(start, []Entry{targetInfo("a1", "a"), targetInfo("b1", "b"), targetInfo("a2", "a"), targetInfo("b2", "b")})
	for _, target := range pool.Targets() {
		require.Equal(t, target.Zone == "a", target.permits > 0, target.ID)
	}
}

func TestDrainingTargetsHaveNoPermits(t *testing.T) {
	draining := targetInfo("a1", "a")
	draining.Draining = true
	pool := NewPool(nil, "a", Budget{})
	pool.setNoReports(true)
	pool.SetZones([]string{"a", "b"})
	pool.Update(start, []Entry{draining, targetInfo("b1", "b"), targetInfo("b2", "b")})
	permits := 0
	for _, target := range pool.Targets() {
		require.False(t, target.Draining && target.permits > 0)
		permits += target.permits
	}
	require.Equal(t, 2, permits)
}
