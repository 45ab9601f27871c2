package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// detectionLimit is the virtual time within which all members see a change.
const detectionLimit = 10 * time.Second

// TestViewsConverge: after random crashes, restarts, pauses, losses and cuts,
// every daemon that runs comes to see exactly those that run.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 17).Draw(t, "size")
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), size)
		require.True(t, n.run(detectionLimit, n.agree), "start")
		epoch := uint64(1_000_000)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			name := nodeName(rapid.IntRange(0, size-1).Draw(t, "node"))
			epoch++
			n.disturb(rapid.IntRange(0, 5).Draw(t, "event"), name, epoch)
			n.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause"))*time.Millisecond, nil)
		}
		n.loss, n.cut = 0, nil
		for _, name := range nodeNames(size) {
			n.resume(n.nodes[name])
		}
		require.True(t, n.run(6*detectionLimit, n.agree), "views differ after the faults are over")
	})
}

func nodeNames(size int) []string {
	var names []string
	for i := range size {
		names = append(names, nodeName(i))
	}
	return names
}

func (n *network) disturb(kind int, name string, epoch uint64) {
	node := n.nodes[name]
	switch kind {
	case 0:
		node.down = true
	case 1:
		n.start(name, epoch)
		n.list()
	case 2:
		node.paused = true
	case 3:
		n.resume(node)
	case 4:
		n.loss = 0.2
	case 5:
		n.cut = func(a, b string) bool { return (a < name) != (b < name) }
	}
}

// TestCrashIsSeenByAll: a daemon that dies is no longer taken to be live by any
// other within the limit, and nobody else is suspected meanwhile.
func TestCrashIsSeenByAll(t *testing.T) {
	for _, size := range []int{2, 4, 13, 17} {
		for seed := range uint64(20) {
			n := newNetwork(seed, size)
			require.True(t, n.run(detectionLimit, n.agree))
			n.run(time.Duration(seed)*50*time.Millisecond, nil)
			n.nodes[nodeName(0)].down = true
			require.True(t, n.run(detectionLimit, n.agree), "size %d seed %d", size, seed)
		}
	}
}

// TestLossCausesNoLastingSuspicion: with a tenth of messages lost, suspicions are
// refuted.
func TestLossCausesNoLastingSuspicion(t *testing.T) {
	for seed := range uint64(10) {
		n := newNetwork(seed, 13)
		n.loss = 0.1
		n.run(time.Minute, nil)
		n.loss = 0
		require.True(t, n.run(detectionLimit, n.agree), "seed %d", seed)
	}
}

// TestPausedDaemonDoesNotAccuse: a daemon that was paused suspects nobody for
// answers that it was not there to receive.
func TestPausedDaemonDoesNotAccuse(t *testing.T) {
	for seed := range uint64(40) {
		n := newNetwork(seed, 5)
		require.True(t, n.run(detectionLimit, n.agree))
		paused := n.nodes[nodeName(0)]
		n.cut = func(a, b string) bool { return a == paused.name || b == paused.name }
		n.run(directLimit, nil)
		paused.paused = true
		n.cut = nil
		n.run(8*time.Second, nil)
		for _, name := range nodeNames(5)[1:] {
			require.NotEqual(t, Live, n.view(name, paused.name), "seed %d", seed)
		}
		before, _ := paused.detector.Counters()
		n.resume(paused)
		require.True(t, n.run(detectionLimit, n.agree), "seed %d", seed)
		after, _ := paused.detector.Counters()
		require.Equal(t, before, after, "seed %d", seed)
	}
}

// TestMessagesDoNotGrowWithMembers: in quiet times a daemon's messages a second
// are bounded, whatever the number of members.
func TestMessagesDoNotGrowWithMembers(t *testing.T) {
	for _, size := range []int{4, 17, 60} {
		n := newNetwork(1, size)
		require.True(t, n.run(6*detectionLimit, n.agree))
		n.run(time.Minute, nil)
		for _, node := range n.nodes {
			node.sent = 0
		}
		n.run(time.Minute, nil)
		for _, node := range n.nodes {
			require.LessOrEqual(t, node.sent, 5*60, "size %d: pings and answers of one minute", size)
		}
	}
}

// TestEpochsGrow: whatever records arrive, a daemon's own record is never
// superseded in its own view, and records of others only move forward.
func TestEpochsGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := Record{Name: "self", Epoch: 10, Incarnation: "i", State: Live}
		d := NewDetector(self, rand.New(rand.NewPCG(1, 1)))
		states := []State{Joining, Live, Leaving, Suspected, Dead}
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 50).Draw(t, "records") {
			record := Record{
				Name:        rapid.SampledFrom([]string{"self", "a", "b"}).Draw(t, "name"),
				Epoch:       rapid.Uint64Range(0, 20).Draw(t, "epoch"),
				Incarnation: rapid.SampledFrom([]string{"i", "j"}).Draw(t, "incarnation"),
				State:       rapid.SampledFrom(states).Draw(t, "state"),
			}
			before := map[string]Record{}
			for name, m := range d.members {
				before[name] = m.Record
			}
			d.Pinged(now, Message{From: record})
			require.Equal(t, Live, d.Self().State)
			if record.Name == "self" {
				require.False(t, record.supersedes(d.Self()))
			}
			for name, old := range before {
				require.False(t, old.supersedes(d.members[name].Record))
			}
		}
	})
}

func TestPlatformListOverridesAndLags(t *testing.T) {
	now := time.Unix(1000, 0)
	vm := func(name string, state platform.VMState) platform.VM {
		return platform.VM{Name: name, IP: name, Role: platform.RoleEntry, State: state}
	}
	d := NewDetector(Record{Name: "self", Epoch: 1, State: Live}, rand.New(rand.NewPCG(1, 1)))
	d.Listed(now, []platform.VM{vm("a", platform.VMLive), vm("b", platform.VMLive), vm("c", platform.VMLive)})
	require.Equal(t, Suspected, state(d, "a"), "a member that was never heard of isn't handed out")
	for _, name := range []string{"a", "b", "c"} {
		d.Pinged(now, Message{From: Record{Name: name, Epoch: 5, State: Live}})
	}
	require.Equal(t, Live, state(d, "a"))
	d.Listed(now, []platform.VM{vm("a", platform.VMLeaving), vm("b", platform.VMLive)})
	require.Equal(t, Leaving, state(d, "a"))
	require.Equal(t, Leaving, state(d, "c"), "the list has lost it")
	d.Listed(now, nil)
	require.Equal(t, Live, state(d, "b"), "an empty list is not believed")
	d.Pinged(now, Message{From: Record{Name: "b", Epoch: 6, State: Leaving}})
	require.Equal(t, Leaving, state(d, "b"), "the daemon's own word comes before the lagging list")
}

func state(d *Detector, name string) State {
	for _, member := range d.Members() {
		if member.Name == name {
			return member.State
		}
	}
	return ""
}
