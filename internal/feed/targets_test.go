package feed

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// errUnreadable is the error for objects without a spec.
var errUnreadable = errors.New("unreadable")

// decode returns the spec as the name of the service and the object's name as target ID.
func decode(object Object) (string, placement.TargetInfo, error) {
	if len(object.Spec) == 0 {
		return "", placement.TargetInfo{}, errUnreadable
	}
	return string(object.Spec), placement.TargetInfo{ID: object.Name}, nil
}

// newMirror returns a mirror and a channel that receives the number of targets of the
// service "stock" after each change.
func newMirror() (*TargetMirror, <-chan int) {
	passed := make(chan int, 10)
	onChange := func(listed map[string][]placement.TargetInfo) { passed <- len(listed["stock"]) }
	return NewTargetMirror(decode, onChange, logging.Discard()), passed
}

// The registrations of targets can expire during an outage of the store, although the
// targets still run. Removing them at once would leave their services without targets.
func TestTargetsMissingAfterAnOutageAreKeptForAWhile(t *testing.T) {
	m, passed := newMirror()
	object := Object{Name: "i-1", Spec: []byte("stock")}
	m.Reset([]Object{object}, NoGap)
	require.Equal(t, 1, <-passed)
	m.Reset(nil, Outage)
	require.Equal(t, 1, <-passed, "a target that is missing after an outage must be kept at first")
	require.Equal(t, 0, <-passed, "a target that does not reappear must be removed")
	m.Reset([]Object{object}, NoGap)
	require.Equal(t, 1, <-passed)
	m.Reset(nil, NoGap)
	require.Equal(t, 0, <-passed, "without an outage a missing target must be removed at once")
}

// A second list while a missing target is kept neither shortens nor extends that time.
func TestLaterListDoesNotChangeHowLongMissingTargetsAreKept(t *testing.T) {
	m, passed := newMirror()
	m.Reset([]Object{{Name: "i-1", Spec: []byte("stock")}, {Name: "i-2", Spec: []byte("stock")}}, NoGap)
	require.Equal(t, 2, <-passed)
	m.Reset([]Object{{Name: "i-2", Spec: []byte("stock")}}, Outage)
	require.Equal(t, 2, <-passed)
	m.Reset(nil, NoGap)
	require.Equal(t, 1, <-passed, "i-2 was listed after the outage and must be removed at once, i-1 must still be kept")
	require.Equal(t, 0, <-passed)
}

func TestTargetIsRemovedWhenItsObjectBecomesUnreadable(t *testing.T) {
	m, passed := newMirror()
	m.Reset([]Object{{Name: "i-1", Spec: []byte("stock")}, {Name: "i-2", Spec: []byte("stock")}}, NoGap)
	require.Equal(t, 2, <-passed)
	m.Apply([]Event{{Object: Object{Name: "i-1"}}})
	require.Equal(t, 1, <-passed)
	m.Apply([]Event{{Object: Object{Name: "i-2", Spec: []byte("stock")}, Deleted: true}})
	require.Equal(t, 0, <-passed)
}
