package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testBound is the requirement of the design page.
var testBound = Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// network simulates daemons, the messages between them and their requests for one workspace.
type network struct {
	now    time.Duration
	rng    *rand.Rand
	events eventHeap
	vms    []*vm
	limit  Limit
	// cut reports whether messages between two daemons are lost.
	cut func(from, to *vm) bool
	// lateness and loss are the fractions of messages that are late by up to 1.5 s, and lost.
	lateness, loss float64
	// runs are the times at which requests were admitted and sent to targets, requests and
	// rejections the numbers of requests that have ended since the start.
	runs                 []time.Duration
	requests, rejections int
	waits                []time.Duration
	// onRequest is called when a request arrives.
	onRequest func()
}

// vm is a simulated daemon. Its clock differs from those of the others.
type vm struct {
	net         *network
	address     string
	node        *Node
	clock       time.Duration
	incarnation uint64
	dead        bool
	frozenUntil time.Duration
	// rate is the rate of requests that arrive at the daemon.
	rate float64
	tick time.Duration
}

type simEvent struct {
	at   time.Duration
	turn int
	run  func()
}

type eventHeap struct {
	list []simEvent
	turn int
}

func (h *eventHeap) Len() int { return len(h.list) }
func (h *eventHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	return a.at < b.at || a.at == b.at && a.turn < b.turn
}
func (h *eventHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *eventHeap) Push(x any)    { h.list = append(h.list, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// testStartupShare is that of two daemons in each of three zones.
const testStartupShare = 1.0 / 6

// newNetwork returns daemons that have all known one another for a while.
func newNetwork(seed uint64, daemons int, limit Limit) *network {
	limit.Revision = 1
	n := &network{rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, cut: func(_, _ *vm) bool { return false }, onRequest: func() {}}
	for i := range daemons {
		n.vms = append(n.vms, &vm{net: n, address: fmt.Sprintf("10.0.0.%d:7000", i+1)})
	}
	for _, v := range n.vms {
		v.start()
	}
	return n
}

// at runs a function at a time.
func (n *network) at(at time.Duration, run func()) {
	n.events.turn++
	heap.Push(&n.events, simEvent{at: max(at, n.now), turn: n.events.turn, run: run})
}

// runUntil processes all events up to a time.
func (n *network) runUntil(end time.Duration) {
	for n.events.Len() > 0 && n.events.list[0].at <= end {
		next := heap.Pop(&n.events).(simEvent)
		n.now = next.at
		next.run()
	}
	n.now = end
}

// start starts the daemon with nothing but the list of daemons.
func (v *vm) start() {
	v.incarnation++
	v.dead, v.tick = false, 0
	v.clock = time.Duration(v.net.rng.Int64N(int64(time.Hour))) + time.Minute - v.net.now
	rng := rand.New(rand.NewPCG(v.net.rng.Uint64(), 2))
	v.node = NewNode(v.local(), Options{Self: v.address, Incarnation: v.incarnation, Bound: testBound, StartupShare: testStartupShare, Random: rng.Float64})
	var all []string
	for _, other := range v.net.vms {
		all = append(all, other.address)
	}
	v.node.SetMembers(all, true)
}

// local returns the time by the daemon's clock.
func (v *vm) local() time.Duration { return v.net.now + v.clock }

// run runs a function at the daemon unless it is dead or another incarnation, or once it isn't
// frozen anymore.
func (v *vm) run(incarnation uint64, f func(now time.Duration)) {
	switch {
	case v.dead || v.incarnation != incarnation:
	case v.net.now < v.frozenUntil:
		v.net.at(v.frozenUntil, func() { v.run(incarnation, f) })
	default:
		f(v.local())
		v.handleOutput()
	}
}

// handleOutput sends messages, ends waits and schedules the next tick.
func (v *vm) handleOutput() {
	output := v.node.TakeOutput()
	for _, d := range output.Decisions {
		v.net.ended(d.Waiter.Payload.(time.Duration), d.Verdict)
	}
	for _, m := range output.Messages {
		v.send(m)
	}
	next, due := v.node.NextTick(v.local())
	if !due {
		return
	}
	at := max(next-v.clock, v.net.now+time.Millisecond)
	if v.tick > v.net.now && v.tick <= at {
		return
	}
	v.tick = at
	incarnation := v.incarnation
	v.net.at(at, func() { v.run(incarnation, v.node.Tick) })
}

// ended records the end of a request that arrived at a time.
func (n *network) ended(arrived time.Duration, verdict Verdict) {
	n.requests++
	n.waits = append(n.waits, n.now-arrived)
	if verdict.Outcome == Rejected {
		n.rejections++
		return
	}
	n.runs = append(n.runs, n.now)
}

// send sends a message and the reply to it.
func (v *vm) send(m Message) {
	receiver := v.net.vms[slices.IndexFunc(v.net.vms, func(o *vm) bool { return o.address == m.To })]
	incarnation := v.incarnation
	if receiver.dead && m.Ask != nil {
		v.net.transfer(v, v, func() { v.run(incarnation, func(now time.Duration) { v.node.AskFailed(now, m.ID) }) })
		return
	}
	v.net.transfer(v, receiver, func() {
		receiver.run(receiver.incarnation, func(now time.Duration) {
			handled := receiver.handle(now, m)
			v.net.transfer(receiver, v, func() { v.run(incarnation, func(now time.Duration) { v.handleReply(now, m, handled) }) })
		})
	})
}

func (v *vm) handle(now time.Duration, m Message) any {
	switch {
	case m.Ask != nil:
		return v.node.HandleAsk(now, *m.Ask)
	case m.Vote != nil:
		return v.node.HandleVote(now, *m.Vote)
	}
	v.node.HandleRelease(now, *m.Release)
	return nil
}

func (v *vm) handleReply(now time.Duration, m Message, reply any) {
	switch reply := reply.(type) {
	case AskReply:
		v.node.AskReplied(now, m.ID, reply)
	case VoteReply:
		v.node.VoteReplied(now, m.Vote.Round, m.To, reply)
	}
}

// transfer delivers a message after the latency between zones, unless it is lost.
func (n *network) transfer(from, to *vm, deliver func()) {
	if n.cut(from, to) || n.rng.Float64() < n.loss {
		return
	}
	latency := 500*time.Microsecond + time.Duration(n.rng.Int64N(int64(3400*time.Microsecond)))
	if n.rng.Float64() < n.lateness {
		latency += time.Duration(n.rng.Int64N(int64(1500 * time.Millisecond)))
	}
	n.at(n.now+latency, deliver)
}

// load makes requests arrive at the daemon until a time, at the current rate. The requests of a
// daemon that is dead or frozen are lost.
func (v *vm) load(until time.Duration) {
	const idlePoll = 50 * time.Millisecond
	pause := idlePoll
	if v.rate > 0 {
		pause = time.Duration(v.net.rng.ExpFloat64() / v.rate * float64(time.Second))
		pause = min(pause, idlePoll*20)
	}
	rate := v.rate
	v.net.at(v.net.now+pause, func() {
		if v.net.now >= until {
			return
		}
		if rate > 0 && v.rate > 0 && !v.dead && v.net.now >= v.frozenUntil {
			v.run(v.incarnation, v.request)
		}
		v.load(until)
	})
}

// request lets a request arrive.
func (v *vm) request(now time.Duration) {
	arrived := v.net.now
	v.net.onRequest()
	verdict, _ := v.node.Admit(now, "a", v.net.limit, arrived)
	if verdict.Outcome != Waiting {
		v.net.ended(arrived, verdict)
	}
}

// loadAll spreads a rate of requests evenly over some daemons.
func (n *network) loadAll(vms []*vm, rate float64, until time.Duration) {
	for _, v := range vms {
		v.rate = rate / float64(len(vms))
		v.load(until)
	}
}

// owner returns the daemon that is the owner, or nil.
func (n *network) owner() *vm {
	for _, v := range n.vms {
		if !v.dead && n.now >= v.frozenUntil && v.node.IsOwner(v.local()) {
			return v
		}
	}
	return nil
}

// checkBound checks that the requests in each sliding window of runs after a time stay below the
// bound for a limit.
func (n *network) checkBound(t require.TestingT, limit Limit, from time.Duration) {
	allowed := (limit.Rate*testBound.Window.Seconds()+limit.Burst)*(1+testBound.Overage) + testBound.Slack
	first := 0
	for i, run := range n.runs {
		for n.runs[first] < from || n.runs[first] <= run-testBound.Window {
			if first == i {
				break
			}
			first++
		}
		require.LessOrEqual(t, float64(i-first+1), allowed, "requests in the %s until %s", testBound.Window, run)
	}
}

// report logs the share of rejections and the waits.
func (n *network) report(t *testing.T) {
	slices.Sort(n.waits)
	messages := uint64(0)
	for _, v := range n.vms {
		counts := v.node.Counts()
		messages += counts.Asks + counts.Votes + counts.Releases
	}
	t.Logf("%d requests, %d rejected (%.3f %%), wait p50 %s p99 %s, %.1f messages per second",
		n.requests, n.rejections, 100*float64(n.rejections)/float64(max(n.requests, 1)),
		n.waits[len(n.waits)/2], n.waits[len(n.waits)*99/100], float64(messages)/n.now.Seconds())
}
