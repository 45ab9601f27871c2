package rollout

import (
	"time"

	"github.com/google/uuid"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// AcceptOnLatest brings services into force on top of whatever revision the
// platform holds, and returns the new one. Errors are those of ReadHead and Accept.
func AcceptOnLatest(store platform.Store, services []*config.Service, by string) (uint64, error) {
	head, _, err := ReadHead(store)
	if err != nil {
		return 0, err
	}
	return Accept(store, Acceptance{
		Base:     head.Revision,
		Services: services,
		By:       by,
		At:       time.Now().UTC(),
		ID:       uuid.NewString(),
	})
}
