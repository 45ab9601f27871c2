package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

const (
	// tellLimit bounds the wait for peers before a suspected request is tried
	// again.
	tellLimit = 150 * time.Millisecond
	// liftLimit bounds the wait for peers when an operator lifts a quarantine.
	liftLimit = 2 * time.Second
	// suspectsRetryDelay is the pause between two attempts to learn the suspects
	// from a peer.
	suspectsRetryDelay = 500 * time.Millisecond
	// suspectsAttempts bounds those attempts.
	suspectsAttempts = 20
)

// quarantinePeers implements quarantine.Peers.
type quarantinePeers struct {
	daemon  *Daemon
	batcher *quarantine.Batcher
	lifter  *quarantine.Lifter
	store   *quarantineStore
}

var _ quarantine.Peers = (*quarantinePeers)(nil)

// startQuarantine sets up what watches for requests that crash targets.
func (d *Daemon) startQuarantine() {
	d.quarantineStore = newQuarantineStore(d)
	peers := &quarantinePeers{daemon: d, store: d.quarantineStore}
	peers.batcher = quarantine.NewBatcher(peers.tell)
	peers.lifter = quarantine.NewLifter(peers.tellLift)
	d.quarantine = quarantine.NewCoordinator(peers)
	d.proxy.SetQuarantine(d.quarantine)
	d.peers.Register(peer.MethodSuspect, d.serveSuspect)
	d.peers.Register(peer.MethodLift, d.serveLift)
	d.peers.Register(peer.MethodSuspects, d.serveSuspects)
	d.observed.metrics.Gauge("quarantined_requests", "Contents of requests that are not run because they crash targets.", func() float64 {
		quarantined := 0
		for _, suspect := range d.quarantine.Suspects(time.Now()) {
			if suspect.Quarantined {
				quarantined++
			}
		}
		return float64(quarantined)
	})
}

// Announce implements quarantine.Peers.
func (p *quarantinePeers) Announce(suspect quarantine.Suspect, done func(quarantine.Answers)) {
	log := p.daemon.log.WithField("content", uint64(suspect.Content)).WithField("service", suspect.Service).WithField("type", suspect.Type)
	log.WithField("deaths", len(suspect.Deaths)).WithField("quarantined", suspect.Quarantined).Warn("target died while it ran a request")
	if suspect.Quarantined {
		p.store.change(quarantine.Change{Add: &suspect})
	}
	p.batcher.Announce(suspect, done)
}

// tell tells suspects to the other daemons and waits for their answers.
func (p *quarantinePeers) tell(suspects []quarantine.Suspect) quarantine.Answers {
	unreached := p.daemon.broadcast(tellLimit, peer.MethodSuspect, peer.Suspects{Suspects: suspects}, p.learn)
	return quarantine.Answers{Complete: len(unreached) == 0}
}

// learn takes what a peer that was told of suspects knows of them.
func (p *quarantinePeers) learn(answer json.RawMessage) {
	var known peer.Suspects
	if err := json.Unmarshal(answer, &known); err != nil {
		p.daemon.log.WithError(err).Warn("peer's word on suspects not read")
		return
	}
	p.daemon.quarantine.Merge(time.Now(), known.Suspects)
}

// Lift implements quarantine.Peers.
func (p *quarantinePeers) Lift(content quarantine.Content) {
	if !p.lifter.Lift(content) {
		p.daemon.log.WithField("content", uint64(content)).Warn("too many lifts in progress; other daemons not informed")
	}
}

// tellLift tells the other daemons that a content isn't suspected anymore and waits for their
// answers.
func (p *quarantinePeers) tellLift(content quarantine.Content) {
	p.daemon.broadcast(liftLimit, peer.MethodLift, peer.Lift{Content: content}, nil)
}

func (d *Daemon) serveSuspect(_ context.Context, params json.RawMessage) (any, error) {
	var message peer.Suspects
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	now := time.Now()
	d.quarantine.Merge(now, message.Suspects)
	known, claimed := d.quarantine.Lookup(now, message.Suspects)
	return peer.Suspects{Suspects: known, Claimed: claimed}, nil
}

func (d *Daemon) serveLift(_ context.Context, params json.RawMessage) (any, error) {
	var message peer.Lift
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	d.quarantine.Lift(message.Content)
	return struct{}{}, nil
}

func (d *Daemon) serveSuspects(context.Context, json.RawMessage) (any, error) {
	return peer.Suspects{Suspects: d.quarantine.Suspects(time.Now())}, nil
}

// learnSuspects takes the suspects of one peer, after a start.
func (d *Daemon) learnSuspects() {
	for range suspectsAttempts {
		if d.learnSuspectsOnce() {
			return
		}
		select {
		case <-d.stop:
			return
		case <-time.After(suspectsRetryDelay):
		}
	}
}

func (d *Daemon) learnSuspectsOnce() bool {
	for _, member := range d.reachable() {
		ctx, cancel := context.WithTimeout(context.Background(), liftLimit)
		var message peer.Suspects
		err := d.peerClient.Call(ctx, d.members.address(member.IP), peer.MethodSuspects, struct{}{}, &message)
		cancel()
		if err == nil {
			d.quarantine.Merge(time.Now(), message.Suspects)
			return true
		}
	}
	return false
}

// LiftQuarantine forgets content on all entry daemons that answer.
func (d *Daemon) LiftQuarantine(content quarantine.Content) adminapi.LiftReply {
	reply := adminapi.LiftReply{Known: d.quarantine.Lift(content)}
	d.quarantineStore.change(quarantine.Change{Remove: content})
	reply.Unreached = d.broadcast(liftLimit, peer.MethodLift, peer.Lift{Content: content}, nil)
	d.log.WithField("content", uint64(content)).WithField("unreached", len(reply.Unreached)).Info("quarantine lifted")
	return reply
}
