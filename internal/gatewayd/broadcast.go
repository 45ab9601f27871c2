package gatewayd

import (
	"context"
	"sync"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

const (
	// broadcastWait bounds the wait for other daemons before it is decided whether a
	// suspected request is sent.
	broadcastWait = 100 * time.Millisecond
	// relayWait bounds the wait of a daemon that relays a broadcast for the daemons of its
	// zone. It is shorter, so that its answer arrives within broadcastWait.
	relayWait = 60 * time.Millisecond
	// messageTimeout bounds the exchange of one message with another daemon.
	messageTimeout = time.Second
	// relaysPerZone is the number of daemons of each other zone that receive a
	// broadcast. They relay it to the others there.
	relaysPerZone = 2
)

// broadcast is a message on its way to groups of daemons. A group has answered as soon as one
// of its daemons has.
type broadcast struct {
	mu sync.Mutex
	// waiting is the number of groups that have not answered.
	waiting int
	claimed bool
	// done is closed once all groups have answered.
	done chan struct{}
}

func newBroadcast(groups int) *broadcast {
	b := &broadcast{waiting: groups, done: make(chan struct{})}
	if groups == 0 {
		close(b.done)
	}
	return b
}

// answered records the first complete answer of a group.
func (b *broadcast) answered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if b.waiting == 0 {
		close(b.done)
	}
}

// claim records that a daemon holds a claim.
func (b *broadcast) claim() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.claimed = true
}

// await returns the answers that arrive within wait.
func (b *broadcast) await(wait time.Duration) quarantine.Answers {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return quarantine.Answers{Complete: b.waiting == 0, Claimed: b.claimed}
}

// broadcastLift informs the other daemons that a content isn't suspected anymore.
func (p *quarantinePeers) broadcastLift(content quarantine.Content) {
	p.broadcast(peer.MethodLift, peer.Lift{Content: content}, peer.Lift{Content: content, Relay: true})
}

// broadcast sends a message to other daemons: local to the active daemons of the zone, remote
// to a few of each other zone, which relay it. It returns the answers that arrive within
// broadcastWait. A zone of which nobody answered the last message isn't waited for: all its
// daemons may be lost.
func (p *quarantinePeers) broadcast(method string, local, remote any) quarantine.Answers {
	peers := p.daemon.node.ActivePeers()
	zones := p.daemon.node.OtherZonePeers(relaysPerZone)
	groups := len(peers)
	awaited := make([]bool, len(zones))
	for i, zone := range zones {
		awaited[i] = !p.isSilent(zone.Zone)
		if awaited[i] {
			groups++
		}
	}
	b := newBroadcast(groups)
	p.sendToPeers(b, peers, method, local)
	for i, zone := range zones {
		go p.sendToZone(b, zone, awaited[i], method, remote)
	}
	return b.await(broadcastWait)
}

// sendToPeers sends a message to daemons, each of which has to answer.
func (p *quarantinePeers) sendToPeers(b *broadcast, peers []string, method string, message any) {
	for _, address := range peers {
		go func() {
			if p.send(b, address, method, message) == completeReply {
				b.answered()
			}
		}()
	}
}

// sendToZone sends a message to daemons of another zone. If the zone is awaited, one of them has
// to answer for all of it. It records whether the zone is silent.
func (p *quarantinePeers) sendToZone(b *broadcast, zone heartbeat.ZonePeers, awaited bool, method string, message any) {
	var complete, replied sync.Once
	var sends sync.WaitGroup
	for _, address := range zone.Addresses {
		sends.Go(func() {
			reply := p.send(b, address, method, message)
			if reply == noReply {
				return
			}
			replied.Do(func() { p.setSilent(zone.Zone, false) })
			if reply == completeReply && awaited {
				complete.Do(b.answered)
			}
		})
	}
	sends.Wait()
	replied.Do(func() { p.setSilent(zone.Zone, true) })
}

func (p *quarantinePeers) isSilent(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silentZones[zone]
}

func (p *quarantinePeers) setSilent(zone string, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silentZones[zone] != silent {
		p.daemon.log.WithField("zone", zone).WithField("silent", silent).Info("answers of another zone to quarantine messages changed")
	}
	p.silentZones[zone] = silent
}

// reply is how a daemon replied to a message.
type reply int

const (
	// noReply means that the daemon didn't reply.
	noReply reply = iota
	// incompleteReply means that the daemon replied, but not all to which it relays did.
	incompleteReply
	completeReply
)

// send sends one message and merges the suspects that the other daemon returns. A daemon that
// doesn't reply learns of a quarantine from the platform, or from the reply to a broadcast of
// its own.
func (p *quarantinePeers) send(b *broadcast, address, method string, message any) reply {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	var answer peer.Suspects
	if err := p.client.Call(ctx, address, method, message, &answer); err != nil {
		p.daemon.log.WithError(err).WithField("peer", address).Info("failed to inform another daemon of a change of the quarantine")
		return noReply
	}
	p.daemon.quarantine.Merge(time.Now(), answer.Suspects)
	if answer.Claimed {
		b.claim()
	}
	if answer.Incomplete {
		return incompleteReply
	}
	return completeReply
}

// relay sends a message from another zone to the active daemons of this zone and returns their
// answers.
func (p *quarantinePeers) relay(method string, message any) quarantine.Answers {
	peers := p.daemon.node.ActivePeers()
	b := newBroadcast(len(peers))
	p.sendToPeers(b, peers, method, message)
	return b.await(relayWait)
}
