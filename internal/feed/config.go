package feed

import (
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/route"
)

// ConfigMirror is a Mirror for the configuration, which is the spec of a single object. It
// decodes each version and hands it on.
type ConfigMirror struct {
	// Name is the name of the object.
	Name string
	// Decode compiles the spec of the object.
	Decode func(spec []byte) (*route.Table, error)
	// OnChange is called with each configuration that was decoded.
	OnChange func(table *route.Table)
	Log      logrus.FieldLogger

	mu sync.Mutex
	// newest is the spec of the decoded configuration with the highest revision.
	newest   []byte
	revision uint64
}

// Newest returns the spec and the revision of the newest configuration that was decoded, or nil
// and 0 without one.
func (m *ConfigMirror) Newest() (spec []byte, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest, m.revision
}

// Offer handles a configuration that was received from elsewhere than the store.
func (m *ConfigMirror) Offer(spec []byte) { m.decode(Object{Name: m.Name, Spec: spec}) }

// Reset implements Mirror.
func (m *ConfigMirror) Reset(objects []Object, _ Gap) {
	for _, object := range objects {
		if object.Name == m.Name {
			m.decode(object)
		}
	}
}

// Apply implements Mirror. Of several changes only the last one that can be decoded is used.
// When the object is deleted, the last configuration stays in force.
func (m *ConfigMirror) Apply(events []Event) {
	for i := len(events) - 1; i >= 0; i-- {
		if events[i].Object.Name == m.Name && !events[i].Deleted && m.decode(events[i].Object) {
			return
		}
	}
}

// decode hands on the configuration of an object. It returns false if that can't be decoded.
func (m *ConfigMirror) decode(object Object) bool {
	table, err := m.Decode(object.Spec)
	if err != nil {
		m.Log.WithError(err).Error("configuration passed over")
		return false
	}
	m.keepNewest(object.Spec, table.Revision())
	m.OnChange(table)
	return true
}

func (m *ConfigMirror) keepNewest(spec []byte, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision > m.revision {
		m.newest, m.revision = spec, revision
	}
}
