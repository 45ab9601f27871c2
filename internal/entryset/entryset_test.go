package entryset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poplarwheel/poplarwheel/internal/membership"
)

func drawMembers(t *rapid.T) []membership.Member {
	count := rapid.IntRange(1, 20).Draw(t, "members")
	members := make([]membership.Member, count)
	for i := range members {
		members[i] = membership.Member{
			Name:  fmt.Sprintf("entry-%d", i),
			Zone:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
			State: rapid.SampledFrom([]membership.State{membership.Live, membership.Live, membership.Live, membership.Leaving, membership.Suspected}).Draw(t, "state"),
		}
	}
	return members
}

func TestOnlyLiveMembersOverAllZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		size := rapid.IntRange(1, 8).Draw(t, "size")
		chosen := Choose("stock", members, size)
		live, zones := 0, map[string]bool{}
		for _, member := range members {
			if member.State == membership.Live {
				live++
				zones[member.Zone] = true
			}
		}
		require.Len(t, chosen, min(size, live))
		used := map[string]bool{}
		for _, member := range chosen {
			require.Equal(t, membership.Live, member.State)
			used[member.Zone] = true
		}
		require.Len(t, used, min(size, len(zones)))
	})
}

func TestOneMemberGoneMovesOnlyItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		size := rapid.IntRange(1, 8).Draw(t, "size")
		service := rapid.StringMatching("[a-z]{1,8}").Draw(t, "service")
		before := Choose(service, members, size)
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		rest := slices.Delete(slices.Clone(members), gone, gone+1)
		after := Choose(service, rest, size)
		for _, member := range before {
			if member.Name != members[gone].Name {
				require.Contains(t, after, member)
			}
		}
	})
}

func TestSuspectedMemberIsReplacedAndComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		size := rapid.IntRange(1, 8).Draw(t, "size")
		before := Choose("stock", members, size)
		i := rapid.IntRange(0, len(members)-1).Draw(t, "member")
		state := members[i].State
		members[i].State = membership.Suspected
		require.NotContains(t, Choose("stock", members, size), members[i])
		members[i].State = state
		require.Equal(t, before, Choose("stock", members, size))
	})
}

func TestConnectionSharesFitEveryFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConnections := rapid.IntRange(1, 1000).Draw(t, "connections")
		entryVMs := rapid.IntRange(1, 1000).Draw(t, "entry VMs")
		require.LessOrEqual(t, ConnectionShare(maxConnections, entryVMs)*entryVMs, maxConnections)
	})
}

// TestBusyServicesSpreadTheirLoad gives 440 services rates that fall with their
// rank and compares the busiest daemon with the mean.
func TestBusyServicesSpreadTheirLoad(t *testing.T) {
	const (
		services = 440
		daemons  = 96
		topRate  = 39_000.0
	)
	var members []membership.Member
	for i := range daemons {
		members = append(members, membership.Member{Name: fmt.Sprintf("entry-%d", i), Zone: string(rune('a' + i%7)), State: membership.Live})
	}
	peak := func(size func(rate float64) int) float64 {
		loads := map[string]float64{}
		var total, busiest float64
		for i := range services {
			rate := topRate / float64(i+1)
			chosen := Choose(fmt.Sprintf("service-%d", i), members, size(rate))
			for _, member := range chosen {
				loads[member.Name] += rate / float64(len(chosen))
				busiest = max(busiest, loads[member.Name])
			}
			total += rate
		}
		return busiest / (total / daemons)
	}
	fixed := peak(func(float64) int { return 3 })
	sized := peak(func(rate float64) int { return Size(3, rate) })
	t.Logf("busiest daemon against the mean: %.2f with 3 entry VMs a service, %.2f with sizes by rate", fixed, sized)
	require.Less(t, sized, fixed/2)
}
