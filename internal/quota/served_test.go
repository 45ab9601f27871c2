package quota

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// usual is a quota of 1.6 times the usual load, as deployments have it.
var usual = Limit{Rate: 160, Burst: 160}

const usualLoad = 100.0

// warmUp is the time after the start in which an owner is found.
const warmUp = 3 * time.Second

func (n *network) settle() {
	n.runUntil(n.now + warmUp)
	n.requests, n.rejections, n.waits = 0, 0, nil
}

// Guards against rejections of a workspace that stays below its quota while all of its requests
// arrive at three daemons of one zone.
func TestLoadBelowTheQuotaAtThreeDaemonsIsServed(t *testing.T) {
	n := newNetwork(1, 30, usual)
	n.loadAll(n.vms[:3], usualLoad, time.Minute)
	n.settle()
	n.runUntil(time.Minute)
	n.report(t)
	require.Zero(t, n.rejections)
}

// Guards against rejections when the whole load of a workspace moves to other daemons at once.
func TestLoadThatMovesBetweenDaemonsIsServed(t *testing.T) {
	n := newNetwork(2, 30, usual)
	n.loadAll(n.vms[:3], usualLoad, time.Minute)
	n.loadAll(n.vms[10:13], 0, time.Minute)
	for i := range 10 {
		n.at(time.Duration(5+5*i)*time.Second, func() {
			for j := range 3 {
				n.vms[j].rate, n.vms[10+j].rate = n.vms[10+j].rate, n.vms[j].rate
			}
		})
	}
	n.settle()
	n.runUntil(time.Minute)
	n.report(t)
	require.Zero(t, n.rejections)
}

// Guards against permits of a workspace with few requests that expire unused. Its random requests
// exceed the quota at times, so the rejections are compared to those of one token bucket for all.
func TestSmallWorkspaceIsServedAsByOneBucket(t *testing.T) {
	const length = 10 * time.Minute
	limit := Limit{Rate: 5, Burst: 5}
	n := newNetwork(3, 30, limit)
	ideal, idealRejections := bucket{limit: limit, capacity: limit.Burst, tokens: limit.Burst}, 0
	n.onRequest = func() {
		ideal.refill(n.now)
		if ideal.take(1) == 0 {
			idealRejections++
		}
	}
	n.loadAll(n.vms[:3], 3, length)
	n.settle()
	n.runUntil(length)
	n.report(t)
	t.Logf("%d rejected by one bucket", idealRejections)
	require.LessOrEqual(t, float64(n.rejections), float64(idealRejections)+0.002*float64(n.requests))
}

// Guards against an owner that grants less than the quota to a workspace far above it.
func TestLoadAboveTheQuotaGetsTheQuota(t *testing.T) {
	n := newNetwork(4, 30, usual)
	n.loadAll(n.vms[:3], usualLoad, time.Minute)
	n.settle()
	n.runUntil(10 * time.Second)
	before := len(n.runs)
	for _, v := range n.vms[:3] {
		v.rate *= 8
	}
	n.runUntil(16 * time.Second)
	served := float64(len(n.runs) - before)
	n.report(t)
	require.Greater(t, served, 0.95*(6*usual.Rate+usual.Burst))
	n.checkBound(t, usual, 0)
}

// Guards against a long time without permits after the owner was killed.
func TestOwnerThatIsKilledIsReplaced(t *testing.T) {
	n := newNetwork(5, 30, usual)
	n.loadAll(n.vms[:3], usualLoad, time.Minute)
	n.settle()
	n.runUntil(10 * time.Second)
	owner := n.owner()
	require.NotNil(t, owner)
	owner.dead = true
	n.runUntil(20 * time.Second)
	n.report(t)
	require.NotNil(t, n.owner())
	n.checkBound(t, usual, 0)
	require.Less(t, float64(n.rejections), 1.5*usualLoad)
}

// Guards against a gap between two owners when one ends in an orderly way.
func TestOwnerThatDrainsIsReplacedWithoutRejections(t *testing.T) {
	n := newNetwork(6, 30, usual)
	n.loadAll(n.vms[:3], usualLoad, time.Minute)
	n.settle()
	n.runUntil(10 * time.Second)
	owner := n.owner()
	require.NotNil(t, owner)
	owner.run(owner.incarnation, owner.node.Resign)
	n.runUntil(20 * time.Second)
	n.report(t)
	require.NotNil(t, n.owner())
	n.checkBound(t, usual, 0)
	require.Zero(t, n.rejections)
}

// Guards against messages while there are no requests.
func TestNothingIsSentWithoutRequests(t *testing.T) {
	n := newNetwork(7, 30, usual)
	n.loadAll(n.vms[:3], usualLoad, 5*time.Second)
	n.runUntil(20 * time.Second)
	sent := func() (messages uint64) {
		for _, v := range n.vms {
			counts := v.node.Counts()
			messages += counts.Asks + counts.Votes + counts.Releases
		}
		return messages
	}
	require.NotZero(t, sent())
	before := sent()
	n.runUntil(time.Hour)
	require.Equal(t, before, sent())
}

// Guards against a deployment that finds no owner anymore after 40 % of its daemons were killed.
func TestLoadIsServedAfterFortyPercentOfTheDaemonsWereKilled(t *testing.T) {
	n := newNetwork(8, 153, usual)
	n.loadAll(n.vms[:6], usualLoad, time.Minute)
	n.settle()
	n.runUntil(10 * time.Second)
	n.report(t)
	for _, v := range n.vms[92:] {
		v.dead = true
	}
	if owner := n.owner(); owner != nil && owner != n.vms[0] {
		owner.dead = true
	}
	n.runUntil(13 * time.Second)
	n.report(t)
	rejected := n.rejections
	n.runUntil(30 * time.Second)
	n.report(t)
	require.Equal(t, rejected, n.rejections)
	n.checkBound(t, usual, 0)
	require.Less(t, float64(n.rejections), 1.5*usualLoad)
}

// Guards against rejections in the larger part of a deployment that is split.
func TestLoadAtTheLargerPartOfASplitDeploymentIsServed(t *testing.T) {
	n := newNetwork(9, 30, usual)
	n.loadAll(n.vms[:3], usualLoad, time.Minute)
	n.settle()
	n.runUntil(10 * time.Second)
	cutOff := n.vms[20:]
	n.cut = func(from, to *vm) bool {
		return slices.Contains(cutOff, from) != slices.Contains(cutOff, to)
	}
	n.runUntil(30 * time.Second)
	n.report(t)
	require.Less(t, float64(n.rejections), 1.5*usualLoad)
}

// Guards against an owner that stays frozen as the one that is asked.
func TestOwnerThatIsFrozenIsReplaced(t *testing.T) {
	n := newNetwork(10, 30, usual)
	n.loadAll(n.vms[:3], usualLoad, time.Minute)
	n.settle()
	n.runUntil(10 * time.Second)
	owner := n.owner()
	require.NotNil(t, owner)
	owner.frozenUntil = n.now + freeze
	n.runUntil(20 * time.Second)
	n.report(t)
	require.Less(t, float64(n.rejections), 1.5*usualLoad)
	n.checkBound(t, usual, 0)
}

// Guards against rejections while daemons start together and can't vote yet.
func TestRequestsDuringTheStartOfADeploymentAreServed(t *testing.T) {
	n := newNetwork(11, 30, usual)
	n.loadAll(n.vms[:3], usualLoad, time.Minute)
	n.runUntil(10 * time.Second)
	n.report(t)
	require.Less(t, float64(n.rejections), 1.5*usualLoad)
}

// Guards against a question for every request: a busy daemon sends at most asksPerSecond.
func TestBusyDaemonAsksForPermitsInBatches(t *testing.T) {
	n := newNetwork(12, 30, Limit{Rate: 2000, Burst: 2000})
	n.loadAll(n.vms[:3], 1200, time.Minute)
	n.settle()
	before := n.vms[0].node.Counts().Asks
	n.runUntil(n.now + 10*time.Second)
	asks := float64(n.vms[0].node.Counts().Asks-before) / 10
	t.Logf("%.1f questions per second for %.0f requests per second", asks, n.vms[0].rate)
	n.report(t)
	require.LessOrEqual(t, asks, float64(asksPerSecond))
	require.Zero(t, n.rejections)
}
