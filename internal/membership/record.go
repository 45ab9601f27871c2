// Package membership keeps a daemon's view of the entry VMs: joining, live,
// leaving, suspected or dead.
//
// Detector combines the platform's lagging list of VMs with the daemons' own
// failure detection, which follows SWIM (Das, Gupta, Motivala 2002): each daemon
// probes one member a period, asks a few others to probe a member that doesn't
// answer, and spreads what it learns on its probes. A member that is suspected
// by mistake refutes the suspicion with a higher epoch. The messages of a daemon
// a second don't depend on the number of members, and no group of daemons has to
// agree on anything.
//
// Detector is a plain state machine. Time, randomness and messages are passed
// in, and messages to send are handed back as actions.
package membership

// State is the view of one entry VM.
type State string

// States of entry VMs, in order of precedence within one epoch.
const (
	// Joining members have no configuration yet.
	Joining State = "joining"
	// Live members serve callers.
	Live State = "live"
	// Leaving members shut down gracefully and are no longer handed out.
	Leaving State = "leaving"
	// Suspected members don't answer, or have never been heard of.
	Suspected State = "suspected"
	// Dead members have been suspected for a while, or have shut down.
	Dead State = "dead"
)

func (s State) rank() int {
	switch s {
	case Live:
		return 1
	case Leaving:
		return 2
	case Suspected:
		return 3
	case Dead:
		return 4
	}
	return 0
}

// down reports whether a member in this state is taken not to serve.
func (s State) down() bool { return s == Suspected || s == Dead }

// Record is what daemons tell one another of a member.
type Record struct {
	Name   string `json:"n"`
	IP     string `json:"ip"`
	Region string `json:"r"`
	Zone   string `json:"z"`
	// Incarnation identifies one start of the member's daemon.
	Incarnation string `json:"i"`
	// Epoch orders records of the same member. Only the member itself raises it.
	// It starts at the daemon's clock, so that a restart supersedes what is known
	// of the daemon before.
	Epoch uint64 `json:"e"`
	State State  `json:"s"`
}

// supersedes reports whether the record replaces another one of the same member.
func (r Record) supersedes(other Record) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.State.rank() > other.State.rank()
}

// Member is one entry VM in a daemon's view.
type Member struct {
	Name        string `json:"name"`
	IP          string `json:"ip"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	State       State  `json:"state"`
	Incarnation string `json:"incarnation"`
}
