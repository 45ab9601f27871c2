package rollout

import (
	"fmt"
	"strings"
)

// StaleError reports an acceptance based on a revision that is no longer in
// force.
type StaleError struct {
	// Base is the revision that the proposal started from.
	Base uint64
	// Current is the revision in force.
	Current uint64
	// Changes are the services that were accepted since Base, ordered by name.
	Changes []Change
	// Truncated is set when services may have been removed since Base that
	// Changes doesn't list, because the history doesn't reach back to Base.
	Truncated bool
}

// Error implements error.
func (e *StaleError) Error() string {
	text := fmt.Sprintf("rollout: proposal is based on revision %d, revision %d is in force", e.Base, e.Current)
	if len(e.Changes) == 0 {
		return text
	}
	parts := make([]string, len(e.Changes))
	for i, change := range e.Changes {
		parts[i] = change.String()
	}
	return text + "; changed since: " + strings.Join(parts, ", ")
}

// UnsureError reports an acceptance whose result could not be read back.
type UnsureError struct{ Cause error }

// Error implements error.
func (e *UnsureError) Error() string {
	return fmt.Sprintf("rollout: the acceptance may or may not have taken effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnsureError) Unwrap() error { return e.Cause }

// CorruptError reports a stored object that can't be used.
type CorruptError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("rollout: object %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// HashMismatchError reports a body that differs from its content address.
type HashMismatchError struct{ Want, Have string }

// Error implements error.
func (e *HashMismatchError) Error() string {
	return fmt.Sprintf("content address is %s, want %s", e.Have, e.Want)
}

// MissingBodyError reports a body that no source has.
type MissingBodyError struct{ Key string }

// Error implements error.
func (e *MissingBodyError) Error() string {
	return fmt.Sprintf("rollout: no source has body %q", e.Key)
}

// OlderHeadError reports that the platform holds an older revision than the one
// in force, as after a restore from a backup. It is not applied.
type OlderHeadError struct {
	Offered uint64
	Current uint64
}

// Error implements error.
func (e *OlderHeadError) Error() string {
	return fmt.Sprintf("rollout: the platform holds revision %d, revision %d is in force", e.Offered, e.Current)
}

// BehindError reports that too many bodies of the newest revision are missing.
type BehindError struct {
	// Revision is the newest one.
	Revision uint64
	Missing  int
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("rollout: %d bodies of revision %d are missing", e.Missing, e.Revision)
}
