package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/peer"
)

const (
	// leavingTick is the pause between two looks for targets that have said that
	// they are leaving.
	leavingTick = 500 * time.Millisecond
	// leavingLimit bounds the wait for peers that are told of them.
	leavingLimit = time.Second
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
	return struct{}{}, nil
}

// tellLeavingTargets tells peers of each target that has newly said that it is
// leaving, until the daemon stops.
func (d *Daemon) tellLeavingTargets() {
	told := map[string]bool{}
	for !d.stopping() {
		var news []string
		told, news = newNames(told, d.proxy.LeavingTargets())
		if len(news) > 0 {
			d.callPeers(leavingLimit, peer.MethodLeavingTargets, peer.LeavingTargets{Names: news})
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
