package feed

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// reappearanceTime is how long a target that is missing after an outage or a restore of the
// store is kept, so that it can register again.
const reappearanceTime = 2 * time.Second

// listedTarget is a target with the name of its service.
type listedTarget struct {
	service string
	info    placement.TargetInfo
}

// TargetMirror is a Mirror for the targets of all services and hands them on after each
// change. It is safe for concurrent use.
type TargetMirror struct {
	log      logrus.FieldLogger
	decode   DecodeTarget
	onChange func(listed map[string][]placement.TargetInfo)

	mu      sync.Mutex
	targets map[string]listedTarget
	// missing holds, for each target that is missing after a gap, when it is removed.
	missing map[string]time.Time
	// departures are the targets that were draining or removed.
	departures departures
}

// DecodeTarget returns the service and the target that an object describes. It returns an
// error if the object describes no usable target.
type DecodeTarget func(object Object) (service string, info placement.TargetInfo, err error)

// NewTargetMirror returns a mirror without targets. It calls onChange with the targets by
// service after each change.
func NewTargetMirror(decode DecodeTarget, onChange func(map[string][]placement.TargetInfo), log logrus.FieldLogger) *TargetMirror {
	return &TargetMirror{
		log:      log,
		decode:   decode,
		onChange: onChange,
		targets:  map[string]listedTarget{},
		missing:  map[string]time.Time{},

		departures: newDepartures(),
	}
}

// Reset implements Mirror.
func (m *TargetMirror) Reset(objects []Object, gap Gap) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if gap == Restore {
		m.recordDraining()
		m.departures.restore(time.Now())
	}
	previous, missing := m.targets, m.missing
	m.targets = make(map[string]listedTarget, len(objects))
	m.missing = map[string]time.Time{}
	for _, object := range objects {
		m.put(object, previous[object.Name])
	}
	m.departures.liftUnlisted(m.targets)
	if gap == Restore {
		// Targets that were missing before have to register again, too.
		m.keepMissing(previous)
	}
	for name, until := range missing {
		m.keepUntil(name, previous[name], until)
	}
	if gap == Outage {
		m.keepMissing(previous)
	}
	for name, target := range previous {
		if _, kept := m.targets[name]; !kept {
			m.departures.record(time.Now(), target.info)
		}
	}
	m.publish()
}

// recordDraining records the draining targets as departed.
func (m *TargetMirror) recordDraining() {
	for _, target := range m.targets {
		if target.info.Draining {
			m.departures.record(time.Now(), target.info)
		}
	}
}

// keepMissing keeps for reappearanceTime the targets that are no longer listed after a gap.
func (m *TargetMirror) keepMissing(previous map[string]listedTarget) {
	until := time.Now().Add(reappearanceTime)
	for name, target := range previous {
		m.keepUntil(name, target, until)
	}
	if len(m.missing) > 0 {
		time.AfterFunc(reappearanceTime, m.dropMissing)
	}
}

// keepUntil keeps a target until the given time unless it is listed.
func (m *TargetMirror) keepUntil(name string, target listedTarget, until time.Time) {
	if _, listed := m.targets[name]; listed {
		return
	}
	m.targets[name] = target
	m.missing[name] = until
}

// dropMissing removes the missing targets whose time has passed.
func (m *TargetMirror) dropMissing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for name, until := range m.missing {
		if !now.Before(until) {
			delete(m.missing, name)
			m.remove(name)
		}
	}
	m.publish()
}

// Apply implements Mirror.
func (m *TargetMirror) Apply(events []Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, event := range events {
		delete(m.missing, event.Object.Name)
		if event.Deleted {
			m.departures.forget(event.Object.Name)
			m.remove(event.Object.Name)
			continue
		}
		m.put(event.Object, m.targets[event.Object.Name])
	}
	m.publish()
}

// remove removes a target and records its departure.
func (m *TargetMirror) remove(name string) {
	if target, ok := m.targets[name]; ok {
		m.departures.record(time.Now(), target.info)
	}
	delete(m.targets, name)
}

// put stores the target of an object in place of the previous one. If the object can't be decoded,
// its target is removed.
func (m *TargetMirror) put(object Object, previous listedTarget) {
	name := object.Name
	service, info, err := m.decode(object)
	if err != nil {
		m.log.WithError(err).WithField("object", name).Info("target object cannot be decoded; its target is not used")
		delete(m.targets, name)
		return
	}
	if precedesDraining(previous.info, info) {
		m.log.WithField("target", name).WithField("sequence", info.Sequence).Info("report from before the target began to drain; it is ignored")
		m.targets[name] = previous
		return
	}
	switch {
	case info.Draining:
	case !m.departures.isBarred(info):
		m.departures.returned(name)
	default:
		m.log.WithField("target", name).Info("target listed again by a restored store has departed; it is not used")
		info.Draining = true
	}
	m.targets[name] = listedTarget{service: service, info: info}
}

// precedesDraining reports whether a listed target is a report from before the previous one, in which
// the same incarnation said that it drains. The store may execute a write late whose answer was lost.
func precedesDraining(previous, listed placement.TargetInfo) bool {
	return previous.Draining && !listed.Draining && listed.Incarnation != 0 &&
		listed.Incarnation == previous.Incarnation && listed.Sequence < previous.Sequence
}

// publish hands on the targets by service. The lock is held.
func (m *TargetMirror) publish() {
	listed := map[string][]placement.TargetInfo{}
	for _, target := range m.targets {
		listed[target.service] = append(listed[target.service], target.info)
	}
	m.onChange(listed)
}
