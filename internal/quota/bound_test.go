package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The tests below check one requirement, each under one kind of failure: in every sliding window
// all daemons together admit no more than the bound, whatever the load and the moment.

const boundTestLength = 20 * time.Second

// drawNetwork returns a network with a random number of daemons, quota and load, which may be
// far above the quota and moves between the daemons.
func drawNetwork(t *rapid.T) *network {
	limit := Limit{
		Rate:  rapid.SampledFrom([]float64{0.5, 3, 20, 100, 300}).Draw(t, "rate"),
		Burst: rapid.SampledFrom([]float64{0, 5, 100, 600}).Draw(t, "burst"),
	}
	n := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "daemons"), limit)
	load := limit.Rate * rapid.SampledFrom([]float64{0.8, 1.5, 4}).Draw(t, "load")
	for _, v := range n.vms {
		v.load(boundTestLength)
	}
	interval := rapid.SampledFrom([]time.Duration{300 * time.Millisecond, time.Second, 7 * time.Second}).Draw(t, "interval")
	n.moveLoad(load, interval)
	return n
}

// moveLoad gives the load to some random daemons at intervals, sometimes to none.
func (n *network) moveLoad(load float64, interval time.Duration) {
	for at := time.Duration(0); at < boundTestLength; at += interval {
		n.at(at, func() {
			for _, v := range n.vms {
				v.rate = 0
			}
			count := n.rng.IntN(len(n.vms) + 1)
			for _, i := range n.rng.Perm(len(n.vms))[:count] {
				n.vms[i].rate = load / float64(count)
			}
		})
	}
}

// often calls a function at random moments, with the owner or, if there is none, a random daemon
// at half of them, else with a random daemon.
func (n *network) often(interval time.Duration, f func(v *vm)) {
	pause := time.Duration(n.rng.Int64N(int64(2*interval))) + time.Millisecond
	n.at(n.now+pause, func() {
		chosen := n.vms[n.rng.IntN(len(n.vms))]
		if owner := n.owner(); owner != nil && n.rng.IntN(2) == 0 {
			chosen = owner
		}
		f(chosen)
		n.often(interval, f)
	})
}

// checkBoundUnder checks the bound under the failures that a function arranges.
func checkBoundUnder(t *testing.T, arrange func(t *rapid.T, n *network)) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawNetwork(t)
		arrange(t, n)
		n.runUntil(boundTestLength)
		n.checkBound(t, n.limit, 0)
	})
}

func drawInterval(t *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second}).Draw(t, "failures")
}

// Guards against permits beyond the quota when nothing fails.
func TestBoundWithoutFailures(t *testing.T) {
	checkBoundUnder(t, func(*rapid.T, *network) {})
}

// Guards against a lease or permits that a late message prolongs.
func TestBoundWithLateMessages(t *testing.T) {
	checkBoundUnder(t, func(t *rapid.T, n *network) {
		n.lateness = rapid.SampledFrom([]float64{0.01, 0.2, 0.9}).Draw(t, "lateness")
	})
}

// Guards against an owner that takes a lost message for a vote.
func TestBoundWithLostMessages(t *testing.T) {
	checkBoundUnder(t, func(t *rapid.T, n *network) {
		n.loss = rapid.SampledFrom([]float64{0.01, 0.2, 0.6}).Draw(t, "loss")
	})
}

// Guards against a new owner that grants again what the killed one has granted.
func TestBoundWithKilledDaemons(t *testing.T) {
	checkBoundUnder(t, func(t *rapid.T, n *network) {
		n.often(drawInterval(t), func(v *vm) { v.dead = true })
	})
}

// Guards against daemons that forget votes, grants or fallback requests by a restart.
func TestBoundWithRestartedDaemons(t *testing.T) {
	checkBoundUnder(t, func(t *rapid.T, n *network) {
		down := rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, 3 * time.Second}).Draw(t, "down")
		n.often(drawInterval(t), func(v *vm) {
			v.dead = true
			n.at(n.now+down, v.start)
		})
	})
}

// Guards against an owner or permits that outlive a freeze of their daemon.
func TestBoundWithFrozenDaemons(t *testing.T) {
	checkBoundUnder(t, func(t *rapid.T, n *network) {
		freeze := rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 1300 * time.Millisecond, 5 * time.Second}).Draw(t, "freeze")
		n.often(drawInterval(t), func(v *vm) { v.frozenUntil = n.now + freeze })
	})
}

// Guards against two owners in two parts of the deployment, and against fallback shares that are
// too large.
func TestBoundInSplitDeployment(t *testing.T) {
	checkBoundUnder(t, func(t *rapid.T, n *network) {
		sides := map[*vm]bool{}
		n.often(drawInterval(t), func(*vm) {
			for _, v := range n.vms {
				sides[v] = n.rng.IntN(2) == 0
			}
		})
		n.cut = func(from, to *vm) bool { return sides[from] != sides[to] }
	})
}

// Guards against links that carry messages in one direction only.
func TestBoundWithLinksCutInOneDirection(t *testing.T) {
	checkBoundUnder(t, func(t *rapid.T, n *network) {
		deaf := map[*vm]bool{}
		n.often(drawInterval(t), func(v *vm) { deaf[v] = !deaf[v] })
		n.cut = func(_, to *vm) bool { return deaf[to] }
	})
}

// Guards against fallback shares whose sum exceeds the slack.
func TestBoundWithAllDaemonsCutOffFromOneAnother(t *testing.T) {
	checkBoundUnder(t, func(t *rapid.T, n *network) {
		alone := false
		n.often(drawInterval(t), func(*vm) { alone = !alone })
		n.cut = func(from, to *vm) bool { return alone && from != to }
	})
}

// Guards against an owner that hands over its lease together with a full bucket.
func TestBoundWithDrainingDaemons(t *testing.T) {
	checkBoundUnder(t, func(t *rapid.T, n *network) {
		n.often(drawInterval(t), func(v *vm) {
			v.run(v.incarnation, v.node.Resign)
			n.at(n.now+time.Second, func() { v.dead = true })
			n.at(n.now+2*time.Second, v.start)
		})
	})
}

// Guards against a second owner while daemons are added: the old ones don't know them yet, and a
// majority of the old ones is none of all.
func TestBoundWhileDaemonsAreAdded(t *testing.T) {
	checkBoundUnder(t, func(t *rapid.T, n *network) {
		old := rapid.IntRange(0, len(n.vms)).Draw(t, "old")
		var addresses []string
		for _, v := range n.vms[:old] {
			addresses = append(addresses, v.address)
		}
		for _, v := range n.vms[:old] {
			v.node.SetMembers(addresses, true)
		}
		for _, v := range n.vms[old:] {
			v.dead = true
			n.at(time.Duration(n.rng.Int64N(int64(boundTestLength))), v.start)
		}
	})
}

// Guards against a lower quota that doesn't take effect one window after the daemons know it.
func TestBoundOfLowerQuota(t *testing.T) {
	const loweredAt = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := drawNetwork(t)
		lower := Limit{Rate: n.limit.Rate / 4, Burst: n.limit.Burst / 4, Revision: 2}
		n.at(loweredAt, func() { n.limit = lower })
		n.runUntil(boundTestLength)
		n.checkBound(t, lower, loweredAt)
	})
}
