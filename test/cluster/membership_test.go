package cluster

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// named reports whether entry daemon i answers that callers use address.
func named(t *testing.T, f *fleet.Fleet, i int, address string) bool {
	t.Helper()
	caller := client.New(client.Options{Bootstrap: []string{f.EntryAddress(i)}, Service: "stock"})
	defer caller.Close()
	entries, err := caller.Entries()
	require.NoError(t, err)
	return slices.Contains(entries.Addresses, address)
}

// awaitNamed waits until the given daemons name address, or no longer do.
func awaitNamed(t *testing.T, f *fleet.Fleet, address string, want bool, entries ...int) time.Duration {
	t.Helper()
	began := time.Now()
	for _, i := range entries {
		require.NoError(t, fleet.Await("entry VMs named", func() bool { return named(t, f, i, address) == want }))
	}
	return time.Since(began)
}

// startStock starts a cluster and accepts a service that all entry VMs serve.
func startStock(t *testing.T, entries, targets int) *fleet.Fleet {
	t.Helper()
	f := startCluster(t, entries, targets)
	operator := newOperator(f, targets)
	operator.entrySetSize = entries
	revision, err := operator.accept("ann")
	require.NoError(t, err)
	require.NoError(t, f.AwaitRevision(revision))
	return f
}

// TestDeadEntryVanishesWhileTheListShowsIt: the platform's list lags by a minute.
func TestDeadEntryVanishesWhileTheListShowsIt(t *testing.T) {
	f := startStock(t, 4, 1)
	others := []int{0, 1, 2}
	lost := f.EntryAddress(3)
	awaitNamed(t, f, lost, true, others...)
	require.NoError(t, f.SetPlatformFaults(platformd.Faults{ListLagMs: 60_000}))

	require.NoError(t, f.Signal(fleet.EntryName(3), syscall.SIGSTOP))
	t.Logf("frozen: not named after %s", awaitNamed(t, f, lost, false, others...))
	require.NoError(t, f.Signal(fleet.EntryName(3), syscall.SIGCONT))
	t.Logf("woken: named after %s", awaitNamed(t, f, lost, true, others...))

	require.NoError(t, f.Kill(fleet.EntryName(3)))
	t.Logf("killed: not named after %s", awaitNamed(t, f, lost, false, others...))
	require.NoError(t, f.StartEntry(3))
	t.Logf("restarted: named after %s", awaitNamed(t, f, lost, true, others...))
}

// TestMembersFindEachOtherInAnOutage: daemons that start while the platform is
// down find the others through the peers in their settings.
func TestMembersFindEachOtherInAnOutage(t *testing.T) {
	f := startStock(t, 4, 1)
	require.NoError(t, f.SetPlatformFaults(platformd.Faults{Down: true}))
	for i := range 4 {
		require.NoError(t, f.Kill(fleet.EntryName(i)))
		require.NoError(t, f.StartEntry(i))
		require.NoError(t, fleet.Await("members", func() bool {
			dump, err := f.Dump(i)
			return err == nil && dump.Revision == 1 && live(dump.Members) == 4
		}))
	}
}

func live(members []membership.Member) int {
	count := 0
	for _, member := range members {
		if member.State == membership.Live {
			count++
		}
	}
	return count
}
