package e2e

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
	system "github.com/poplarwheel/poplarwheel/test/fleet"
)

// bookingTimeout is the agreed time of a booking.
const bookingTimeout = 10 * time.Second

// bookings is a fleet with a service whose bookings are recorded.
type bookings struct {
	*system.Fleet
	t       *testing.T
	targets int
	caller  *client.Client
}

func startBookings(t *testing.T, entries, targets int) *bookings {
	t.Helper()
	return startBookingsWith(t, entries, targets, questionnaire.HarmGrave)
}

// startBookingsWith starts a fleet whose bookings do the given harm when they
// run twice. Those of grave harm are recorded.
func startBookingsWith(t *testing.T, entries, targets int, ifDoubled questionnaire.Harm) *bookings {
	t.Helper()
	started, err := system.Start(system.Options{
		Binary: binary, Dir: t.TempDir(), Entries: entries, Targets: targets,
		Settings: map[string]any{"keep_seconds": 1},
	})
	require.NoError(t, err)
	t.Cleanup(started.Close)
	b := &bookings{Fleet: started, t: t, targets: targets}
	b.caller = client.New(client.Options{Bootstrap: b.EntryAddresses(), Service: "bookings"})
	revision, err := b.Accept(b.answers(ifDoubled), "test")
	require.NoError(t, err)
	require.NoError(t, b.AwaitRevision(revision))
	return b
}

func (b *bookings) answers(ifDoubled questionnaire.Harm) *questionnaire.Answers {
	return &questionnaire.Answers{Team: "swanbrook", Services: []questionnaire.Service{{
		Name: "bookings", Priority: questionnaire.PriorityCost, TypicalMs: 5, SlotsPerServer: 3, ConnectionsPerServer: 200,
		Requests: []questionnaire.Request{{
			Name: "book", AgreedMs: int(bookingTimeout.Milliseconds()),
			IfLate: questionnaire.HarmMinor, IfLost: questionnaire.HarmMinor, IfDoubled: ifDoubled,
		}},
		Servers: b.Servers(0, b.targets-1),
	}}}
}

// recordedKey returns a key whose recorded token comes from entry daemon i.
func (b *bookings) recordedKey(i int) string {
	b.t.Helper()
	var key string
	require.NoError(b.t, system.Await("a recorded token", func() bool {
		asking := client.New(client.Options{Bootstrap: []string{b.EntryAddress(i)}, Service: "bookings"})
		var err error
		key, err = asking.NewKey()
		if err != nil {
			return false
		}
		parsed, err := idempotency.ParseKey(key)
		return err == nil && parsed.Token.Kind == idempotency.Recorded && parsed.Token.Home.VM == system.EntryName(i)
	}))
	return key
}

// unrecordedKey returns a key whose unrecorded token comes from entry daemon i.
func (b *bookings) unrecordedKey(i int) string {
	b.t.Helper()
	asking := client.New(client.Options{Bootstrap: []string{b.EntryAddress(i)}, Service: "bookings"})
	key, err := asking.NewKey()
	require.NoError(b.t, err)
	parsed, err := idempotency.ParseKey(key)
	require.NoError(b.t, err)
	require.Equal(b.t, idempotency.Unrecorded, parsed.Token.Kind)
	return key
}

func (b *bookings) book(entry int, key string, resend int, timeout time.Duration) (client.Answer, error) {
	return b.caller.DoAt(context.Background(), b.EntryAddress(entry), client.Request{
		Type: "book", Path: "/book", Body: []byte("red carpet"), Timeout: timeout, Key: key, Resend: resend,
	})
}

// mustBook books and expects an outcome.
func (b *bookings) mustBook(want client.Outcome, entry int, key string, resend int) client.Answer {
	b.t.Helper()
	answer, err := b.book(entry, key, resend, bookingTimeout)
	require.NoError(b.t, err)
	require.Equal(b.t, want, answer.Outcome, "reason %s", answer.Reason)
	return answer
}

// runs counts how often the targets began to run a key.
func (b *bookings) runs(key string) int {
	b.t.Helper()
	count := 0
	for i := range b.targets {
		journal, err := b.Journal(i)
		require.NoError(b.t, err)
		for _, run := range journal {
			if run.Key == key {
				count++
			}
		}
	}
	return count
}

// slowDown makes every target take much longer.
func (b *bookings) slowDown(factor float64) {
	b.t.Helper()
	for i := range b.targets {
		require.NoError(b.t, b.SetTargetFaults(i, targetd.Faults{SlowFactor: factor}))
	}
}

// bookInBackground sends a booking that nobody waits for.
func (b *bookings) bookInBackground(entry int, key string) {
	go func() { _, _ = b.book(entry, key, 0, bookingTimeout) }()
}

func (b *bookings) awaitRun(key string) {
	b.t.Helper()
	require.NoError(b.t, system.Await("the booking to begin", func() bool { return b.runs(key) > 0 }))
}

func TestResendToAnotherEntryGetsTheRecordedAnswer(t *testing.T) {
	b := startBookings(t, 3, 2)
	key := b.recordedKey(0)
	first := b.mustBook(client.Ran, 0, key, 0)
	require.Equal(t, first.Body, b.mustBook(client.Ran, 1, key, 1).Body)
	require.NoError(t, system.Await("the outcome to be recorded", func() bool {
		dump, err := b.Dump(0)
		return err == nil && dump.Records.Groups >= 2
	}))
	require.NoError(t, b.Kill(system.EntryName(0)))
	require.Equal(t, first.Body, b.mustBook(client.Ran, 2, key, 2).Body)
	require.Equal(t, 1, b.runs(key))
}

func TestOtherContentUnderTheSameKeyIsRefused(t *testing.T) {
	b := startBookings(t, 2, 1)
	key := b.recordedKey(0)
	b.mustBook(client.Ran, 1, key, 0)
	answer, err := b.caller.DoAt(context.Background(), b.EntryAddress(1), client.Request{
		Type: "book", Path: "/book", Body: []byte("other carpet"), Timeout: bookingTimeout, Key: key, Resend: 1,
	})
	require.NoError(t, err)
	require.Equal(t, "idempotency_key_reused", answer.Reason)
	require.Equal(t, 1, b.runs(key))
}

// The entry daemon dies after its intent is recorded and before its outcome is.
func TestEntryKilledBetweenIntentAndOutcome(t *testing.T) {
	b := startBookings(t, 3, 2)
	key := b.recordedKey(0)
	b.slowDown(200)
	b.bookInBackground(0, key)
	b.awaitRun(key)
	require.NoError(t, b.Kill(system.EntryName(0)))
	b.mustBook(client.Unknown, 1, key, 1)
	b.mustBook(client.Unknown, 2, key, 2)
	require.NoError(t, b.StartEntry(0))
	require.NoError(t, system.Await("the entry daemon", func() bool {
		dump, err := b.Dump(0)
		return err == nil && dump.Revision > 0
	}))
	b.mustBook(client.Unknown, 0, key, 3)
	require.Equal(t, 1, b.runs(key))
}

// The entry daemon freezes while the booking runs, the caller resends elsewhere,
// and the daemon wakes up.
func TestEntryFrozenWhileTheBookingRuns(t *testing.T) {
	b := startBookings(t, 3, 2)
	key := b.recordedKey(0)
	b.slowDown(200)
	b.bookInBackground(0, key)
	b.awaitRun(key)
	require.NoError(t, b.Signal(system.EntryName(0), syscall.SIGSTOP))
	answer, err := b.book(1, key, 1, time.Second)
	require.NoError(t, err)
	require.Equal(t, client.Unknown, answer.Outcome, "reason %s", answer.Reason)
	require.NoError(t, b.Signal(system.EntryName(0), syscall.SIGCONT))
	b.mustBook(client.Ran, 1, key, 2)
	require.Equal(t, 1, b.runs(key))
}

// The maker of the record is frozen before the booking comes; another entry
// daemon adds to the record, and the maker finds the conflict when it wakes.
func TestRecordIsUsedWhileItsMakerIsFrozen(t *testing.T) {
	b := startBookings(t, 3, 2)
	first, second := b.recordedKey(0), b.recordedKey(0)
	require.NoError(t, b.Signal(system.EntryName(0), syscall.SIGSTOP))
	answer := b.mustBook(client.Ran, 1, first, 0)
	require.NoError(t, b.Signal(system.EntryName(0), syscall.SIGCONT))
	require.Equal(t, answer.Body, b.mustBook(client.Ran, 0, first, 1).Body)
	b.mustBook(client.Ran, 0, second, 0)
	require.Equal(t, 1, b.runs(first))
	require.Equal(t, 1, b.runs(second))
}

func TestLostAnswersOfThePlatform(t *testing.T) {
	b := startBookings(t, 2, 2)
	keys := []string{b.recordedKey(0), b.recordedKey(1), b.recordedKey(0)}
	require.NoError(t, b.SetPlatformFaults(platformd.Faults{LoseWriteAnswers: true}))
	for i, key := range keys {
		b.mustBook(client.Ran, i%2, key, 0)
	}
	require.NoError(t, b.SetPlatformFaults(platformd.Faults{}))
	for i, key := range keys {
		b.mustBook(client.Ran, (i+1)%2, key, 1)
		require.Equal(t, 1, b.runs(key))
	}
}

// In an outage a recorded key can't run: the first send is told so, a resend is
// told nothing. New tokens are unrecorded, and these rules refuse them.
func TestPlatformDown(t *testing.T) {
	b := startBookings(t, 2, 2)
	key, used := b.recordedKey(0), b.recordedKey(0)
	b.mustBook(client.Ran, 0, used, 0)
	require.NoError(t, b.SetPlatformFaults(platformd.Faults{Down: true}))
	b.mustBook(client.NotRun, 0, key, 0)
	b.mustBook(client.Unknown, 0, key, 1)
	b.mustBook(client.Ran, 0, used, 1)

	unrecorded := b.unrecordedKey(0)
	require.Equal(t, "record_required", b.mustBook(client.NotRun, 0, unrecorded, 0).Reason)
	b.mustBook(client.NotRun, 1, unrecorded, 1)

	require.NoError(t, b.SetPlatformFaults(platformd.Faults{}))
	b.mustBook(client.Ran, 1, b.recordedKey(0), 0)
	b.mustBook(client.Ran, 0, key, 2)
	require.Equal(t, 1, b.runs(key))
	require.Equal(t, 1, b.runs(used))
}

// An unrecorded key is decided about by the daemon that handed its token out,
// wherever it arrives.
func TestUnrecordedKeyAtAnotherEntry(t *testing.T) {
	b := startBookingsWith(t, 2, 2, questionnaire.HarmMinor)
	key, unused := b.unrecordedKey(0), b.unrecordedKey(0)
	first := b.mustBook(client.Ran, 1, key, 0)
	require.Equal(t, first.Body, b.mustBook(client.Ran, 0, key, 1).Body)
	require.Equal(t, first.Body, b.mustBook(client.Ran, 1, key, 2).Body)
	require.Equal(t, 1, b.runs(key))
	require.NoError(t, b.Kill(system.EntryName(0)))
	b.mustBook(client.Unknown, 1, key, 3)
	b.mustBook(client.NotRun, 1, unused, 0)
	b.mustBook(client.Unknown, 1, unused, 1)
	require.Equal(t, 1, b.runs(key))
	require.Equal(t, 0, b.runs(unused))
}
