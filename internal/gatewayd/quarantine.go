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
	// broadcastWait bounds the wait for other daemons before a suspected request is retried.
	broadcastWait = 25 * time.Millisecond
	// messageTimeout bounds the exchange of one message with another daemon.
	messageTimeout = time.Second
	// maxBroadcasts is the maximum number of broadcasts in progress. Above it,
	// requests are retried without a broadcast.
	maxBroadcasts = 32
	// relaysPerZone is the number of daemons of each other zone that receive a
	// broadcast. They relay it to the others there.
	relaysPerZone = 2
	// storeAttempts and storeRetryInterval bound the attempts to read quarantined contents
	// from the platform or store them there. They outlast an outage of the platform of
	// about 2 minutes.
	storeAttempts      = 60
	storeRetryInterval = 2 * time.Second
)

// quarantinePeers announces requests that crash targets to other daemons. It implements
// quarantine.Peers.
type quarantinePeers struct {
	daemon *Daemon
	client *peer.Client
	// broadcasting holds one element for each broadcast in progress.
	broadcasting chan struct{}

	mu sync.Mutex
	// stored are the contents that this daemon has stored on the platform.
	stored map[quarantine.Content]bool
}

var _ quarantine.Peers = (*quarantinePeers)(nil)

// startQuarantine sets up the quarantine of requests that crash targets.
func (d *Daemon) startQuarantine(client *peer.Client, server *peer.Server) {
	peers := &quarantinePeers{daemon: d, client: client, broadcasting: make(chan struct{}, maxBroadcasts), stored: map[quarantine.Content]bool{}}
	d.quarantine = quarantine.NewCoordinator(peers)
	d.gateway.SetQuarantine(d.quarantine)
	server.Register(peer.MethodSuspect, peers.serveSuspect)
	server.Register(peer.MethodLift, peers.serveLift)
	go d.loadQuarantined()
}

// loadQuarantined loads the quarantined contents that are stored on the platform.
func (d *Daemon) loadQuarantined() {
	for range storeAttempts {
		stored, err := d.platform.LoadQuarantined()
		if err == nil {
			d.applyQuarantined(stored)
			return
		}
		d.log.WithError(err).Info("failed to read quarantined contents from the platform; retrying")
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
	if err := d.platform.DeleteQuarantined(content); err != nil {
		d.log.WithError(err).WithField("content", uint64(content)).Info("failed to delete quarantined content from the platform")
	}
}

// Announce implements quarantine.Peers.
func (p *quarantinePeers) Announce(suspect quarantine.Suspect, done func()) {
	p.daemon.log.WithFields(logrus.Fields{
		"content":     uint64(suspect.Content),
		"service":     suspect.Service,
		"route":       suspect.Type,
		"deaths":      len(suspect.Deaths),
		"quarantined": suspect.Quarantined,
	}).Warn("target died while it ran a request")
	if suspect.Quarantined {
		go p.store(suspect)
	}
	suspects := []quarantine.Suspect{suspect}
	p.broadcast(peer.MethodSuspect, peer.Suspects{Suspects: suspects}, peer.Suspects{Suspects: suspects, Relay: true}, done)
}

// Lift implements quarantine.Peers.
func (p *quarantinePeers) Lift(content quarantine.Content) {
	p.broadcast(peer.MethodLift, peer.Lift{Content: content}, peer.Lift{Content: content, Relay: true}, func() {})
	p.mu.Lock()
	stored := p.stored[content]
	delete(p.stored, content)
	p.mu.Unlock()
	if stored {
		go p.daemon.deleteStored(content)
	}
}

// broadcast sends a message to other daemons, unless too many broadcasts are in progress:
// local to daemons of this zone, remote to those of other zones. It doesn't wait. It calls
// done once all daemons have responded, or after broadcastWait.
func (p *quarantinePeers) broadcast(method string, local, remote any, done func()) {
	select {
	case p.broadcasting <- struct{}{}:
	default:
		p.daemon.log.WithField("method", method).Warn("too many broadcasts in progress; other daemons not informed")
		go done()
		return
	}
	go func() {
		defer func() { <-p.broadcasting }()
		p.sendAll(method, local, remote, done)
	}()
}

// sendAll sends a message to the active daemons of the zone, and to a few of each other zone,
// which relay it.
func (p *quarantinePeers) sendAll(method string, local, remote any, done func()) {
	var sends sync.WaitGroup
	for _, address := range p.daemon.node.ActivePeers() {
		sends.Go(func() { p.send(address, method, local) })
	}
	for _, address := range p.daemon.node.OtherZonePeers(relaysPerZone) {
		sends.Go(func() { p.send(address, method, remote) })
	}
	var once sync.Once
	timer := time.AfterFunc(broadcastWait, func() { once.Do(done) })
	sends.Wait()
	timer.Stop()
	once.Do(done)
}

// send sends one message and merges the suspects that the other daemon returns. A daemon
// that doesn't respond learns of a quarantine from the platform, or from the response to an
// broadcast of its own.
func (p *quarantinePeers) send(address, method string, message any) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	var known peer.Suspects
	if err := p.client.Call(ctx, address, method, message, &known); err != nil {
		p.daemon.log.WithError(err).WithField("peer", address).Info("failed to inform another daemon of a change of the quarantine")
		return
	}
	p.daemon.quarantine.Merge(time.Now(), known.Suspects)
}

// store stores a quarantined content on the platform.
func (p *quarantinePeers) store(suspect quarantine.Suspect) {
	for range storeAttempts {
		err := p.daemon.platform.StoreQuarantined(suspect)
		if err == nil {
			p.mu.Lock()
			p.stored[suspect.Content] = true
			p.mu.Unlock()
			return
		}
		p.daemon.log.WithError(err).WithField("content", uint64(suspect.Content)).Warn("quarantine not kept")
		time.Sleep(storeRetryInterval)
	}
}

func (p *quarantinePeers) serveSuspect(_ context.Context, params json.RawMessage) (any, error) {
	var message peer.Suspects
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	now := time.Now()
	p.daemon.quarantine.Merge(now, message.Suspects)
	if message.Relay {
		go p.relay(peer.MethodSuspect, peer.Suspects{Suspects: message.Suspects})
	}
	return peer.Suspects{Suspects: p.daemon.quarantine.Lookup(now, message.Suspects)}, nil
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

// relay sends a message from another zone to the active daemons of this zone.
func (p *quarantinePeers) relay(method string, message any) {
	for _, address := range p.daemon.node.ActivePeers() {
		p.send(address, method, message)
	}
}
