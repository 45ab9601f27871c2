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
	// tellWait bounds the wait for other daemons before a suspected request is tried
	// again.
	tellWait = 25 * time.Millisecond
	// tellTimeout bounds a message about a suspect.
	tellTimeout = time.Second
	// maxTells bounds what others are being told at once. Above it requests are tried
	// again without telling.
	maxTells = 32
	// toldOutside is the number of daemons of each other zone that are told, which tell
	// the others there.
	toldOutside = 2
	// keepTries and keepPause bound the tries to keep a quarantined content on the
	// platform: an outage is waited for.
	keepTries = 60
	keepPause = 2 * time.Second
)

// quarantinePeers tells other daemons of requests that crash targets. It implements
// quarantine.Peers.
type quarantinePeers struct {
	daemon  *Daemon
	client  *peer.Client
	telling chan struct{}

	mu sync.Mutex
	// kept are the contents that this daemon has kept on the platform.
	kept map[quarantine.Content]bool
}

var _ quarantine.Peers = (*quarantinePeers)(nil)

// startQuarantine sets up what watches for requests that crash targets.
func (d *Daemon) startQuarantine(client *peer.Client, server *peer.Server) {
	peers := &quarantinePeers{daemon: d, client: client, telling: make(chan struct{}, maxTells), kept: map[quarantine.Content]bool{}}
	d.quarantine = quarantine.NewKeeper(peers)
	d.gateway.SetQuarantine(d.quarantine)
	server.Register(peer.MethodSuspect, peers.serveSuspect)
	server.Register(peer.MethodLift, peers.serveLift)
	go d.learnQuarantined()
}

// learnQuarantined takes the contents that the platform keeps over restarts.
func (d *Daemon) learnQuarantined() {
	for range keepTries {
		kept, err := d.platform.Quarantined()
		if err == nil {
			d.takeQuarantined(kept)
			return
		}
		d.log.WithError(err).Info("quarantine not read")
		time.Sleep(keepPause)
	}
}

// takeQuarantined takes kept contents and forgets those that have expired.
func (d *Daemon) takeQuarantined(kept []quarantine.Suspect) {
	now := time.Now()
	d.quarantine.Told(now, kept)
	for _, suspect := range kept {
		if suspect.Expired(now) {
			d.release(suspect.Content)
		}
	}
}

// release forgets a kept content. One that stays expires by itself.
func (d *Daemon) release(content quarantine.Content) {
	if err := d.platform.Release(content); err != nil {
		d.log.WithError(err).WithField("content", uint64(content)).Info("quarantined content not forgotten")
	}
}

// Tell implements quarantine.Peers.
func (p *quarantinePeers) Tell(suspect quarantine.Suspect, done func()) {
	p.daemon.log.WithFields(logrus.Fields{
		"content":     uint64(suspect.Content),
		"service":     suspect.Service,
		"route":       suspect.Type,
		"deaths":      len(suspect.Deaths),
		"quarantined": suspect.Quarantined,
	}).Warn("target died while it ran a request")
	if suspect.Quarantined {
		go p.keep(suspect)
	}
	suspects := []quarantine.Suspect{suspect}
	p.tellAll(peer.MethodSuspect, peer.Suspects{Suspects: suspects}, peer.Suspects{Suspects: suspects, Relay: true}, done)
}

// Lift implements quarantine.Peers.
func (p *quarantinePeers) Lift(content quarantine.Content) {
	p.tellAll(peer.MethodLift, peer.Lift{Content: content}, peer.Lift{Content: content, Relay: true}, func() {})
	p.mu.Lock()
	kept := p.kept[content]
	delete(p.kept, content)
	p.mu.Unlock()
	if kept {
		go p.daemon.release(content)
	}
}

// tellAll tells other daemons, unless too much is being told already. It doesn't wait.
// Done is called once all have answered, or after a while.
func (p *quarantinePeers) tellAll(method string, inside, outside any, done func()) {
	select {
	case p.telling <- struct{}{}:
	default:
		p.daemon.log.WithField("method", method).Warn("other daemons not told")
		go done()
		return
	}
	go func() {
		defer func() { <-p.telling }()
		p.tellEach(method, inside, outside, done)
	}()
}

// tellEach tells the daemons of the zone that serve callers, and a few of each other zone,
// which pass it on.
func (p *quarantinePeers) tellEach(method string, inside, outside any, done func()) {
	var told sync.WaitGroup
	for _, address := range p.daemon.node.ActivePeers() {
		told.Go(func() { p.tell(address, method, inside) })
	}
	for _, address := range p.daemon.node.OutsidePeers(toldOutside) {
		told.Go(func() { p.tell(address, method, outside) })
	}
	var once sync.Once
	waited := time.AfterFunc(tellWait, func() { once.Do(done) })
	told.Wait()
	waited.Stop()
	once.Do(done)
}

// tell sends one message and takes what the other daemon knows. One that doesn't answer
// learns of a quarantine from the platform, or by telling of a death itself.
func (p *quarantinePeers) tell(address, method string, message any) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	var known peer.Suspects
	if err := p.client.Call(ctx, address, method, message, &known); err != nil {
		p.daemon.log.WithError(err).WithField("peer", address).Info("other daemon not told of a suspect")
		return
	}
	p.daemon.quarantine.Told(time.Now(), known.Suspects)
}

// keep keeps a quarantined content on the platform.
func (p *quarantinePeers) keep(suspect quarantine.Suspect) {
	for range keepTries {
		err := p.daemon.platform.Quarantine(suspect)
		if err == nil {
			p.mu.Lock()
			p.kept[suspect.Content] = true
			p.mu.Unlock()
			return
		}
		p.daemon.log.WithError(err).WithField("content", uint64(suspect.Content)).Warn("quarantine not kept")
		time.Sleep(keepPause)
	}
}

func (p *quarantinePeers) serveSuspect(_ context.Context, params json.RawMessage) (any, error) {
	var message peer.Suspects
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	now := time.Now()
	p.daemon.quarantine.Told(now, message.Suspects)
	if message.Relay {
		go p.passOn(peer.MethodSuspect, peer.Suspects{Suspects: message.Suspects})
	}
	return peer.Suspects{Suspects: p.daemon.quarantine.Known(now, message.Suspects)}, nil
}

func (p *quarantinePeers) serveLift(_ context.Context, params json.RawMessage) (any, error) {
	var message peer.Lift
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	p.daemon.quarantine.Lift(message.Content)
	if message.Relay {
		go p.passOn(peer.MethodLift, peer.Lift{Content: message.Content})
	}
	return peer.Suspects{}, nil
}

// passOn tells the daemons of the zone what one of another zone told.
func (p *quarantinePeers) passOn(method string, message any) {
	for _, address := range p.daemon.node.ActivePeers() {
		p.tell(address, method, message)
	}
}
