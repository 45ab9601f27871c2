package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// network runs detectors in virtual time. Messages take a random time and may be
// lost; nodes may be down or paused.
type network struct {
	rng   *rand.Rand
	now   time.Time
	queue events
	order int
	nodes map[string]*node
	// loss is the share of messages that are lost.
	loss float64
	// cut, if set, tells whether two nodes can't reach each other.
	cut func(a, b string) bool
}

type node struct {
	name     string
	detector *Detector
	down     bool
	paused   bool
	// sent counts messages that the node sent.
	sent int
	// backlog holds what arrived while paused.
	backlog []func()
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newNetwork(seed uint64, size int) *network {
	n := &network{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), nodes: map[string]*node{}}
	for i := range size {
		n.start(nodeName(i), uint64(1000+i))
	}
	n.list()
	return n
}

func nodeName(i int) string { return fmt.Sprintf("entry-%02d", i) }

// list gives all nodes the platform's list of all nodes.
func (n *network) list() {
	var vms []platform.VM
	for name := range n.nodes {
		vms = append(vms, platform.VM{Name: name, IP: name, Zone: "a", Role: platform.RoleEntry, State: platform.VMLive})
	}
	for _, node := range n.nodes {
		n.perform(node, node.detector.Listed(n.now, vms))
	}
}

// start starts a daemon, or starts it again with nothing in memory.
func (n *network) start(name string, epoch uint64) {
	self := Record{Name: name, IP: name, Zone: "a", Incarnation: fmt.Sprint(name, "-", epoch), Epoch: epoch, State: Live}
	started := &node{name: name, detector: NewDetector(self, rand.New(rand.NewPCG(n.rng.Uint64(), 1)))}
	if old := n.nodes[name]; old != nil {
		old.down = true
	}
	n.nodes[name] = started
	n.after(time.Duration(n.rng.Int64N(int64(Tick))), func() { n.tick(started) })
}

func (n *network) tick(node *node) {
	if node.down {
		return
	}
	n.deliver(node, func() { n.perform(node, node.detector.Tick(n.now)) })
	n.after(Tick, func() { n.tick(node) })
}

func (n *network) after(d time.Duration, run func()) {
	n.order++
	heap.Push(&n.queue, event{at: n.now.Add(d), order: n.order, run: run})
}

// run passes d of virtual time, or less if until returns true.
func (n *network) run(d time.Duration, until func() bool) bool {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.run()
		if until != nil && until() {
			return true
		}
	}
	n.now = end
	return until != nil && until()
}

// deliver runs an event at a node, once the node isn't paused.
func (n *network) deliver(node *node, run func()) {
	switch {
	case node.down:
	case node.paused:
		if len(node.backlog) < 100 {
			node.backlog = append(node.backlog, run)
		}
	default:
		run()
	}
}

func (n *network) resume(node *node) {
	node.paused = false
	backlog := node.backlog
	node.backlog = nil
	for _, run := range backlog {
		run()
	}
}

// send passes a message unless it is lost.
func (n *network) send(from *node, to string, run func(to *node)) {
	from.sent++
	if n.rng.Float64() < n.loss || (n.cut != nil && n.cut(from.name, to)) {
		return
	}
	n.after(time.Duration(100+n.rng.IntN(5000))*time.Microsecond, func() {
		if receiver := n.nodes[to]; receiver != nil {
			n.deliver(receiver, func() { run(receiver) })
		}
	})
}

func (n *network) perform(from *node, actions []Action) {
	for _, action := range append([]Action(nil), actions...) {
		switch action.Kind {
		case SendPing:
			n.ping(from, action)
		case SendIndirect:
			n.askProbe(from, action)
		case SendGossip:
			n.send(from, action.To.IP, func(to *node) {
				_, actions := to.detector.Pinged(n.now, action.Message)
				n.perform(to, actions)
			})
		case SendSync:
			n.sync(from, action)
		}
	}
}

func (n *network) ping(from *node, action Action) {
	answered := false
	n.request(from, action.To.IP, action.Message, func(answer Message) {
		answered = true
		n.perform(from, from.detector.Acked(n.now, action.Probe, answer))
	})
	n.after(ProbeLimit, func() {
		n.deliver(from, func() {
			if !answered {
				n.perform(from, from.detector.Failed(n.now, action.Probe))
			}
		})
	})
}

// request sends a ping and passes the answer back.
func (n *network) request(from *node, to string, ping Message, answered func(Message)) {
	n.send(from, to, func(to *node) {
		answer, actions := to.detector.Pinged(n.now, ping)
		n.perform(to, actions)
		n.send(to, from.name, func(*node) { answered(answer) })
	})
}

func (n *network) askProbe(from *node, action Action) {
	ping := Message{From: from.detector.Self()}
	finish := func(asked *node, answer *Message) {
		n.send(asked, from.name, func(*node) {
			n.perform(from, from.detector.IndirectDone(n.now, action.Probe, true, answer))
		})
	}
	n.send(from, action.To.IP, func(asked *node) {
		answered := false
		n.request(asked, action.Target.IP, ping, func(answer Message) {
			answered = true
			finish(asked, &answer)
		})
		n.after(ProbeLimit/2, func() {
			if !answered {
				n.deliver(asked, func() { finish(asked, nil) })
			}
		})
	})
}

func (n *network) sync(from *node, action Action) {
	n.send(from, action.To.IP, func(to *node) {
		answer, actions := to.detector.Synced(n.now, action.Message)
		n.perform(to, actions)
		n.send(to, from.name, func(*node) {
			_, actions := from.detector.Synced(n.now, answer)
			n.perform(from, actions)
		})
	})
}

// view returns what a node takes another one to be.
func (n *network) view(of, name string) State {
	for _, member := range n.nodes[of].detector.Members() {
		if member.Name == name {
			return member.State
		}
	}
	return ""
}

// agree reports whether every node that runs takes the nodes that run, and no
// others, to be live.
func (n *network) agree() bool {
	for of, observer := range n.nodes {
		if observer.down || observer.paused {
			continue
		}
		for name, other := range n.nodes {
			running := !other.down && !other.paused
			if (n.view(of, name) == Live) != running {
				return false
			}
		}
	}
	return true
}
