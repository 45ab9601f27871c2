package entryset

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/membership"
)

func TestCallersStayInTheirRegionWhileItServes(t *testing.T) {
	members := []membership.Member{
		{Name: "p1", Region: "perth", Zone: "a", State: membership.Live},
		{Name: "p2", Region: "perth", Zone: "b", State: membership.Suspected},
		{Name: "v1", Region: "victoria", Zone: "c", State: membership.Live},
		{Name: "v2", Region: "victoria", Zone: "d", State: membership.Live},
	}
	require.Equal(t, members[:1], Choose("stock", InRegion(members, "perth"), 3))
	members[0].State = membership.Dead
	require.ElementsMatch(t, members[2:], Choose("stock", InRegion(members, "perth"), 3))
}
