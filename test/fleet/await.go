package fleet

import (
	"fmt"
	"net"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/membership"
)

// TimeoutError reports a condition that didn't come true.
type TimeoutError struct{ Waiting string }

// Error implements error.
func (e *TimeoutError) Error() string { return "fleet: timed out waiting for " + e.Waiting }

// AwaitRevision waits until every entry daemon has applied a revision and sees
// every entry VM live.
func (f *Fleet) AwaitRevision(revision uint64) error {
	for i := range f.options.Entries {
		err := Await(fmt.Sprintf("revision %d at %s", revision, EntryName(i)), func() bool {
			dump, err := f.Dump(i)
			return err == nil && dump.Revision >= revision && liveMembers(dump) >= f.options.Entries
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func liveMembers(dump daemon.Dump) int {
	live := 0
	for _, member := range dump.Members {
		if member.State == membership.Live {
			live++
		}
	}
	return live
}

// settleTimeout bounds every wait for a condition.
const settleTimeout = 30 * time.Second

// Await polls until done returns true. The error is a *TimeoutError.
func Await(waiting string, done func() bool) error {
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		if done() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return &TimeoutError{Waiting: waiting}
}

func listening(address string) bool {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}
