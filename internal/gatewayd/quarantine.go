package gatewayd

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

const (
	// storeAttempts and storeRetryInterval bound the attempts to read quarantined contents
	// from the platform or store them there. They outlast an outage of the platform of
	// about 2 minutes.
	storeAttempts      = 60
	storeRetryInterval = 2 * time.Second
)

// quarantinePeers announces requests that crash targets to other daemons. It implements
// quarantine.Peers.
type quarantinePeers struct {
	daemon  *Daemon
	client  *peer.Client
	batcher *quarantine.Batcher
	lifter  *quarantine.Lifter

	mu sync.Mutex
	// stored are the contents that this daemon has stored on the platform.
	stored map[quarantine.Content]bool
	// silentZones are the other zones of which nobody answered the last broadcast.
	silentZones map[string]bool
}

var _ quarantine.Peers = (*quarantinePeers)(nil)

// startQuarantine sets up the quarantine of requests that crash targets.
func (d *Daemon) startQuarantine(client *peer.Client, server *peer.Server) {
	peers := &quarantinePeers{daemon: d, client: client, stored: map[quarantine.Content]bool{}, silentZones: map[string]bool{}}
	peers.batcher = quarantine.NewBatcher(peers.announce)
	peers.lifter = quarantine.NewLifter(peers.broadcastLift)
	d.quarantine = quarantine.NewCoordinator(peers)
	d.gateway.SetQuarantine(d.quarantine)
	server.Register(peer.MethodSuspect, peers.serveSuspect)
	server.Register(peer.MethodLift, peers.serveLift)
	go d.loadQuarantined()
}

// loadQuarantined loads the quarantined contents that are stored on the platform.
func (d *Daemon) loadQuarantined() {
	retryStore(func() bool {
		stored, err := d.listQuarantined()
		if err != nil {
			d.log.WithError(err).Info("failed to read quarantined contents from the platform; retrying")
			return false
		}
		d.applyQuarantined(stored)
		return true
	})
}

// retryStore calls attempt until it returns true, but at most storeAttempts times.
func retryStore(attempt func() bool) {
	for range storeAttempts {
		if attempt() {
			return
		}
		time.Sleep(storeRetryInterval)
	}
}

// applyQuarantined quarantines stored contents, and deletes expired ones from the platform.
func (d *Daemon) applyQuarantined(stored []quarantine.Suspect) {
	now := time.Now()
	d.quarantine.Merge(now, stored)
	for _, suspect := range stored {
		if suspect.Expired(now) {
			d.deleteStored(suspect.Content)
		}
	}
}

// deleteStored deletes a content from the platform. If that fails, the content expires.
func (d *Daemon) deleteStored(content quarantine.Content) {
	if err := d.deleteQuarantined(content); err != nil {
		d.log.WithError(err).WithField("content", uint64(content)).Info("failed to delete quarantined content from the platform")
	}
}

// Announce implements quarantine.Peers.
func (p *quarantinePeers) Announce(suspect quarantine.Suspect, done func(quarantine.Answers)) {
	p.daemon.log.WithFields(logrus.Fields{
		"content":     uint64(suspect.Content),
		"service":     suspect.Service,
		"route":       suspect.Type,
		"deaths":      len(suspect.Deaths),
		"quarantined": suspect.Quarantined,
	}).Warn("request suspected of crashing its target")
	if suspect.Quarantined {
		go p.store(suspect)
	}
	p.batcher.Announce(suspect, done)
}

// announce sends suspects to the other daemons and waits for their answers.
func (p *quarantinePeers) announce(suspects []quarantine.Suspect) quarantine.Answers {
	return p.broadcast(peer.MethodSuspect, peer.Suspects{Suspects: suspects}, peer.Suspects{Suspects: suspects, Relay: true})
}

// Lift implements quarantine.Peers.
func (p *quarantinePeers) Lift(content quarantine.Content) {
	if !p.lifter.Lift(content) {
		p.daemon.log.WithField("content", uint64(content)).Warn("too many lifts in progress; other daemons not informed")
	}
	p.mu.Lock()
	stored := p.stored[content]
	delete(p.stored, content)
	p.mu.Unlock()
	if stored {
		go p.daemon.deleteStored(content)
	}
}

// store stores a quarantined content on the platform.
func (p *quarantinePeers) store(suspect quarantine.Suspect) {
	suspect = suspect.ForStorage()
	retryStore(func() bool {
		if err := p.daemon.storeQuarantined(suspect); err != nil {
			p.daemon.log.WithError(err).WithField("content", uint64(suspect.Content)).Warn("quarantine not kept")
			return false
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.stored[suspect.Content] = true
		return true
	})
}

func (p *quarantinePeers) serveSuspect(_ context.Context, params json.RawMessage) (any, error) {
	var message peer.Suspects
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	now := time.Now()
	p.daemon.quarantine.Merge(now, message.Suspects)
	answers := quarantine.Answers{Complete: true}
	if message.Relay {
		answers = p.relay(peer.MethodSuspect, peer.Suspects{Suspects: message.Suspects})
	}
	known, claimed := p.daemon.quarantine.Lookup(now, message.Suspects)
	return peer.Suspects{Suspects: known, Claimed: claimed || answers.Claimed, Incomplete: !answers.Complete}, nil
}

func (p *quarantinePeers) serveLift(_ context.Context, params json.RawMessage) (any, error) {
	var message peer.Lift
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	p.daemon.quarantine.Lift(message.Content)
	if message.Relay {
		go p.relay(peer.MethodLift, peer.Lift{Content: message.Content})
	}
	return peer.Suspects{}, nil
}
