package feed

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// errUnreadable is the error of objects that name no target.
var errUnreadable = errors.New("unreadable")

// decode takes the spec for the target's service.
func decode(object Object) (string, placement.TargetInfo, error) {
	if len(object.Spec) == 0 {
		return "", placement.TargetInfo{}, errUnreadable
	}
	return string(object.Spec), placement.TargetInfo{ID: object.Name}, nil
}

func newMirror() (*Targets, <-chan int) {
	passed := make(chan int, 10)
	pass := func(listed map[string][]placement.TargetInfo) { passed <- len(listed["stock"]) }
	return NewTargets(decode, pass, logging.Discard()), passed
}

func TestTargetsThatLapsedDuringAnOutageHaveTimeToComeBack(t *testing.T) {
	m, passed := newMirror()
	object := Object{Name: "i-1", Spec: []byte("stock")}
	m.Reset([]Object{object}, false)
	require.Equal(t, 1, <-passed)
	m.Reset(nil, true)
	require.Equal(t, 1, <-passed, "gone at once after an outage")
	require.Equal(t, 0, <-passed, "kept beyond the time to come back")
	m.Reset([]Object{object}, false)
	require.Equal(t, 1, <-passed)
	m.Reset(nil, false)
	require.Equal(t, 0, <-passed, "kept without an outage")
}

// A second list during the time to come back neither ends nor lengthens it.
func TestAnotherListLeavesTheTimeToComeBackAlone(t *testing.T) {
	m, passed := newMirror()
	m.Reset([]Object{{Name: "i-1", Spec: []byte("stock")}, {Name: "i-2", Spec: []byte("stock")}}, false)
	require.Equal(t, 2, <-passed)
	m.Reset([]Object{{Name: "i-2", Spec: []byte("stock")}}, true)
	require.Equal(t, 2, <-passed)
	m.Reset(nil, false)
	require.Equal(t, 1, <-passed, "the one that was listed meanwhile is gone, the other has time")
	require.Equal(t, 0, <-passed)
}

func TestEntryThatTurnsUnreadableNamesNoTarget(t *testing.T) {
	m, passed := newMirror()
	m.Reset([]Object{{Name: "i-1", Spec: []byte("stock")}, {Name: "i-2", Spec: []byte("stock")}}, false)
	require.Equal(t, 2, <-passed)
	m.Apply([]Event{{Object: Object{Name: "i-1"}}})
	require.Equal(t, 1, <-passed)
	m.Apply([]Event{{Object: Object{Name: "i-2", Spec: []byte("stock")}, Deleted: true}})
	require.Equal(t, 0, <-passed)
}
