package feed

import (
	"errors"
	"fmt"
	"testing"
	"time"

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

// incarnation returns an object of a target whose spec is its incarnation and state.
func incarnation(born int64, state string) Object {
	return Object{Name: "i-1", Spec: fmt.Appendf(nil, "%d %s", born, state)}
}

// newIncarnationMirror returns a mirror for such objects, and a channel that receives after each
// change whether the target may be used.
func newIncarnationMirror() (*TargetMirror, <-chan bool) {
	usable := make(chan bool, 10)
	decode := func(object Object) (string, placement.TargetInfo, error) {
		info := placement.TargetInfo{ID: object.Name}
		var state string
		count, err := fmt.Sscanf(string(object.Spec), "%d %s %d", &info.Incarnation, &state, &info.Sequence)
		if count == 2 {
			err = nil
		}
		info.Draining = state == "draining"
		return "stock", info, err
	}
	onChange := func(listed map[string][]placement.TargetInfo) {
		targets := listed["stock"]
		usable <- len(targets) == 1 && !targets[0].Draining
	}
	return NewTargetMirror(decode, onChange, logging.Discard()), usable
}

// reported is an incarnation object with a sequence.
func reported(born int64, state string, sequence int64) Object {
	return Object{Name: "i-1", Spec: fmt.Appendf(nil, "%d %s %d", born, state, sequence)}
}

// The store may execute a target's report late, after a newer one said that it drains. The old report
// must not bring the target back into use, in a watch or in a list.
func TestLateReportDoesNotUndoDraining(t *testing.T) {
	late := reported(1, "ready", 2)
	for way, receive := range map[string]func(m *TargetMirror){
		"watch": func(m *TargetMirror) { m.Apply([]Event{{Object: late}}) },
		"list":  func(m *TargetMirror) { m.Reset([]Object{late}, NoGap) },
	} {
		t.Run(way, func(t *testing.T) {
			m, usable := newIncarnationMirror()
			m.Reset([]Object{reported(1, "ready", 4)}, NoGap)
			require.True(t, <-usable)
			m.Apply([]Event{{Object: reported(1, "draining", 5)}})
			require.False(t, <-usable)
			receive(m)
			require.False(t, <-usable)
			m.Apply([]Event{{Object: reported(1, "ready", 6)}})
			require.True(t, <-usable, "a newer report counts")
			m.Apply([]Event{{Object: reported(1, "draining", 7)}})
			require.False(t, <-usable)
			m.Apply([]Event{{Object: reported(2, "ready", 1)}})
			require.True(t, <-usable, "a new incarnation counts anew")
		})
	}
}

func TestDepartedTargetIsNotUsedAfterRestore(t *testing.T) {
	ready, draining := incarnation(1, "ready"), incarnation(1, "draining")
	leave := map[string]func(m *TargetMirror){
		"draining":           func(m *TargetMirror) { m.Apply([]Event{{Object: draining}}) },
		"removed":            func(m *TargetMirror) { m.Apply([]Event{{Object: ready, Deleted: true}}) },
		"no longer listed":   func(m *TargetMirror) { m.Reset(nil, NoGap) },
		"listed as draining": func(m *TargetMirror) { m.Reset([]Object{draining}, NoGap) },
	}
	for way, leave := range leave {
		t.Run(way, func(t *testing.T) {
			m, usable := newIncarnationMirror()
			m.Reset([]Object{ready}, NoGap)
			require.True(t, <-usable)
			leave(m)
			require.False(t, <-usable)
			m.Reset([]Object{ready}, Restore)
			require.False(t, <-usable)
			m.Reset([]Object{ready}, NoGap)
			require.False(t, <-usable, "nor after a second list")
			m.Apply([]Event{{Object: ready}})
			require.False(t, <-usable, "nor when its lost writes are repeated")
			m.Reset([]Object{ready}, Restore)
			require.False(t, <-usable, "nor after a second restore")
			m.Apply([]Event{{Object: incarnation(2, "ready")}})
			require.True(t, <-usable, "a new incarnation must be used")
			m.Reset([]Object{incarnation(2, "ready")}, Restore)
			require.True(t, <-usable)
		})
	}
}

// A target that the restored store removes and lists anew has registered since.
func TestTargetThatRegistersAgainInTheRestoredStoreIsUsed(t *testing.T) {
	ready := incarnation(1, "ready")
	m, usable := newIncarnationMirror()
	m.Reset([]Object{ready}, NoGap)
	require.True(t, <-usable)
	m.Apply([]Event{{Object: ready, Deleted: true}})
	require.False(t, <-usable)
	m.Reset([]Object{ready}, Restore)
	require.False(t, <-usable)
	m.Apply([]Event{{Object: ready, Deleted: true}})
	require.False(t, <-usable)
	m.Apply([]Event{{Object: ready}})
	require.True(t, <-usable)
}

// Without a restore, a target whose registration lapsed may come back as it was.
func TestTargetThatLapsedAndRegistersAgainIsUsed(t *testing.T) {
	ready := incarnation(1, "ready")
	m, usable := newIncarnationMirror()
	m.Reset([]Object{ready}, NoGap)
	require.True(t, <-usable)
	m.Apply([]Event{{Object: ready, Deleted: true}})
	require.False(t, <-usable)
	m.Apply([]Event{{Object: ready}})
	require.True(t, <-usable)
	m.Reset([]Object{ready}, Restore)
	require.True(t, <-usable, "it was in use before the restore")
}

// The targets have two seconds from the return of the store to register again, also if that is
// a second one.
func TestTargetMissingAfterTwoRestoresIsKeptForAWhileAfterTheSecond(t *testing.T) {
	m, usable := newIncarnationMirror()
	m.Reset([]Object{incarnation(1, "ready")}, NoGap)
	require.True(t, <-usable)
	m.Reset(nil, Restore)
	require.True(t, <-usable)
	time.Sleep(reappearanceTime / 2)
	m.Reset(nil, Restore)
	require.True(t, <-usable)
	require.True(t, <-usable, "the time after the first restore is over")
	require.False(t, <-usable)
}

// The target was cut off from the store, whose copy was made after its registration had lapsed.
func TestTargetThatLapsedBeforeTheCopyAndRegistersAgainAfterRestoreIsUsed(t *testing.T) {
	ready := incarnation(1, "ready")
	m, usable := newIncarnationMirror()
	m.Reset([]Object{ready}, NoGap)
	require.True(t, <-usable)
	m.Apply([]Event{{Object: ready, Deleted: true}})
	require.False(t, <-usable)
	m.Reset(nil, Restore)
	require.False(t, <-usable)
	m.Apply([]Event{{Object: ready}})
	require.True(t, <-usable)
}

// The restored store lists the target, but no longer after a break of the feed.
func TestTargetThatLapsedUnseenAfterRestoreAndRegistersAgainIsUsed(t *testing.T) {
	for _, gap := range []Gap{NoGap, Outage} {
		ready := incarnation(1, "ready")
		m, usable := newIncarnationMirror()
		m.Reset([]Object{ready}, NoGap)
		require.True(t, <-usable)
		m.Apply([]Event{{Object: ready, Deleted: true}})
		require.False(t, <-usable)
		m.Reset([]Object{ready}, Restore)
		require.False(t, <-usable)
		m.Reset(nil, gap)
		require.False(t, <-usable)
		m.Apply([]Event{{Object: ready}})
		require.True(t, <-usable)
	}
}

// The target joined and reported draining after the copy was made.
func TestTargetThatDrainedStaysUnusedWhenItsLostWritesAreRepeated(t *testing.T) {
	for _, then := range []string{"still listed", "removed"} {
		t.Run(then, func(t *testing.T) {
			m, usable := newIncarnationMirror()
			m.Reset([]Object{incarnation(1, "draining")}, NoGap)
			require.False(t, <-usable)
			if then == "removed" {
				m.Apply([]Event{{Object: incarnation(1, "draining"), Deleted: true}})
				require.False(t, <-usable)
			}
			m.Reset(nil, Restore)
			require.False(t, <-usable)
			m.Reset(nil, NoGap)
			require.False(t, <-usable)
			m.Apply([]Event{{Object: incarnation(1, "ready")}})
			require.False(t, <-usable)
		})
	}
}
