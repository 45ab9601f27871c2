package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// objectStore is a platform.Store with one object.
type objectStore struct {
	platform.Store
	value   []byte
	version platform.Version
	// beforeWrite is called once, before the next write.
	beforeWrite func()
	failing     bool
}

func (s *objectStore) Get(key string) (platform.Object, error) {
	if s.failing {
		return platform.Object{}, &platform.UnavailableError{Operation: "get", Key: key, Cause: errors.New("platform is down")}
	}
	if s.version == 0 {
		return platform.Object{}, &platform.NotFoundError{Key: key}
	}
	return platform.Object{Key: key, Value: s.value, Version: s.version}, nil
}

func (s *objectStore) Create(key string, value []byte) (platform.Version, error) {
	return s.Update(key, 0, value)
}

func (s *objectStore) Update(key string, version platform.Version, value []byte) (platform.Version, error) {
	if beforeWrite := s.beforeWrite; beforeWrite != nil {
		s.beforeWrite = nil
		beforeWrite()
	}
	if version != s.version {
		return 0, &platform.ConflictError{Key: key, Have: s.version}
	}
	s.value = value
	s.version++
	return s.version, nil
}

// addition returns the change that stores a quarantined content whose deaths begin at the
// given time, in milliseconds after start.
func addition(content Content, at int) Change {
	deaths := []Death{{Target: "a", SentAt: after(at), At: after(at + 1)}, {Target: "b", SentAt: after(at + 2), At: after(at + 3)}}
	return Change{Add: &Suspect{Content: content, Service: "stock", Type: "read", Deaths: deaths, Quarantined: true}}
}

func storedContents(t *testing.T, store platform.Store, now time.Time) []Content {
	t.Helper()
	suspects, err := ReadStored(store, now)
	require.NoError(t, err)
	var contents []Content
	for _, suspect := range suspects {
		contents = append(contents, suspect.Content)
	}
	return contents
}

func TestQuarantineSurvivesRestartOfAllDaemons(t *testing.T) {
	store := &objectStore{}
	require.Empty(t, storedContents(t, store, start))
	require.NoError(t, UpdateStored(store, start, []Change{addition(1, 0)}))
	suspects, err := ReadStored(store, after(10))
	require.NoError(t, err)
	tracker := NewTracker()
	tracker.Merge(after(10), suspects)
	require.True(t, tracker.Quarantined(after(10), 1))
	require.Empty(t, storedContents(t, store, after(3).Add(Expiry)))
}

func TestConcurrentUpdatesAreBothApplied(t *testing.T) {
	store := &objectStore{}
	store.beforeWrite = func() { require.NoError(t, UpdateStored(store, start, []Change{addition(2, 0)})) }
	require.NoError(t, UpdateStored(store, start, []Change{addition(1, 5)}))
	require.ElementsMatch(t, []Content{1, 2}, storedContents(t, store, after(10)))
	require.NoError(t, UpdateStored(store, start, []Change{{Remove: 1}}))
	require.Equal(t, []Content{2}, storedContents(t, store, after(10)))
}

func TestRepeatedChangeWritesOnce(t *testing.T) {
	store := &objectStore{}
	for range 2 {
		require.NoError(t, UpdateStored(store, start, []Change{addition(1, 0), {Remove: 7}}))
	}
	require.Equal(t, platform.Version(1), store.version)
}

func TestStoredContentsAreBoundedAndKeepTheNewest(t *testing.T) {
	store := &objectStore{}
	var changes []Change
	for i := range 2 * maxStored {
		changes = append(changes, addition(Content(i+1), i))
	}
	require.NoError(t, UpdateStored(store, start, changes))
	contents := storedContents(t, store, after(1))
	require.Len(t, contents, maxStored)
	require.Equal(t, Content(2*maxStored), contents[0])
}

func TestUndecodableObjectIsReplaced(t *testing.T) {
	store := &objectStore{value: []byte("{"), version: 3}
	var storedError *StoredError
	_, err := ReadStored(store, start)
	require.ErrorAs(t, err, &storedError, fmt.Sprint(err))
	require.NoError(t, UpdateStored(store, start, []Change{addition(1, 0)}))
	require.Equal(t, []Content{1}, storedContents(t, store, after(10)))
}

func TestUpdateReturnsErrorOfUnavailablePlatform(t *testing.T) {
	var unavailable *platform.UnavailableError
	require.ErrorAs(t, UpdateStored(&objectStore{failing: true}, start, []Change{{Remove: 1}}), &unavailable)
}

// Guards against stored deaths that are moved to the present when they are read, which would extend their
// quarantine with each restart.
func TestStoredSuspectHasNoTimeOfItsMessage(t *testing.T) {
	now := time.Now()
	suspect := Suspect{Content: 7, Deaths: []Death{{Target: "a", SentAt: now.Add(-time.Second), At: now}}, ToldAt: now}
	contents := stored{}
	require.True(t, contents.apply(Change{Add: &suspect}))
	require.Zero(t, contents.Suspects[0].ToldAt)
}
