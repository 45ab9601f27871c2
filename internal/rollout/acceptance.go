package rollout

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// Acceptance is a change of configuration to be accepted.
type Acceptance struct {
	// Base is the revision that the proposal was computed against.
	Base uint64
	// Services replace the accepted services of the same names.
	Services []*config.Service
	// Removed names services to remove.
	Removed []string
	// By is the operator.
	By string
	// At is the operator's clock.
	At time.Time
	// ID is unique to this acceptance. It identifies the acceptance when its
	// answer is lost.
	ID string
}

// Check validates the change as far as that needs no base. The error is a
// *strictjson.InvalidError.
func (a *Acceptance) Check() error {
	if a.ID == "" {
		return strictjson.Invalid("id", "must be given")
	}
	seen := map[string]bool{}
	for _, name := range a.Removed {
		if seen[name] {
			return strictjson.Invalid(name, "is removed twice")
		}
		seen[name] = true
	}
	for _, service := range a.Services {
		if err := service.Check(); err != nil {
			return err
		}
		if _, err := balancer.New(service.Policy); err != nil {
			return strictjson.Invalid(service.Name+".policy", "%v", err)
		}
		if seen[service.Name] {
			return strictjson.Invalid(service.Name, "is given or removed twice")
		}
		seen[service.Name] = true
	}
	return nil
}
