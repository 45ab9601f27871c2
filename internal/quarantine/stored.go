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
	// StoredKey is the platform key of the object that stores the quarantined contents,
	// so that they outlive a restart of all daemons.
	StoredKey = "quarantine/contents"
	// maxStored bounds the number of stored contents.
	maxStored = 256
	// maxUpdateAttempts bounds the attempts at a conditional update in UpdateStored.
	maxUpdateAttempts = 8
)

// Change is one change of the stored contents: exactly one field is set.
type Change struct {
	// Add is a suspect that was quarantined.
	Add *Suspect
	// Remove is content whose quarantine was lifted.
	Remove Content
}

// StoredError reports that the stored object can't be decoded.
type StoredError struct{ Cause error }

// Error implements error.
func (e *StoredError) Error() string {
	return fmt.Sprintf("quarantine: can't decode %s: %v", StoredKey, e.Cause)
}

// Unwrap returns the cause.
func (e *StoredError) Unwrap() error { return e.Cause }

// stored is the JSON value of the object at StoredKey.
type stored struct {
	Suspects []Suspect `json:"suspects"`
}

// ReadStored returns the stored suspects that haven't expired. It returns a *StoredError
// or an error of platform.Store. A missing object is not an error.
func ReadStored(store platform.Store, now time.Time) ([]Suspect, error) {
	contents, _, err := readStored(store, now)
	return contents.Suspects, err
}

// readStored also returns the version of the object, 0 if it doesn't exist.
func readStored(store platform.Store, now time.Time) (stored, platform.Version, error) {
	object, err := store.Get(StoredKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return stored{}, 0, nil
	}
	if err != nil {
		return stored{}, 0, err
	}
	var contents stored
	if err := json.Unmarshal(object.Value, &contents); err != nil {
		return stored{}, object.Version, &StoredError{Cause: err}
	}
	contents.expire(now)
	return contents, object.Version, nil
}

// UpdateStored applies changes by a conditional update and retries it on a conflict.
// Changes are idempotent, so one whose answer was lost is applied again. An object that
// can't be decoded is replaced. Errors are those of platform.Store.
func UpdateStored(store platform.Store, now time.Time, changes []Change) error {
	var last error
	for range maxUpdateAttempts {
		done, err := updateStored(store, now, changes)
		if done {
			return err
		}
		last = err
	}
	return last
}

// updateStored makes one attempt. It returns false if the version of the object changed
// in the meantime, so that another attempt may succeed.
func updateStored(store platform.Store, now time.Time, changes []Change) (done bool, err error) {
	contents, version, err := readStored(store, now)
	var undecodable *StoredError
	if err != nil && !errors.As(err, &undecodable) {
		return true, err
	}
	changed := undecodable != nil
	for _, change := range changes {
		changed = contents.apply(change) || changed
	}
	if !changed {
		return true, nil
	}
	contents.truncate()
	value, err := json.Marshal(contents)
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

// apply applies a change and reports whether the contents differ from before.
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
	s.Suspects = append(s.Suspects, change.Add.ForStorage())
	return true
}

// expire deletes expired suspects.
func (s *stored) expire(now time.Time) {
	s.Suspects = slices.DeleteFunc(s.Suspects, func(kept Suspect) bool { return kept.Expired(now) })
}

// truncate keeps the maxStored suspects with the latest deaths.
func (s *stored) truncate() {
	sort.Slice(s.Suspects, func(i, j int) bool { return s.Suspects[i].lastDeath().After(s.Suspects[j].lastDeath()) })
	s.Suspects = s.Suspects[:min(len(s.Suspects), maxStored)]
}
