package quota

import (
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

// Guards against rejections of a workspace with few requests: its daemons hold no stock.
func TestSmallWorkspaceIsServed(t *testing.T) {
	n := newNetwork(3, 30, Limit{Rate: 5, Burst: 5})
	n.loadAll(n.vms[:3], 3, time.Minute)
	n.settle()
	n.runUntil(time.Minute)
	n.report(t)
	require.Less(t, float64(n.rejections), 0.02*float64(n.requests))
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
