package membership

import (
	"maps"
	"slices"
	"time"
)

// ActionKind says what a daemon has to send.
type ActionKind int

// Kinds of actions.
const (
	// SendPing sends Message to To. The end is reported by Acked or Failed.
	SendPing ActionKind = iota
	// SendIndirect asks To to ping Target. The end is reported by IndirectDone.
	SendIndirect
	// SendGossip sends Message to To. The end isn't reported.
	SendGossip
	// SendSync exchanges all records with To. The answer is reported by Synced.
	SendSync
)

// Action is one message to send.
type Action struct {
	Kind ActionKind
	// To is the receiver. Only the IP is set for a seed.
	To Record
	// Probe identifies the probe with SendPing and SendIndirect.
	Probe uint64
	// Target is set with SendIndirect.
	Target Record
	// Message is set but with SendIndirect.
	Message Message
}

// Message is what a ping, its answer, gossip or an exchange of records carries.
type Message struct {
	// From is the sender's own record.
	From Record `json:"f"`
	// Records are news, or all records in an exchange.
	Records []Record `json:"u,omitempty"`
	// Digest identifies the sender's set of members that are up.
	Digest uint64 `json:"d,omitempty"`
}

// probe is one check of a member.
type probe struct {
	target  string
	started time.Time
	// failed is set once the ping has failed, not merely timed out.
	failed bool
	// asked, answered and waiting count the members that were asked for an
	// indirect ping.
	asked, answered, waiting int
	indirect                 bool
}

// Tick starts probes and takes timeouts. It has to be called every Tick. The
// actions are valid until the next event.
func (d *Detector) Tick(now time.Time) []Action {
	d.actions = d.actions[:0]
	stalled := !d.lastTick.IsZero() && now.Sub(d.lastTick) > stallLimit
	d.lastTick = now
	if stalled {
		d.resume(now)
		return d.actions
	}
	d.checkProbes(now)
	d.age(now)
	d.startProbes(now)
	return d.actions
}

// resume discards what a pause of this daemon makes worthless: timeouts that
// nobody but this daemon caused.
func (d *Detector) resume(now time.Time) {
	d.probes = map[uint64]*probe{}
	for _, m := range d.members {
		if m.State == Suspected {
			m.since = now
		}
	}
}

func (d *Detector) startProbes(now time.Time) {
	if !d.nextPeriod.After(now) {
		d.nextPeriod = now.Add(ProbePeriod)
		d.probeNext(now)
	}
	if name := d.unprobed(); name != "" {
		d.probe(now, name)
	}
	if !d.nextDown.After(now) {
		d.nextDown = now.Add(downPeriod)
		d.probeDown(now)
	}
}

// probeNext probes the next member of the rotation, or a seed.
func (d *Detector) probeNext(now time.Time) {
	for range 2 {
		for len(d.rotation) > 0 {
			name := d.rotation[0]
			d.rotation = d.rotation[1:]
			if m := d.members[name]; m != nil && m.State != Dead && m.confirmed {
				d.probe(now, name)
				return
			}
		}
		d.rotation = d.names(func(m *member) bool { return m.State != Dead && m.confirmed })
		d.rng.Shuffle(len(d.rotation), func(i, j int) {
			d.rotation[i], d.rotation[j] = d.rotation[j], d.rotation[i]
		})
	}
	d.probeSeed()
}

// probeSeed pings a few seeds while no member is known to be up.
func (d *Detector) probeSeed() {
	for _, i := range d.rng.Perm(len(d.seeds))[:min(fanOut, len(d.seeds))] {
		if d.seeds[i] != d.self.IP {
			d.send(Action{Kind: SendPing, To: Record{IP: d.seeds[i]}, Message: d.message()})
		}
	}
}

// unprobed returns a member that was never probed, or "".
func (d *Detector) unprobed() string {
	names := d.names(func(m *member) bool { return !m.probed && !m.confirmed })
	if len(names) == 0 {
		return ""
	}
	return names[d.rng.IntN(len(names))]
}

// probeDown probes one of the members that are down, to find those that are back.
func (d *Detector) probeDown(now time.Time) {
	names := d.names(func(m *member) bool { return m.State == Dead || !m.confirmed })
	if len(names) > 0 {
		d.probe(now, names[d.rng.IntN(len(names))])
	}
}

func (d *Detector) probe(now time.Time, name string) {
	m := d.members[name]
	m.probed = true
	d.nextProbe++
	d.probes[d.nextProbe] = &probe{target: name, started: now}
	message := d.message()
	if m.State.down() && m.Epoch > 0 {
		message.Records = append(message.Records, m.Record)
	}
	d.send(Action{Kind: SendPing, To: m.Record, Probe: d.nextProbe, Message: message})
}

func (d *Detector) checkProbes(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(d.probes)) {
		p := d.probes[id]
		age := now.Sub(p.started)
		switch {
		case age >= ProbeLimit:
			d.conclude(now, id)
		case age >= directLimit && !p.indirect:
			d.askOthers(now, id)
		}
	}
}

// askOthers has a few members ping the target.
func (d *Detector) askOthers(now time.Time, id uint64) {
	p := d.probes[id]
	p.indirect = true
	target := d.members[p.target]
	if target == nil || target.State.down() {
		return
	}
	for _, name := range d.pick(fanOut, p.target) {
		p.asked++
		p.waiting++
		d.send(Action{Kind: SendIndirect, To: d.members[name].Record, Target: target.Record, Probe: id})
	}
	if p.failed && p.asked == 0 {
		d.conclude(now, id)
	}
}

// conclude ends a probe without an answer.
func (d *Detector) conclude(now time.Time, id uint64) {
	p := d.probes[id]
	delete(d.probes, id)
	m := d.members[p.target]
	if m == nil || m.State.down() {
		return
	}
	d.suspicions++
	m.State = Suspected
	m.since = now
	isolated := p.asked > 1 && p.answered == 0
	if isolated {
		return
	}
	d.spread(m.Record)
	d.tell(m.Record)
	d.send(Action{Kind: SendGossip, To: m.Record, Message: d.message(m.Record)})
}

// Failed takes the failure of a ping. The actions are valid until the next event.
func (d *Detector) Failed(now time.Time, id uint64) []Action {
	d.actions = d.actions[:0]
	p := d.probes[id]
	if p == nil {
		return d.actions
	}
	p.failed = true
	if !p.indirect {
		d.askOthers(now, id)
	} else if p.waiting == 0 {
		d.conclude(now, id)
	}
	return d.actions
}

// Acked takes the answer to a ping. The actions are valid until the next event.
func (d *Detector) Acked(now time.Time, id uint64, answer Message) []Action {
	d.actions = d.actions[:0]
	if p := d.probes[id]; p != nil && p.target == answer.From.Name {
		delete(d.probes, id)
	}
	d.receive(now, answer)
	d.reconcile(now, answer)
	return d.actions
}

// IndirectDone takes the end of an indirect ping. Reached tells whether the
// member that was asked answered, and answer is the target's, or nil. The actions
// are valid until the next event.
func (d *Detector) IndirectDone(now time.Time, id uint64, reached bool, answer *Message) []Action {
	d.actions = d.actions[:0]
	p := d.probes[id]
	if answer != nil {
		if p != nil && p.target == answer.From.Name {
			delete(d.probes, id)
		}
		d.receive(now, *answer)
		return d.actions
	}
	if p == nil {
		return d.actions
	}
	p.waiting--
	if reached {
		p.answered++
	}
	if p.waiting == 0 && p.failed {
		d.conclude(now, id)
	}
	return d.actions
}

// age takes suspected members to be dead, and forgets the dead.
func (d *Detector) age(now time.Time) {
	for name, m := range d.members {
		_, listed := d.listed[name]
		switch {
		case m.State == Suspected && m.confirmed && now.Sub(m.since) >= deadAfter:
			m.State = Dead
			m.since = now
		case m.State.down() && !listed && now.Sub(m.since) >= forgetAfter:
			delete(d.members, name)
		}
	}
}
