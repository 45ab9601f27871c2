package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// TestPeerTellsOfLeavingTarget: with the platform down and health that lies, one
// daemon learns from an answer that a target is leaving, and the others from it.
func TestPeerTellsOfLeavingTarget(t *testing.T) {
	const entries = 3
	f := startStock(t, entries, 2)
	require.NoError(t, f.SetPlatformFaults(platformd.Faults{Down: true}))
	require.NoError(t, f.SetTargetFaults(0, targetd.Faults{Leaving: true, LieHealthy: true}))
	caller := client.New(client.Options{Bootstrap: []string{f.EntryAddress(0)}, Service: "stock"})
	defer caller.Close()
	for i := range entries {
		require.NoError(t, fleet.Await(fmt.Sprintf("%s to know", fleet.EntryName(i)), func() bool {
			if i == 0 {
				_, _ = caller.DoAt(context.Background(), f.EntryAddress(0), client.Request{Type: "availability", Path: "/", Timeout: time.Second})
			}
			return seenLeaving(f, i)
		}))
	}
}

// TestDaemonStartedInAnOutageKnowsLeavingTargets: it asks its peers before it
// serves, so that the target gets nothing from it.
func TestDaemonStartedInAnOutageKnowsLeavingTargets(t *testing.T) {
	f := startStock(t, 3, 2)
	require.NoError(t, f.SetTargetFaults(0, targetd.Faults{Leaving: true, LieHealthy: true}))
	caller := client.New(client.Options{Bootstrap: []string{f.EntryAddress(0)}, Service: "stock"})
	defer caller.Close()
	require.NoError(t, fleet.Await("the first daemon to know", func() bool {
		_, _ = caller.DoAt(context.Background(), f.EntryAddress(0), client.Request{Type: "availability", Path: "/", Timeout: time.Second})
		return seenLeaving(f, 0)
	}))
	replaceInOutage(t, f, 2)
	require.True(t, seenLeaving(f, 2))
}

// TestDaemonStartedInAnOutageKnowsTheList: its peers pass on what the list showed,
// and it takes that back once the list says so.
func TestDaemonStartedInAnOutageKnowsTheList(t *testing.T) {
	f := startStock(t, 3, 2)
	require.NoError(t, f.SetTargetState(0, platform.VMLeaving))
	require.NoError(t, fleet.Await("the first daemon to know", func() bool { return seenLeaving(f, 0) }))
	replaceInOutage(t, f, 2)
	require.True(t, seenLeaving(f, 2))

	require.NoError(t, f.SetTargetState(0, platform.VMLive))
	require.NoError(t, f.SetPlatformFaults(platformd.Faults{}))
	require.NoError(t, fleet.Await("the target to be back", func() bool { return !seenLeaving(f, 2) }))
}

// replaceInOutage kills an entry daemon, takes the platform down and starts the
// daemon again, until it has a configuration.
func replaceInOutage(t *testing.T, f *fleet.Fleet, entry int) {
	t.Helper()
	require.NoError(t, f.Kill(fleet.EntryName(entry)))
	require.NoError(t, f.SetPlatformFaults(platformd.Faults{Down: true}))
	require.NoError(t, f.StartEntry(entry))
	require.NoError(t, fleet.Await("the configuration", func() bool {
		ready, err := f.Ready(entry)
		return err == nil && ready.Revision > 0
	}))
}

// seenLeaving reports whether entry daemon i takes target 0 to be leaving.
func seenLeaving(f *fleet.Fleet, i int) bool {
	dump, err := f.Dump(i)
	if err != nil {
		return false
	}
	for _, target := range dump.Targets {
		if target.Name == fleet.TargetName(0) {
			return target.Leaving
		}
	}
	return false
}
