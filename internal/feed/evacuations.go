package feed

import (
	"maps"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
)

// DecodeEvacuation returns the availability zone that an object evacuates, or an error if it
// evacuates none.
type DecodeEvacuation func(object Object) (zone string, err error)

// EvacuationMirror is a Mirror for the evacuations of availability zones. A zone is evacuated
// until its object is deleted. It is safe for concurrent use.
type EvacuationMirror struct {
	log      logrus.FieldLogger
	decode   DecodeEvacuation
	onChange func(zones []string)

	mu sync.Mutex
	// zones are the evacuated zones by the name of their object.
	zones map[string]string
}

// NewEvacuationMirror returns a mirror without evacuations. It calls onChange with the sorted
// evacuated zones after the first list and after each change.
func NewEvacuationMirror(decode DecodeEvacuation, onChange func(zones []string), log logrus.FieldLogger) *EvacuationMirror {
	return &EvacuationMirror{log: log, decode: decode, onChange: onChange, zones: map[string]string{}}
}

// Reset implements Mirror. Evacuations aren't registrations that lapse, so a list is taken as it is,
// whatever happened before.
func (m *EvacuationMirror) Reset(objects []Object, _ Gap) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.zones
	m.zones = make(map[string]string, len(objects))
	for _, object := range objects {
		if zone, ok := previous[object.Name]; ok {
			m.zones[object.Name] = zone
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

// put adds the evacuation of an object. An object that can't be decoded has no effect: it
// begins no evacuation and ends none.
func (m *EvacuationMirror) put(object Object) {
	zone, err := m.decode(object)
	if err != nil {
		m.log.WithError(err).WithField("object", object.Name).Warn("evacuation can't be decoded; it has no effect")
		return
	}
	m.zones[object.Name] = zone
}

// publish hands on the evacuated zones. The lock is held.
func (m *EvacuationMirror) publish() { m.onChange(slices.Sorted(maps.Values(m.zones))) }
