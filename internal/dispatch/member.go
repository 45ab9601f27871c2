package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
)

// slotHeadroom is the number of attempts that may wait at a target for a slot,
// so that no slot idles while an answer is on its way.
const slotHeadroom = 1

// member is a target with what the scheduler knows of it.
type member struct {
	*balancer.Target
}

// limit is the number of attempts that this daemon keeps at the target while
// calls wait.
func (m *member) limit(now time.Time) int {
	return max(m.Slots+slotHeadroom-int(m.Others(now)+0.5), 1)
}

// free reports whether the target is believed to have room for an attempt.
func (m *member) free(now time.Time) bool { return m.InFlight < m.limit(now) }
