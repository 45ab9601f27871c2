package bytebudget

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a shortage that isn't notified, or is once for every byte.
func TestShortageIsNotifiedOnceUntilRearmed(t *testing.T) {
	budget, notified := New(80), 0
	budget.OnShort(func() { notified++ })
	budget.Add(Arriving, 80)
	require.False(t, budget.Short())
	require.Zero(t, notified)
	budget.Add(Input, 5)
	budget.Add(Input, 1)
	require.True(t, budget.Short())
	require.Equal(t, 1, notified)
	require.EqualValues(t, 16, budget.Excess())
	budget.Rearm()
	require.Equal(t, 2, notified, "a shortage that goes on must be notified again")
	budget.Add(Arriving, -20)
	budget.Rearm()
	require.Equal(t, 2, notified)
	require.Zero(t, budget.Excess())
}

// Guards against small holders that give way as soon as the limit is reached.
func TestReserveIsAboveTheLimit(t *testing.T) {
	budget := New(80)
	budget.Add(Bodies, 90)
	require.True(t, budget.Short())
	require.False(t, budget.Exhausted())
	budget.Add(Requests, 1)
	require.True(t, budget.Exhausted())
}

func TestMoveKeepsTheTotal(t *testing.T) {
	budget := New(80)
	budget.Add(Arriving, 81)
	budget.Move(Arriving, Bodies, 81)
	require.True(t, budget.Short())
	require.EqualValues(t, 81, budget.Held()["bodies"])
	require.Zero(t, budget.Held()["arriving"])
}

// Without a limit everything is counted and nothing gives way.
func TestUnlimitedBudgetIsNeverShort(t *testing.T) {
	budget := New(0)
	budget.Add(Bodies, 1<<50)
	require.False(t, budget.Short())
	require.False(t, budget.Exhausted())
	require.Zero(t, budget.Excess())
	var none *Budget
	none.Add(Bodies, 1)
	require.False(t, none.Short())
}
