package cluster

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// load calls a service from several goroutines and keeps what went wrong.
type load struct {
	client *client.Client
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	calls    int
	problems []string
	// unrecorded counts bookings that were not answered because the platform
	// could not record them.
	unrecorded int
}

// startLoad makes calls, every fourth one a booking, until end. The callers pause
// so that connections are idle at times.
func startLoad(f *fleet.Fleet, callers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel, client: client.New(client.Options{Bootstrap: f.EntryAddresses(), Service: "stock"})}
	for caller := range callers {
		l.done.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				l.call(caller, i)
				time.Sleep(time.Duration(i%7) * 3 * time.Millisecond)
			}
		})
	}
	return l
}

func (l *load) call(caller, i int) {
	request := client.Request{Type: "availability", Path: "/", Body: fmt.Appendf(nil, "%d-%d", caller, i), Timeout: 5 * time.Second}
	if i%4 == 0 {
		key, err := l.client.NewKey()
		if err != nil {
			l.note(fmt.Sprintf("key: %v", err))
			return
		}
		request.Type, request.Key = "book", key
	}
	entries, err := l.client.Entries()
	if err != nil {
		l.note(err.Error())
		return
	}
	// The client's own failover would hide a connection that is refused.
	address := entries.Addresses[(caller+i)%len(entries.Addresses)]
	answer, err := l.client.DoAt(context.Background(), address, request)
	switch {
	case err != nil:
		l.note(err.Error())
	case request.Key != "" && answer.Reason == reasonUnrecorded:
		l.noteUnrecorded()
	case answer.Outcome != client.Ran || answer.Status != 200:
		l.note(fmt.Sprintf("%s at %s: status %d reason %q", answer.Outcome, answer.Entry, answer.Status, answer.Reason))
	default:
		l.note("")
	}
}

// reasonUnrecorded is the reason of a booking that the platform could not record.
const reasonUnrecorded = "record_unavailable"

func (l *load) noteUnrecorded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	l.unrecorded++
}

func (l *load) note(problem string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if problem != "" {
		l.problems = append(l.problems, problem)
	}
}

// end stops the load and fails the test if a call went wrong.
func (l *load) end(t *testing.T) {
	t.Helper()
	l.stop()
	l.done.Wait()
	l.client.Close()
	t.Logf("%d calls, %d bookings not recorded", l.calls, l.unrecorded)
	require.Empty(t, l.problems)
}

// endPlatformUp is end for a load that met no outage of the platform.
func (l *load) endPlatformUp(t *testing.T) {
	t.Helper()
	l.end(t)
	require.Zero(t, l.unrecorded)
}

// TestRollingRestartCutsNoRequest restarts all entry VMs, one after another,
// under load.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	const entries = 3
	f := startStock(t, entries, 4)
	load := startLoad(f, 16)
	for i := range entries {
		name := fleet.EntryName(i)
		require.NoError(t, f.Signal(name, syscall.SIGTERM))
		others := []int{(i + 1) % entries, (i + 2) % entries}
		t.Logf("%s leaving: not named after %s", name, awaitNamed(t, f, f.EntryAddress(i), false, others...))
		require.NoError(t, f.AwaitExit(name))
		require.NoError(t, f.StartEntry(i))
		require.NoError(t, f.AwaitRevision(1))
	}
	load.endPlatformUp(t)
}

// TestQuietCallerIsServedUntilItForgets: a caller that was given the list just
// before an entry VM leaves, and that calls it only at the end of the keep time,
// is served.
func TestQuietCallerIsServedUntilItForgets(t *testing.T) {
	f := startStock(t, 3, 2)
	caller := client.New(client.Options{Bootstrap: []string{f.EntryAddress(0)}, Service: "stock"})
	defer caller.Close()
	entries, err := caller.Entries()
	require.NoError(t, err)
	require.Contains(t, entries.Addresses, f.EntryAddress(1))
	require.NoError(t, f.Signal(fleet.EntryName(1), syscall.SIGTERM))
	time.Sleep(entries.Keep)
	answer, err := caller.DoAt(context.Background(), f.EntryAddress(1), client.Request{Type: "availability", Path: "/", Timeout: 5 * time.Second})
	require.NoError(t, err)
	require.Equal(t, client.Ran, answer.Outcome)
	require.NoError(t, f.AwaitExit(fleet.EntryName(1)))
}

// TestAllEntriesLeaveAtOnce: what is in flight when every entry VM leaves is
// answered.
func TestAllEntriesLeaveAtOnce(t *testing.T) {
	f := startStock(t, 3, 4)
	load := startLoad(f, 16)
	time.Sleep(500 * time.Millisecond)
	for i := range 3 {
		require.NoError(t, f.Signal(fleet.EntryName(i), syscall.SIGTERM))
	}
	time.Sleep(500 * time.Millisecond)
	load.endPlatformUp(t)
	for i := range 3 {
		require.NoError(t, f.AwaitExit(fleet.EntryName(i)))
	}
}

// TestListedLeavingTargetGetsNoNewWork: the platform's list alone says that a
// target leaves, and later that it is back.
func TestListedLeavingTargetGetsNoNewWork(t *testing.T) {
	f := startStock(t, 2, 3)
	load := startLoad(f, 8)
	require.NoError(t, f.SetTargetState(0, platform.VMLeaving))
	for i := range 2 {
		require.NoError(t, fleet.Await("leaving target without attempts", func() bool { return leftAlone(f, i) }))
	}
	before, err := f.Journal(0)
	require.NoError(t, err)
	time.Sleep(time.Second)
	after, err := f.Journal(0)
	require.NoError(t, err)
	require.Len(t, after, len(before))
	require.NoError(t, f.SetTargetState(0, platform.VMLive))
	require.NoError(t, fleet.Await("work at the target", func() bool {
		runs, err := f.Journal(0)
		return err == nil && len(runs) > len(after)
	}))
	load.endPlatformUp(t)
}

// leftAlone reports whether an entry daemon takes target 0 to be leaving and has
// no attempt in flight there.
func leftAlone(f *fleet.Fleet, entry int) bool {
	dump, err := f.Dump(entry)
	if err != nil {
		return false
	}
	for _, target := range dump.Targets {
		if target.Name == fleet.TargetName(0) {
			return target.Leaving && target.InFlight == 0
		}
	}
	return false
}
