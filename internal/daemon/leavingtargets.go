package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/peer"
)

const (
	// leavingTick is the pause between two looks for targets that have said that
	// they are leaving.
	leavingTick = 500 * time.Millisecond
	// leavingLimit bounds the wait for peers that are told of them.
	leavingLimit = time.Second
	// leavingAskLimit bounds the wait for peers that are asked at start.
	leavingAskLimit = time.Second
)

// startLeavingTargets registers the method by which peers tell of leaving targets.
func (d *Daemon) startLeavingTargets() {
	d.peers.Register(peer.MethodLeavingTargets, d.serveLeavingTargets)
}

func (d *Daemon) serveLeavingTargets(_ context.Context, params json.RawMessage) (any, error) {
	var message peer.LeavingTargets
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	d.proxy.SetTargetsLeavingByPeer(message.Names)
	listed := slices.Collect(maps.Keys(*d.targetsLeaving.Load()))
	return peer.LeavingTargets{Names: d.proxy.LeavingTargets(), Listed: listed}, nil
}

// learnLeavingTargets asks all peers which targets are leaving. A daemon that
// starts during an outage of the platform has no other way to know. What peers
// have from the list counts until this daemon reads the list. It returns the
// targets that have said so themselves.
func (d *Daemon) learnLeavingTargets() []string {
	unread := d.targetsLeaving.Load()
	answer := d.askLeavingTargets()
	listed := make(map[string]bool, len(answer.Listed))
	for _, name := range answer.Listed {
		listed[name] = true
	}
	if len(*unread) == 0 {
		d.targetsLeaving.CompareAndSwap(unread, &listed)
	}
	return answer.Names
}

// askLeavingTargets returns what all peers know together.
func (d *Daemon) askLeavingTargets() peer.LeavingTargets {
	ctx, cancel := context.WithTimeout(context.Background(), leavingAskLimit)
	defer cancel()
	var mu sync.Mutex
	var known peer.LeavingTargets
	var calls sync.WaitGroup
	for _, member := range d.reachable() {
		calls.Go(func() {
			var reply peer.LeavingTargets
			if err := d.peerClient.Call(ctx, d.members.address(member.IP), peer.MethodLeavingTargets, peer.LeavingTargets{}, &reply); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			known.Names = append(known.Names, reply.Names...)
			known.Listed = append(known.Listed, reply.Listed...)
		})
	}
	calls.Wait()
	return known
}

// tellLeavingTargets tells peers of each target that has newly said that it is
// leaving, until the daemon stops.
func (d *Daemon) tellLeavingTargets() {
	told := map[string]bool{}
	for !d.stopping() {
		var news []string
		told, news = newNames(told, d.proxy.LeavingTargets())
		if len(news) > 0 {
			d.broadcast(leavingLimit, peer.MethodLeavingTargets, peer.LeavingTargets{Names: news}, nil)
		}
		d.sleep(leavingTick)
	}
}

// newNames returns the current names as a set, and those that weren't in the set
// before.
func newNames(before map[string]bool, current []string) (now map[string]bool, news []string) {
	now = make(map[string]bool, len(current))
	for _, name := range current {
		if !before[name] && !now[name] {
			news = append(news, name)
		}
		now[name] = true
	}
	return now, news
}
