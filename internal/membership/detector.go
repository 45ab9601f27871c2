package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

const (
	// Tick is the time between two calls of Detector.Tick.
	Tick = 100 * time.Millisecond
	// ProbePeriod is the time between two probes.
	ProbePeriod = 500 * time.Millisecond
	// directLimit is the time for an answer before other members are asked.
	directLimit = 200 * time.Millisecond
	// ProbeLimit is the time for an answer before a member is suspected.
	ProbeLimit = 500 * time.Millisecond
	// deadAfter is how long a member is suspected before it is taken to be dead.
	deadAfter = 5 * time.Second
	// downPeriod is the time between two probes of members that are down.
	downPeriod = 2 * time.Second
	// forgetAfter is how long a dead member is kept that isn't listed.
	forgetAfter = time.Minute
	// syncPeriod is the shortest time between two exchanges of all records.
	syncPeriod = 2 * time.Second
	// stallLimit is the time between two ticks from which the daemon takes itself
	// to have been paused.
	stallLimit = time.Second
	// fanOut is the number of members that indirect probes and urgent news go to.
	fanOut = 3
)

// Detector decides which entry VMs serve. It is not safe for concurrent use.
type Detector struct {
	self Record
	// selfLeaving is set while the platform's list says that this VM is leaving.
	selfLeaving bool
	rng         *rand.Rand
	members     map[string]*member
	listed      map[string]platform.VM
	seeds       []string
	rumors      map[string]*rumor

	probes      map[uint64]*probe
	nextProbe   uint64
	rotation    []string
	nextPeriod  time.Time
	nextDown    time.Time
	nextSync    time.Time
	lastTick    time.Time
	actions     []Action
	suspicions  uint64
	refutations uint64
}

// member is another entry VM.
type member struct {
	Record
	// since is when the state was entered.
	since time.Time
	// confirmed is set once the member or another one has told of it.
	confirmed bool
	// removed is set when the platform's list has lost the member.
	removed bool
	// probed is set after the first probe.
	probed bool
}

// NewDetector returns the detector of a daemon. The record's epoch has to be
// above that of the daemon's last start.
func NewDetector(self Record, rng *rand.Rand) *Detector {
	return &Detector{
		self:    self,
		rng:     rng,
		members: map[string]*member{},
		listed:  map[string]platform.VM{},
		rumors:  map[string]*rumor{},
		probes:  map[uint64]*probe{},
	}
}

// Seed sets the IPs of daemons to ask while no member is known.
func (d *Detector) Seed(ips []string) { d.seeds = ips }

// Self returns the daemon's own record.
func (d *Detector) Self() Record { return d.self }

// Counters returns how often this daemon suspected a member and refuted a
// suspicion of itself.
func (d *Detector) Counters() (suspicions, refutations uint64) {
	return d.suspicions, d.refutations
}

// SetState changes the daemon's own state and tells every member that is up. The
// actions are valid until the next event.
func (d *Detector) SetState(state State) []Action {
	d.actions = d.actions[:0]
	if d.self.State == state {
		return d.actions
	}
	d.self.State = state
	d.self.Epoch++
	d.spread(d.self)
	for _, name := range d.names(func(m *member) bool { return !m.State.down() }) {
		d.send(Action{Kind: SendGossip, To: d.members[name].Record, Message: d.message(d.self)})
	}
	return d.actions
}

// Listed takes the platform's list of VMs. The actions are valid until the next
// event.
func (d *Detector) Listed(now time.Time, vms []platform.VM) []Action {
	d.actions = d.actions[:0]
	listed := map[string]platform.VM{}
	for _, vm := range vms {
		switch {
		case vm.Role != platform.RoleEntry:
		case vm.Name == d.self.Name:
			d.selfLeaving = vm.State == platform.VMLeaving
		default:
			listed[vm.Name] = vm
			d.addListed(now, vm)
		}
	}
	if len(listed) == 0 && len(d.listed) > 1 {
		return d.actions
	}
	for name := range d.listed {
		if _, ok := listed[name]; !ok && d.members[name] != nil {
			d.members[name].removed = true
		}
	}
	d.listed = listed
	return d.actions
}

func (d *Detector) addListed(now time.Time, vm platform.VM) {
	m := d.members[vm.Name]
	if m == nil {
		m = &member{since: now}
		m.Name, m.State = vm.Name, Suspected
		d.members[vm.Name] = m
	}
	m.removed = false
	if !m.confirmed {
		m.IP, m.Region, m.Zone = vm.IP, vm.Region, vm.Zone
	}
}

// Members returns all entry VMs, this one included, ordered by name.
func (d *Detector) Members() []Member {
	members := make([]Member, 0, len(d.members)+1)
	members = append(members, d.self.member(d.selfState()))
	for _, m := range d.members {
		members = append(members, m.member(d.stateOf(m)))
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

func (d *Detector) selfState() State {
	if d.self.State == Live && d.selfLeaving {
		return Leaving
	}
	return d.self.State
}

func (r Record) member(state State) Member {
	return Member{Name: r.Name, IP: r.IP, Region: r.Region, Zone: r.Zone, State: state, Incarnation: r.Incarnation}
}

// stateOf combines a member's record with the platform's list.
func (d *Detector) stateOf(m *member) State {
	if m.State != Live {
		return m.State
	}
	if m.removed || d.listed[m.Name].State == platform.VMLeaving {
		return Leaving
	}
	return Live
}

// names returns the sorted names of the members that keep selects.
func (d *Detector) names(keep func(*member) bool) []string {
	var names []string
	for name, m := range d.members {
		if keep(m) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// pick returns up to count random members that are up, but not except.
func (d *Detector) pick(count int, except string) []string {
	names := d.names(func(m *member) bool { return m.Name != except && !m.State.down() })
	d.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(count, len(names))]
}

func (d *Detector) send(action Action) { d.actions = append(d.actions, action) }
