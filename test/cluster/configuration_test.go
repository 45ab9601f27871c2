package cluster

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// TestConfigurationReachesAllAndNeverStepsBack goes through the failures of the
// platform and of daemons, one on top of the other.
func TestConfigurationReachesAllAndNeverStepsBack(t *testing.T) {
	const entries = 5
	f := startCluster(t, entries, 2)
	operator := newOperator(f, 2)
	all := []int{0, 1, 2, 3, 4}
	seen := watchRevisions(f, entries)

	revision, err := operator.accept("ann")
	require.NoError(t, err)
	t.Logf("watches work: in force everywhere after %s", seen.await(t, revision, all...))

	for _, fault := range []struct {
		name   string
		faults platformd.Faults
	}{
		{"broken watches", platformd.Faults{BreakWatches: true}},
		{"mute watches", platformd.Faults{MuteWatches: true}},
		{"silent watches", platformd.Faults{SilentWatches: true}},
		{"300 ms slowness", platformd.Faults{DelayMs: 300}},
	} {
		require.NoError(t, f.SetPlatformFaults(fault.faults))
		revision, err = operator.accept("ann")
		require.NoError(t, err)
		t.Logf("%s: in force everywhere after %s", fault.name, seen.await(t, revision, all...))
	}

	require.NoError(t, f.SetPlatformFaults(platformd.Faults{LoseWriteShare: 0.3, Seed: 1, SilentWatches: true}))
	highest := raceOperators(t, operator, 3, 5)
	t.Logf("lost answers, silent watches: in force everywhere after %s", seen.await(t, highest, all...))

	// One daemon is frozen with an old revision, another one starts with nothing
	// in the middle of an outage.
	require.NoError(t, f.SetPlatformFaults(platformd.Faults{}))
	require.NoError(t, f.Signal(fleet.EntryName(4), syscall.SIGSTOP))
	newest, err := operator.accept("bob")
	require.NoError(t, err)
	seen.await(t, newest, 0, 1, 2, 3)
	require.NoError(t, f.SetPlatformFaults(platformd.Faults{Down: true}))
	require.NoError(t, f.Kill(fleet.EntryName(3)))
	seen.forget(3)
	require.NoError(t, f.StartEntry(3))
	t.Logf("restarted in an outage: in force after %s", seen.await(t, newest, 3))
	dump, err := f.Dump(3)
	require.NoError(t, err)
	require.NotEqual(t, rollout.SourcePlatform, dump.Configuration.Source)
	require.NoError(t, f.Signal(fleet.EntryName(4), syscall.SIGCONT))
	t.Logf("woken in an outage: in force after %s", seen.await(t, newest, 4))

	// The platform flaps, and then comes back.
	require.NoError(t, f.SetPlatformFaults(platformd.Faults{FlapUpMs: 400, FlapDownMs: 600}))
	revision, err = operator.accept("ann")
	for err != nil {
		revision, err = operator.accept("ann")
	}
	require.Greater(t, revision, newest)
	t.Logf("flapping: in force everywhere after %s", seen.await(t, revision, all...))
	seen.end(t)
}

// raceOperators accepts revisions side by side and returns the highest one. Each
// revision belongs to one operator.
func raceOperators(t *testing.T, o *operator, operators, changes int) uint64 {
	t.Helper()
	var mu sync.Mutex
	var done sync.WaitGroup
	owners := map[uint64]string{}
	var highest uint64
	var problems []string
	for i := range operators {
		done.Go(func() {
			for range changes {
				by := fmt.Sprintf("operator-%d", i)
				revision, err := o.accept(by)
				mu.Lock()
				var stale *rollout.StaleError
				switch {
				case errors.As(err, &stale):
				case err != nil:
					problems = append(problems, err.Error())
				case owners[revision] != "":
					problems = append(problems, fmt.Sprintf("revision %d given to %s and %s", revision, owners[revision], by))
				default:
					owners[revision] = by
					highest = max(highest, revision)
				}
				mu.Unlock()
			}
		})
	}
	done.Wait()
	require.Empty(t, problems)
	head, _, err := rollout.ReadHead(o.store)
	require.NoError(t, err)
	require.Equal(t, highest, head.Revision)
	return highest
}
