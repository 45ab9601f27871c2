package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// largeConfiguration is a configuration of many services whose targets don't run.
type largeConfiguration struct {
	services int
	targets  int
}

func (l largeConfiguration) accept(store platform.Store) (uint64, error) {
	var services []*config.Service
	for i := range l.services {
		services = append(services, l.service(i, 2))
	}
	return acceptServices(store, services)
}

func acceptServices(store platform.Store, services []*config.Service) (uint64, error) {
	head, _, err := rollout.ReadHead(store)
	if err != nil {
		return 0, err
	}
	return rollout.Accept(store, rollout.Acceptance{
		Base: head.Revision, Services: services, By: "ann", At: time.Now(), ID: uuid.NewString(),
	})
}

func (l largeConfiguration) service(i, entrySetSize int) *config.Service {
	service := &config.Service{
		Name:         fmt.Sprintf("service-%03d", i),
		Team:         "swanbrook",
		EntrySetSize: entrySetSize,
		Policy:       config.PolicyLeast,
		RetryShare:   0.1,
		Groups:       []config.TargetGroup{{Name: "all", Slots: 3, MaxConnections: 200}},
		RequestTypes: []config.RequestType{
			{Name: "availability", DeadlineMs: 200, Idempotent: true, MaxAttempts: 2, HedgeAfterMs: 50, PlatformDown: config.OutageServe},
			{Name: "book", DeadlineMs: 2000, MaxAttempts: 2, PlatformDown: config.OutageServe},
		},
	}
	for target := range l.targets {
		service.Groups[0].Targets = append(service.Groups[0].Targets, config.Target{
			Name:    fmt.Sprintf("service-%03d-target-%02d", i, target),
			Address: fmt.Sprintf("127.250.%d.%d:8000", i%250, 1+target),
			Zone:    fleet.Zone(target),
		})
	}
	return service
}

// TestDesignSize measures what control costs a daemon with 440 services and
// 3,960 targets. The number of daemons and the length in seconds of the
// measurement are set by POPLARWHEEL_SIZE_ENTRIES and POPLARWHEEL_SIZE_SECONDS.
func TestDesignSize(t *testing.T) {
	entries := setting("POPLARWHEEL_SIZE_ENTRIES", 4)
	seconds := setting("POPLARWHEEL_SIZE_SECONDS", 2)
	f := startCluster(t, entries, 0)
	store := platform.NewClient(f.Platform, 2*time.Second)
	size := largeConfiguration{services: 440, targets: 9}
	began := time.Now()
	revision, err := size.accept(store)
	require.NoError(t, err)
	t.Logf("accepted 440 services in %s", time.Since(began))
	began = time.Now()
	require.NoError(t, f.AwaitRevision(revision))
	t.Logf("440 changes in force at %d daemons after %s", entries, time.Since(began))

	head, err := store.Get(rollout.HeadKey)
	require.NoError(t, err)
	t.Logf("the head has %d bytes", len(head.Value))
	seen := watchRevisions(f, entries)
	var all []int
	for i := range entries {
		all = append(all, i)
	}
	for i := range 3 {
		revision, err = acceptServices(store, []*config.Service{size.service(i, 3)})
		require.NoError(t, err)
		t.Logf("1 change in force everywhere after %s", seen.await(t, revision, all...))
	}
	seen.end(t)
	measureQuiet(t, f, entries, time.Duration(seconds)*time.Second)
}

func setting(name string, absent int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return absent
}

// measureQuiet logs what control costs the daemons while nothing happens.
func measureQuiet(t *testing.T, f *fleet.Fleet, entries int, length time.Duration) {
	t.Helper()
	time.Sleep(2 * time.Second)
	before, cpuBefore := sample(t, f, entries)
	countsBefore, err := f.PlatformCounts()
	require.NoError(t, err)
	time.Sleep(length)
	after, cpuAfter := sample(t, f, entries)
	countsAfter, err := f.PlatformCounts()
	require.NoError(t, err)
	share := length.Seconds() * float64(entries)
	t.Logf("%d daemons, %s, a daemon: %.1f messages/s and %.0f bytes/s sent to peers, %.2f platform calls/s, %.2f%% of a core, %.1f MB resident",
		entries, length,
		float64(after.MessagesSent-before.MessagesSent)/share,
		float64(after.BytesSent-before.BytesSent)/share,
		float64(calls(countsAfter)-calls(countsBefore))/share,
		100*(cpuAfter-cpuBefore).Seconds()/share,
		residentMB(t, f, entries))
}

type traffic struct{ MessagesSent, BytesSent uint64 }

// sample sums the traffic and the processor time of all daemons.
func sample(t *testing.T, f *fleet.Fleet, entries int) (sum traffic, cpu time.Duration) {
	t.Helper()
	for i := range entries {
		dump, err := f.Dump(i)
		require.NoError(t, err)
		sum.MessagesSent += dump.Peers.MessagesSent
		sum.BytesSent += dump.Peers.BytesSent
		cpu += processorTime(t, f.Pid(fleet.EntryName(i)))
	}
	return sum, cpu
}

// processorTime returns the user and system time of a process.
func processorTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	const clockTick = 10 * time.Millisecond
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks int
	for _, field := range fields[11:13] {
		count, err := strconv.Atoi(field)
		require.NoError(t, err)
		ticks += count
	}
	return time.Duration(ticks) * clockTick
}

// residentMB returns the mean resident memory of the daemons.
func residentMB(t *testing.T, f *fleet.Fleet, entries int) float64 {
	t.Helper()
	var pages int
	for i := range entries {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", f.Pid(fleet.EntryName(i))))
		require.NoError(t, err)
		resident, err := strconv.Atoi(strings.Fields(string(data))[1])
		require.NoError(t, err)
		pages += resident
	}
	return float64(pages) * float64(os.Getpagesize()) / float64(entries) / (1 << 20)
}
