package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options configure a Node.
type Options struct {
	// Self is the daemon's own address. Incarnation differs between its starts.
	Self        string
	Incarnation uint64
	Bound       Bound
	// StartupShare is the part of each quota that a daemon may use after its start until it has found
	// the owner. 0 means none.
	StartupShare float64
	// Random returns a random number from [0, 1).
	Random func() float64
}

// Node is the state of the quotas at one daemon. It is not safe for concurrent use.
type Node struct {
	options Options
	// members are the addresses of all known daemons, this one included, in the order in which
	// they are chosen as candidates.
	members []string
	// mayLead is set once the list of daemons is known to be complete.
	mayLead bool
	// resigned is set once the daemon drains.
	resigned bool
	voter    voter
	election election
	asker    asker
	counts   Counts
	output   Output
}

// NewNode returns the state of a daemon that starts now.
func NewNode(now time.Duration, options Options) *Node {
	n := &Node{options: options, members: []string{options.Self}, voter: newVoter(now)}
	n.election = election{self: options.Self, incarnation: options.Incarnation, bound: options.Bound, random: options.Random}
	n.asker = newAsker(now)
	return n
}

// SetMembers sets the addresses of all known daemons of the deployment, whether they respond or
// not. Without a complete list the daemon asks and votes, but doesn't become the owner: a majority
// of too few daemons would not exclude another owner.
func (n *Node) SetMembers(addresses []string, complete bool) {
	members := slices.Clone(addresses)
	if !slices.Contains(members, n.options.Self) {
		members = append(members, n.options.Self)
	}
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	n.members = members
	n.mayLead = complete
}

// Tick does what is due. It may be called at any time, and must be at NextTick.
func (n *Node) Tick(now time.Duration) {
	n.tickOwner(now)
	n.tickAsker(now)
}

// NextTick returns when Tick is due, and false if nothing is.
func (n *Node) NextTick(now time.Duration) (time.Duration, bool) {
	owner, ownerDue := n.nextOwnerTick(now)
	asker, askerDue := n.nextAskerTick(now)
	switch {
	case ownerDue && askerDue:
		return min(owner, asker), true
	case ownerDue:
		return owner, true
	}
	return asker, askerDue
}

// TakeOutput returns what has to be done since the last call.
func (n *Node) TakeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

// Counts returns the counters.
func (n *Node) Counts() Counts { return n.counts }

// IsOwner reports whether this daemon is the owner.
func (n *Node) IsOwner(now time.Duration) bool { return n.election.leads(now) }

func (n *Node) send(message Message) {
	switch {
	case message.Ask != nil:
		n.counts.Asks++
	case message.Vote != nil:
		n.counts.Votes++
	default:
		n.counts.Releases++
	}
	n.output.Messages = append(n.output.Messages, message)
}

func (n *Node) emit(event Event) { n.output.Events = append(n.output.Events, event) }
