package idempotency

import (
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// phase is what a record waits for. At most one call to the platform is under
// way for a record.
type phase int

// local is a key that this daemon owns.
type local struct {
	fingerprint uint64
	attempt     uint64
	number      int
	outcome     Outcome
	waiters     []*Send
}

// groupWrite is a conditional update that may have been sent.
type groupWrite struct {
	version platform.Version
	content *Content
	intents []intent
	dirty   []string
	// uncertain is set when an answer was lost: the write may still take effect
	// while the version is unchanged.
	uncertain bool
	// unread is set while the object has to be read before the write is sent
	// again, on the same version.
	unread bool
}

type intent struct {
	send    *Send
	key     string
	attempt uint64
}

// ActionKind tells the driver what to do.
type ActionKind int

// Action is one instruction to the driver.
type Action struct {
	Kind     ActionKind
	Version  platform.Version
	Content  *Content
	Send     *Send
	Owner    Owner
	Decision Decision
}

func (w *groupWrite) includes(send *Send) bool {
	if w == nil {
		return false
	}
	for _, added := range w.intents {
		if added.send == send {
			return true
		}
	}
	return false
}
