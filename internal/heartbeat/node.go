package heartbeat

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("heartbeat")

// Kinds of datagrams.
const (
	kindPing = "ping"
	kindPong = "pong"
	// kindAsk asks a member of another zone whom it names, kindNamed answers.
	kindAsk   = "ask"
	kindNamed = "named"
)

const (
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 1024
	// maxNamed bounds the addresses in a datagram.
	maxNamed = 8
)

// datagram is a message between daemons.
type datagram struct {
	Kind string `json:"kind"`
	From Member `json:"from"`
	// Named are the addresses that callers of the sender's zone are sent to.
	Named []string `json:"named,omitempty"`
}

// Node asks the daemons of the zone and answers them. It is safe for concurrent use.
type Node struct {
	log  logrus.FieldLogger
	conn *net.UDPConn

	mu     sync.Mutex
	roster *Roster
	meter  Meter
}

// Listen starts a node at the datagram address of self.
func Listen(self Member, size int, log logrus.FieldLogger) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp4", self.Peer)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n := &Node{log: log, conn: conn, roster: NewRoster(self, size)}
	go n.receive()
	go n.ask()
	return n, nil
}

// SetState changes the daemon's own state and tells the others.
func (n *Node) SetState(state State) {
	n.mu.Lock()
	n.roster.SetState(state)
	members := n.roster.Members()
	n.mu.Unlock()
	n.send(kindPing, members)
	n.askDue()
}

// Learn takes the names of members from elsewhere.
func (n *Node) Learn(members []Member) {
	n.mu.Lock()
	for _, member := range members {
		n.roster.Learn(time.Now(), member)
	}
	n.mu.Unlock()
	n.askDue()
}

// Named returns the addresses that callers are sent to.
func (n *Node) Named() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Named(time.Now())
}

// Standing returns what this daemon is in its zone.
func (n *Node) Standing() Standing {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Standing(time.Now())
}

// Active reports whether callers are sent to this daemon, or would be next.
func (n *Node) Active() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Active(time.Now())
}

// ActivePeers returns the "ip:port" of the other daemons of the zone that callers are sent
// to, or would be next.
func (n *Node) ActivePeers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.ActivePeers(time.Now())
}

// OutsidePeers returns the "ip:port" of a few random members of each other zone.
func (n *Node) OutsidePeers(ofZone int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.OutsidePeers(ofZone, rand.Perm)
}

// Sources returns the "ip:port" of daemons of the zone that read the store themselves.
func (n *Node) Sources() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Sources(time.Now())
}

// Carry takes the number of calls that came since the start, from which the daemon's
// load follows.
func (n *Node) Carry(calls uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.SetLoad(n.meter.Take(time.Now(), calls))
}

// Members returns the other daemons, as they are known.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Members()
}

// Close ends the node.
func (n *Node) Close() { _ = n.conn.Close() }

// ask asks members until the node is closed.
func (n *Node) ask() {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	for range ticker.C {
		if !n.askDue() {
			return
		}
	}
}

// askDue asks the members that are due; false means that the node is closed.
func (n *Node) askDue() bool {
	n.mu.Lock()
	now := time.Now()
	due := n.roster.Due(now)
	outside := n.roster.OutsideDue(now)
	n.mu.Unlock()
	return n.send(kindPing, due) && n.send(kindAsk, outside)
}

// send sends a message to members; false means that the node is closed.
func (n *Node) send(kind string, members []Member) bool {
	if len(members) == 0 {
		return true
	}
	n.mu.Lock()
	outgoing := datagram{Kind: kind, From: n.roster.Self()}
	if kind == kindNamed {
		named := n.roster.NamedHere(time.Now())
		outgoing.Named = named[:min(len(named), maxNamed)]
	}
	n.mu.Unlock()
	message, err := json.Marshal(outgoing)
	if err != nil {
		n.log.WithError(err).Error("heartbeat not encoded")
		return true
	}
	for _, member := range members {
		if !n.sendTo(message, member.Peer) {
			return false
		}
	}
	return true
}

func (n *Node) sendTo(message []byte, peer string) bool {
	address, err := net.ResolveUDPAddr("udp4", peer)
	if err != nil {
		n.log.WithError(err).WithField("peer", peer).Warn("heartbeat to a bad address")
		return true
	}
	// A datagram that can't be sent is like one that is lost.
	_, err = n.conn.WriteToUDP(message, address)
	return !isClosed(err)
}

// receive takes messages until the node is closed.
func (n *Node) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := n.conn.ReadFromUDP(buffer)
		if isClosed(err) {
			return
		}
		if err != nil {
			continue
		}
		var message datagram
		if err := json.Unmarshal(buffer[:size], &message); err != nil {
			n.log.WithError(err).Debug("bad heartbeat")
			continue
		}
		n.handle(message)
	}
}

func (n *Node) handle(message datagram) {
	switch message.Kind {
	case kindAsk:
		n.send(kindNamed, []Member{message.From})
	case kindNamed:
		n.mu.Lock()
		n.roster.HeardOutside(time.Now(), message.From, message.Named)
		n.mu.Unlock()
	default:
		n.mu.Lock()
		n.roster.Heard(time.Now(), message.From)
		n.mu.Unlock()
		if message.Kind == kindPing {
			n.send(kindPong, []Member{message.From})
		}
	}
}
