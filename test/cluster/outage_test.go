package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// TestServingGoesOnWithoutThePlatform: calls are answered while the platform is
// down, slow and flapping, bookings that need a record run or say that there is
// none, and the platform's return makes no stampede of 13 daemons.
func TestServingGoesOnWithoutThePlatform(t *testing.T) {
	const entries = 13
	f := startStock(t, entries, 3)
	load := startLoad(f, 4)
	phases := []struct {
		name   string
		faults platformd.Faults
		length time.Duration
	}{
		{"up", platformd.Faults{}, 4 * time.Second},
		{"down", platformd.Faults{Down: true}, 8 * time.Second},
		{"back", platformd.Faults{}, 4 * time.Second},
		{"slow", platformd.Faults{DelayMs: 900}, 4 * time.Second},
		{"flapping", platformd.Faults{FlapUpMs: 300, FlapDownMs: 700}, 6 * time.Second},
		{"back again", platformd.Faults{}, 4 * time.Second},
	}
	for _, phase := range phases {
		require.NoError(t, f.SetPlatformFaults(phase.faults))
		before, err := f.PlatformCounts()
		require.NoError(t, err)
		time.Sleep(phase.length)
		after, err := f.PlatformCounts()
		require.NoError(t, err)
		perDaemon := float64(calls(after)-calls(before)) / phase.length.Seconds() / entries
		t.Logf("%s: %.2f calls/s a daemon, peak so far %d calls/s of all", phase.name, perDaemon, after.PeakPerSecond)
	}
	counts, err := f.PlatformCounts()
	require.NoError(t, err)
	require.Zero(t, counts.LimitedReads)
	require.Zero(t, counts.LimitedWrites)
	require.Less(t, counts.PeakPerSecond, uint64(platformd.DefaultReadsPerSecond))
	load.end(t)
}

func calls(c platformd.Counts) uint64 {
	return c.Reads + c.Writes + c.Watches + c.Lists + c.Unavailable + c.LimitedReads + c.LimitedWrites
}

// TestAllDaemonsStartAtOnce: 13 daemons with nothing in memory read a large
// configuration within the platform's rates.
func TestAllDaemonsStartAtOnce(t *testing.T) {
	const entries = 13
	f := startCluster(t, entries, 0)
	size := largeConfiguration{services: 200, targets: 9}
	revision, err := size.accept(platform.NewClient(f.Platform, 2*time.Second))
	require.NoError(t, err)
	require.NoError(t, f.AwaitRevision(revision))
	for i := range entries {
		require.NoError(t, f.Kill(fleet.EntryName(i)))
	}
	before, err := f.PlatformCounts()
	require.NoError(t, err)
	began := time.Now()
	for i := range entries {
		require.NoError(t, f.StartEntry(i))
	}
	require.NoError(t, f.AwaitRevision(revision))
	after, err := f.PlatformCounts()
	require.NoError(t, err)
	t.Logf("in force everywhere after %s, %d calls, peak %d calls/s", time.Since(began), calls(after)-calls(before), after.PeakPerSecond)
	require.Zero(t, after.LimitedReads)
}
