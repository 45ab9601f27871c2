package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
)

const (
	// slotHeadroom is the number of attempts that may wait at a target for a slot,
	// so that no slot idles while an answer is on its way.
	slotHeadroom = 1
	// othersFade is the time over which the estimate of other daemons' attempts
	// fades away without a report.
	othersFade = 100 * time.Millisecond
	// othersWeight is the weight of a new report in the estimate.
	othersWeight = 0.3
)

// member is a target with what the scheduler knows of it.
type member struct {
	*balancer.Target
	// others estimates the attempts of other daemons at the target.
	others   float64
	othersAt time.Time
}

// reported takes the number of requests in flight that came with an answer.
// It must be called before the answered attempt is released.
func (m *member) reported(now time.Time, inFlight int) {
	if inFlight <= 0 {
		return
	}
	others := float64(max(inFlight-m.InFlight, 0))
	m.others = m.othersNow(now)*(1-othersWeight) + others*othersWeight
	m.othersAt = now
}

func (m *member) othersNow(now time.Time) float64 {
	age := now.Sub(m.othersAt)
	if m.others == 0 || age >= othersFade {
		return 0
	}
	return m.others * (1 - float64(age)/float64(othersFade))
}

// limit is the number of attempts that this daemon keeps at the target while
// calls wait.
func (m *member) limit(now time.Time) int {
	return max(m.Slots+slotHeadroom-int(m.othersNow(now)+0.5), 1)
}

// free reports whether the target is believed to have room for an attempt.
func (m *member) free(now time.Time) bool { return m.InFlight < m.limit(now) }
