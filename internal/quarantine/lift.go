package quarantine

import "time"

const (
	// liftMemory is how long suspects that other daemons tell are ignored after their content
	// was lifted. It outlasts a message, which may have been sent before the lift.
	liftMemory = 2 * time.Second
	// maxLifted is the number of lifted contents from which old ones are forgotten.
	maxLifted = 256
)

// Lift deletes the suspect with the given content. It returns false if there is none.
func (t *Tracker) Lift(now time.Time, content Content) bool {
	_, known := t.suspects[content]
	delete(t.suspects, content)
	t.forgetLifted(now)
	t.lifted[content] = now
	return known
}

// forgetLifted makes room if many contents were lifted.
func (t *Tracker) forgetLifted(now time.Time) {
	if len(t.lifted) < maxLifted {
		return
	}
	for content := range t.lifted {
		if !t.liftedLately(now, content) {
			delete(t.lifted, content)
		}
	}
	if len(t.lifted) >= maxSuspects {
		clear(t.lifted)
	}
}

func (t *Tracker) liftedLately(now time.Time, content Content) bool {
	liftedAt, lifted := t.lifted[content]
	return lifted && now.Sub(liftedAt) < liftMemory
}
