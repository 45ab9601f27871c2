package rollout

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// SourcePlatform names the platform as the source of a head. Any other name is
// a peer's.
const SourcePlatform = "platform"

// Body is one service body. It is immutable.
type Body struct {
	Service *config.Service
	// Encoded is the body as stored.
	Encoded []byte
}

// Applied is a head with its bodies. It is immutable.
type Applied struct {
	Head Head
	// Version is the platform version of the head object.
	Version platform.Version
	// Source is SourcePlatform or the name of the peer that gave the head.
	Source string
	// At is when the head was applied.
	At time.Time
	// Bodies are keyed by service.
	Bodies map[string]*Body
}

// NewApplied returns the state before the first acceptance.
func NewApplied() *Applied {
	return &Applied{Bodies: map[string]*Body{}}
}

// Snapshot returns the configuration in force.
func (a *Applied) Snapshot() *config.Snapshot {
	services := make(map[string]*config.Service, len(a.Bodies))
	for name, body := range a.Bodies {
		services[name] = body.Service
	}
	return &config.Snapshot{Revision: a.Head.Revision, Services: services}
}

// Body returns the stored body that ref names, or nil.
func (a *Applied) Body(ref ServiceRef) *Body {
	body := a.Bodies[ref.Name]
	if body == nil || a.Head.Hash(ref.Name) != ref.Hash {
		return nil
	}
	return body
}
