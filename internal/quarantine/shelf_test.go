package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// shelfStore is a platform with one object.
type shelfStore struct {
	platform.Store
	value   []byte
	version platform.Version
	// before runs before each write.
	before func()
	down   bool
}

func (s *shelfStore) Get(key string) (platform.Object, error) {
	if s.down {
		return platform.Object{}, &platform.UnavailableError{Operation: "get", Key: key, Cause: errors.New("down")}
	}
	if s.version == 0 {
		return platform.Object{}, &platform.NotFoundError{Key: key}
	}
	return platform.Object{Key: key, Value: s.value, Version: s.version}, nil
}

func (s *shelfStore) Create(key string, value []byte) (platform.Version, error) {
	return s.Update(key, 0, value)
}

func (s *shelfStore) Update(key string, version platform.Version, value []byte) (platform.Version, error) {
	if before := s.before; before != nil {
		s.before = nil
		before()
	}
	if version != s.version {
		return 0, &platform.ConflictError{Key: key, Have: s.version}
	}
	s.value = value
	s.version++
	return s.version, nil
}

func killerOf(content Content, at int) Change {
	deaths := []Death{{Target: "a", Began: after(at), At: after(at + 1)}, {Target: "b", Began: after(at + 2), At: after(at + 3)}}
	return Change{Add: &Suspect{Content: content, Service: "stock", Type: "read", Deaths: deaths, Quarantined: true}}
}

func shelved(t *testing.T, store platform.Store, now time.Time) []Content {
	t.Helper()
	suspects, err := ReadShelf(store, now)
	require.NoError(t, err)
	var contents []Content
	for _, suspect := range suspects {
		contents = append(contents, suspect.Content)
	}
	return contents
}

func TestQuarantineOutlastsAllDaemons(t *testing.T) {
	store := &shelfStore{}
	require.Empty(t, shelved(t, store, start))
	require.NoError(t, ChangeShelf(store, start, []Change{killerOf(1, 0)}))
	suspects, err := ReadShelf(store, after(10))
	require.NoError(t, err)
	w := NewWard()
	w.Told(after(10), suspects)
	require.True(t, w.Quarantined(after(10), 1))
	require.Empty(t, shelved(t, store, after(3).Add(Expiry)))
}

func TestRacingChangesOfTheShelfBothCount(t *testing.T) {
	store := &shelfStore{}
	store.before = func() { require.NoError(t, ChangeShelf(store, start, []Change{killerOf(2, 0)})) }
	require.NoError(t, ChangeShelf(store, start, []Change{killerOf(1, 5)}))
	require.ElementsMatch(t, []Content{1, 2}, shelved(t, store, after(10)))
	require.NoError(t, ChangeShelf(store, start, []Change{{Remove: 1}}))
	require.Equal(t, []Content{2}, shelved(t, store, after(10)))
}

func TestChangeAppliedTwiceWritesOnce(t *testing.T) {
	store := &shelfStore{}
	for range 2 {
		require.NoError(t, ChangeShelf(store, start, []Change{killerOf(1, 0), {Remove: 7}}))
	}
	require.Equal(t, platform.Version(1), store.version)
}

func TestShelfIsBoundedAndKeepsTheNewest(t *testing.T) {
	store := &shelfStore{}
	var changes []Change
	for i := range 2 * maxShelved {
		changes = append(changes, killerOf(Content(i+1), i))
	}
	require.NoError(t, ChangeShelf(store, start, changes))
	kept := shelved(t, store, after(1))
	require.Len(t, kept, maxShelved)
	require.Equal(t, Content(2*maxShelved), kept[0])
}

func TestUnreadableShelfIsReplaced(t *testing.T) {
	store := &shelfStore{value: []byte("{"), version: 3}
	var unreadable *ShelfError
	_, err := ReadShelf(store, start)
	require.ErrorAs(t, err, &unreadable, fmt.Sprint(err))
	require.NoError(t, ChangeShelf(store, start, []Change{killerOf(1, 0)}))
	require.Equal(t, []Content{1}, shelved(t, store, after(10)))
}

func TestShelfReportsAnOutage(t *testing.T) {
	var unavailable *platform.UnavailableError
	require.ErrorAs(t, ChangeShelf(&shelfStore{down: true}, start, []Change{{Remove: 1}}), &unavailable)
}
