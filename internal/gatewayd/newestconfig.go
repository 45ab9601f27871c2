package gatewayd

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/peer"
)

const (
	// maxConfigPeers is the maximum number of daemons that a starting daemon asks for their
	// configuration at a time, and maxConfigRounds how often it asks others if none of them
	// responds.
	maxConfigPeers  = 3
	maxConfigRounds = 3
	// configPeersTimeout bounds the wait for the responses of a round.
	configPeersTimeout = 500 * time.Millisecond
)

// configPeers passes configurations between daemons. A platform that was restored from an older
// copy may have an older configuration than daemons that run.
type configPeers struct {
	daemon *Daemon
	mirror *feed.ConfigMirror
	client *peer.Client
}

// serve responds to a daemon that asks for a newer configuration.
func (p *configPeers) serve(_ context.Context, params json.RawMessage) (any, error) {
	var request peer.NewestConfigRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	spec, revision := p.mirror.Newest()
	if revision <= request.Revision {
		return peer.NewestConfig{}, nil
	}
	return peer.NewestConfig{Spec: spec}, nil
}

// askAll asks registered daemons, those of the own zone first, for a newer configuration.
func (p *configPeers) askAll(members []heartbeat.Member) {
	others := slices.DeleteFunc(slices.Clone(members), func(m heartbeat.Member) bool {
		return m.Name == p.daemon.settings.Name
	})
	slices.SortStableFunc(others, func(a, b heartbeat.Member) int {
		return p.distance(a) - p.distance(b)
	})
	for range maxConfigRounds {
		asked := others[:min(len(others), maxConfigPeers)]
		if len(asked) == 0 || p.askEach(asked) {
			return
		}
		others = others[len(asked):]
	}
}

// askEach asks daemons at the same time. It returns false if none of them responds.
func (p *configPeers) askEach(members []heartbeat.Member) bool {
	var asked sync.WaitGroup
	var responded atomic.Bool
	for _, member := range members {
		asked.Go(func() {
			if p.ask(member) {
				responded.Store(true)
			}
		})
	}
	asked.Wait()
	return responded.Load()
}

// distance is 0 for a daemon of the own zone and 1 for others.
func (p *configPeers) distance(member heartbeat.Member) int {
	if member.Zone == p.daemon.settings.Zone {
		return 0
	}
	return 1
}

// ask takes the configuration of a daemon if it is newer. It returns false if the daemon doesn't
// respond.
func (p *configPeers) ask(member heartbeat.Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), configPeersTimeout)
	defer cancel()
	_, revision := p.mirror.Newest()
	var response peer.NewestConfig
	request := peer.NewestConfigRequest{Revision: revision}
	if err := p.client.Call(ctx, member.PeerAddress, peer.MethodNewestConfig, request, &response); err != nil {
		p.daemon.log.WithError(err).WithField("peer", member.Name).Info("failed to ask another daemon for its configuration")
		return false
	}
	if len(response.Spec) > 0 {
		p.daemon.log.WithField("peer", member.Name).Info("configuration received from another daemon")
		p.mirror.Offer(response.Spec)
	}
	return true
}
