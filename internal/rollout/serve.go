package rollout

import (
	"encoding/json"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// ServeHead returns the head object in force with its platform version, for
// peers. The value is nil before the first acceptance.
func (f *Follower) ServeHead() ([]byte, platform.Version, error) {
	applied := f.applied.Load()
	if applied.Head.Revision == 0 {
		return nil, 0, nil
	}
	value, err := json.Marshal(applied.Head)
	return value, applied.Version, err
}

// ServeBodies returns the bodies in force that refs name, up to limit bytes in
// all, for peers.
func (f *Follower) ServeBodies(refs []ServiceRef, limit int) map[string][]byte {
	applied := f.applied.Load()
	bodies := map[string][]byte{}
	for _, ref := range refs {
		body := applied.Body(ref)
		if body == nil {
			continue
		}
		limit -= len(body.Encoded)
		if limit < 0 && len(bodies) > 0 {
			break
		}
		bodies[ref.Name] = body.Encoded
	}
	return bodies
}
