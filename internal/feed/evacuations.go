package feed

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
)

// EvacuationError reports an object that evacuates no availability zone.
type EvacuationError struct {
	// Problem tells what is wrong with the object.
	Problem string
}

// Error implements error.
func (e *EvacuationError) Error() string { return Error.New("no evacuation: %s", e.Problem).Error() }

// EvacuationMirror is a Mirror for the evacuations of availability zones. An object evacuates the
// zone that it is named after until it is deleted. It is safe for concurrent use.
type EvacuationMirror struct {
	log      logrus.FieldLogger
	known    []string
	onChange func(zones []string)

	mu    sync.Mutex
	zones map[string]bool
}

// NewEvacuationMirror returns a mirror without evacuations of the known zones. It calls onChange with the sorted
// evacuated zones after the first list and after each change.
func NewEvacuationMirror(known []string, onChange func(zones []string), log logrus.FieldLogger) *EvacuationMirror {
	return &EvacuationMirror{log: log, known: known, onChange: onChange, zones: map[string]bool{}}
}

// Reset implements Mirror. Evacuations aren't registrations that lapse, so a list is taken as it is,
// whatever happened before.
func (m *EvacuationMirror) Reset(objects []Object, _ Gap) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.zones
	m.zones = make(map[string]bool, len(objects))
	for _, object := range objects {
		if previous[object.Name] {
			m.zones[object.Name] = true
		}
		m.put(object)
	}
	m.publish()
}

// Apply implements Mirror.
func (m *EvacuationMirror) Apply(events []Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, event := range events {
		if event.Deleted {
			delete(m.zones, event.Object.Name)
			continue
		}
		m.put(event.Object)
	}
	m.publish()
}

// put adds the evacuation of an object. An unreadable object has no effect: it begins no
// evacuation and ends none.
func (m *EvacuationMirror) put(object Object) {
	if err := m.check(object); err != nil {
		m.log.WithError(err).WithField("object", object.Name).Warn("evacuation can't be decoded; it has no effect")
		return
	}
	m.zones[object.Name] = true
}

// check returns an *EvacuationError if an object evacuates no known zone. The content of its spec
// doesn't matter, but it has to be a JSON object.
func (m *EvacuationMirror) check(object Object) error {
	if !slices.Contains(m.known, object.Name) {
		return &EvacuationError{Problem: "the deployment has no such zone"}
	}
	var spec map[string]json.RawMessage
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return &EvacuationError{Problem: err.Error()}
	}
	return nil
}

// publish hands on the evacuated zones. The lock is held.
func (m *EvacuationMirror) publish() { m.onChange(slices.Sorted(maps.Keys(m.zones))) }
