package quarantine

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

const (
	// StoredKey is the platform key of the object that keeps quarantined contents over
	// a restart of all daemons.
	StoredKey = "quarantine/contents"
	// maxStored bounds the contents that are kept.
	maxStored = 256
	// storedTries bounds the conditional updates of one change.
	storedTries = 8
)

// Change is one change of the kept contents: exactly one field is set.
type Change struct {
	// Add is content that was quarantined.
	Add *Suspect
	// Remove is content whose quarantine was lifted.
	Remove Content
}

// StoredError reports kept contents that can't be read.
type StoredError struct{ Cause error }

// Error implements error.
func (e *StoredError) Error() string { return fmt.Sprintf("quarantine: %s: %v", StoredKey, e.Cause) }

// Unwrap returns the cause.
func (e *StoredError) Unwrap() error { return e.Cause }

// stored is the value of the object.
type stored struct {
	Suspects []Suspect `json:"suspects"`
}

// ReadStored returns the kept contents that haven't expired. Errors are *StoredError
// and those of platform.Store; an object that doesn't exist is none.
func ReadStored(store platform.Store, now time.Time) ([]Suspect, error) {
	kept, _, err := readStored(store, now)
	return kept.Suspects, err
}

func readStored(store platform.Store, now time.Time) (stored, platform.Version, error) {
	object, err := store.Get(StoredKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return stored{}, 0, nil
	}
	if err != nil {
		return stored{}, 0, err
	}
	var kept stored
	if err := json.Unmarshal(object.Value, &kept); err != nil {
		return stored{}, object.Version, &StoredError{Cause: err}
	}
	kept.expire(now)
	return kept, object.Version, nil
}

// UpdateStored applies changes by a conditional update. Each change has the same
// effect once or twice, so one whose answer was lost is simply applied again. An
// object that can't be read is replaced. The error is one of platform.Store.
func UpdateStored(store platform.Store, now time.Time, changes []Change) error {
	var last error
	for range storedTries {
		done, err := updateStored(store, now, changes)
		if done {
			return err
		}
		last = err
	}
	return last
}

// updateStored tries once. It returns false if another try may succeed.
func updateStored(store platform.Store, now time.Time, changes []Change) (done bool, err error) {
	kept, version, err := readStored(store, now)
	var unreadable *StoredError
	if err != nil && !errors.As(err, &unreadable) {
		return true, err
	}
	changed := unreadable != nil
	for _, change := range changes {
		changed = kept.apply(change) || changed
	}
	if !changed {
		return true, nil
	}
	kept.bound()
	value, err := json.Marshal(kept)
	if err != nil {
		return true, err
	}
	if version == 0 {
		_, err = store.Create(StoredKey, value)
	} else {
		_, err = store.Update(StoredKey, version, value)
	}
	var conflict *platform.ConflictError
	return !errors.As(err, &conflict), err
}

// apply changes the contents and reports whether that made a difference.
func (s *stored) apply(change Change) bool {
	if change.Add == nil {
		before := len(s.Suspects)
		s.Suspects = slices.DeleteFunc(s.Suspects, func(kept Suspect) bool { return kept.Content == change.Remove })
		return len(s.Suspects) < before
	}
	for i := range s.Suspects {
		if kept := &s.Suspects[i]; kept.Content == change.Add.Content {
			before := len(kept.Deaths)
			for _, death := range change.Add.Deaths {
				kept.add(death)
			}
			return len(kept.Deaths) > before
		}
	}
	s.Suspects = append(s.Suspects, *change.Add)
	return true
}

// expire drops what no longer counts.
func (s *stored) expire(now time.Time) {
	s.Suspects = slices.DeleteFunc(s.Suspects, func(kept Suspect) bool { return kept.Expired(now) })
}

// bound drops the contents with the oldest deaths.
func (s *stored) bound() {
	sort.Slice(s.Suspects, func(i, j int) bool { return s.Suspects[i].newest().After(s.Suspects[j].newest()) })
	s.Suspects = s.Suspects[:min(len(s.Suspects), maxStored)]
}
