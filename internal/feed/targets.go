package feed

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// returnTime is how long targets that lapsed while the store was away have to come
// back.
const returnTime = 2 * time.Second

// listedTarget is a target and its service.
type listedTarget struct {
	service string
	entry   placement.TargetInfo
}

// Targets passes the listed targets on. It is a Mirror and safe for concurrent use.
type Targets struct {
	log    logrus.FieldLogger
	decode DecodeTarget
	pass   func(listed map[string][]placement.TargetInfo)

	mu      sync.Mutex
	targets map[string]listedTarget
	// missing holds when targets that lapsed during an outage are taken as gone.
	missing map[string]time.Time
}

// DecodeTarget returns the service and entry that an object stands for. The error says
// that it names no target to use.
type DecodeTarget func(object Object) (service string, entry placement.TargetInfo, err error)

// NewTargets returns a mirror without targets.
func NewTargets(decode DecodeTarget, pass func(map[string][]placement.TargetInfo), log logrus.FieldLogger) *Targets {
	return &Targets{
		log:     log,
		decode:  decode,
		pass:    pass,
		targets: map[string]listedTarget{},
		missing: map[string]time.Time{},
	}
}

// Reset implements Mirror.
func (m *Targets) Reset(objects []Object, lapsed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, missing := m.targets, m.missing
	m.targets = make(map[string]listedTarget, len(objects))
	m.missing = map[string]time.Time{}
	for _, object := range objects {
		m.take(object)
	}
	for name, until := range missing {
		m.keep(name, previous[name], until)
	}
	if lapsed {
		m.keepLapsed(previous)
	}
	m.publish()
}

// keepLapsed keeps the targets that the store has lost during an outage, for as long as
// they have to come back.
func (m *Targets) keepLapsed(previous map[string]listedTarget) {
	until := time.Now().Add(returnTime)
	for name, target := range previous {
		m.keep(name, target, until)
	}
	if len(m.missing) > 0 {
		time.AfterFunc(returnTime, m.dropMissing)
	}
}

// keep keeps a target that isn't listed until a time.
func (m *Targets) keep(name string, target listedTarget, until time.Time) {
	if _, listed := m.targets[name]; listed {
		return
	}
	m.targets[name] = target
	m.missing[name] = until
}

func (m *Targets) dropMissing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for name, until := range m.missing {
		if !now.Before(until) {
			delete(m.missing, name)
			delete(m.targets, name)
		}
	}
	m.publish()
}

// Apply implements Mirror.
func (m *Targets) Apply(events []Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, event := range events {
		delete(m.missing, event.Object.Name)
		if event.Deleted {
			delete(m.targets, event.Object.Name)
			continue
		}
		m.take(event.Object)
	}
	m.publish()
}

// take takes one object. One that can't be read names no target.
func (m *Targets) take(object Object) {
	name := object.Name
	service, entry, err := m.decode(object)
	if err != nil {
		m.log.WithError(err).WithField("object", name).Info("target entry passed over")
		delete(m.targets, name)
		return
	}
	m.targets[name] = listedTarget{service: service, entry: entry}
}

func (m *Targets) publish() {
	listed := map[string][]placement.TargetInfo{}
	for _, target := range m.targets {
		listed[target.service] = append(listed[target.service], target.entry)
	}
	m.pass(listed)
}
