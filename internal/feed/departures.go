package feed

import (
	"maps"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// departureRetention is how long a departed target is remembered. The copies from which a store
// is restored are some seconds old.
const departureRetention = 10 * time.Minute

// departure is the end of an incarnation of a target.
type departure struct {
	incarnation int64
	at          time.Time
	// draining is set if the target said that it is leaving. Otherwise its registration may
	// have lapsed although it runs.
	draining bool
}

// departures remembers targets that were draining or removed. A restored store lists them as
// ready again, as they were when the copy was made.
type departures struct {
	// departed are the last departures of targets by name.
	departed map[string]departure
	// barred are those of them that came before the last restore. The listed incarnation
	// must not be used.
	barred map[string]departure
}

func newDepartures() departures {
	return departures{departed: map[string]departure{}, barred: map[string]departure{}}
}

// record records that an incarnation of a target is draining or was removed.
func (d *departures) record(now time.Time, info placement.TargetInfo) {
	d.departed[info.ID] = departure{incarnation: info.Incarnation, at: now, draining: info.Draining}
}

// restore bars all departed targets, and forgets those that departed long ago.
func (d *departures) restore(now time.Time) {
	maps.DeleteFunc(d.departed, func(_ string, left departure) bool {
		return now.Sub(left.at) > departureRetention
	})
	d.barred = maps.Clone(d.departed)
}

// liftUnlisted lifts the bars of targets whose registrations may have lapsed and that a list of the
// current history doesn't contain: later objects of the same names were written since.
func (d *departures) liftUnlisted(listed map[string]listedTarget) {
	maps.DeleteFunc(d.barred, func(name string, left departure) bool {
		_, ok := listed[name]
		return !ok && !left.draining
	})
}

// forget lifts the bar of a target whose object was removed in the current history: a later
// object of the same name was written since.
func (d *departures) forget(name string) { delete(d.barred, name) }

// returned records that a target is in use again.
func (d *departures) returned(name string) { delete(d.departed, name) }

// isBarred reports whether a listed target departed before the last restore. A new incarnation
// didn't.
func (d *departures) isBarred(info placement.TargetInfo) bool {
	left, barred := d.barred[info.ID]
	if !barred {
		return false
	}
	if left.incarnation != info.Incarnation {
		delete(d.barred, info.ID)
		return false
	}
	return true
}
