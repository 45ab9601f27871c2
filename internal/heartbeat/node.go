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
	// kindZoneQuery asks a member of another zone for the addresses which that zone
	// advertises, kindZoneAnswer answers.
	kindZoneQuery  = "ask"
	kindZoneAnswer = "named"
)

const (
	// maxDatagram is the size of the receive buffer for a datagram, in bytes.
	maxDatagram = 1024
	// maxAdvertised bounds the addresses in a datagram.
	maxAdvertised = 8
)

// datagram is a message between daemons.
type datagram struct {
	Kind string `json:"kind"`
	From Member `json:"from"`
	// Advertised are the addresses that the sender's zone gives to callers.
	Advertised []string `json:"named,omitempty"`
	// Feeds tells in pings and pongs what the sender knows of the external store.
	Feeds []FeedReport `json:"feeds,omitempty"`
}

// Node exchanges heartbeats with the daemons of the zone and queries other zones. It is safe
// for concurrent use.
type Node struct {
	log  logrus.FieldLogger
	conn *net.UDPConn

	mu         sync.Mutex
	membership *Membership
	meter      RateMeter
	feeds      FeedReporter
}

// Listen starts a node that receives datagrams at the peer address of self. The node
// advertises at least minAdvertised daemons, if as many can serve.
func Listen(self Member, minAdvertised int, log logrus.FieldLogger) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp4", self.PeerAddress)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	n := &Node{log: log, conn: conn, membership: NewMembership(self, minAdvertised), feeds: noFeeds{}}
	go n.receive()
	go n.pingLoop()
	return n, nil
}

// SetState sets the daemon's own state and sends it to the other daemons of the zone.
func (n *Node) SetState(state State) {
	n.mu.Lock()
	n.membership.SetState(state)
	members := n.membership.Members()
	n.mu.Unlock()
	n.send(kindPing, members)
	n.sendDue()
}

// Learn adds members of any zone that were discovered by other means than heartbeats.
func (n *Node) Learn(members []Member) {
	n.mu.Lock()
	for _, member := range members {
		n.membership.Learn(time.Now(), member)
	}
	n.mu.Unlock()
	n.sendDue()
}

// AdvertisedAddresses returns the addresses to give to callers: those of the own zone, or
// those of other zones if no daemon serves in this one.
func (n *Node) AdvertisedAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.AdvertisedAddresses(time.Now())
}

// ZoneStatus returns this daemon's position in its zone.
func (n *Node) ZoneStatus() ZoneStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.ZoneStatus(time.Now())
}

// Responding returns the number of the zone's daemons that answer pings, this one included.
func (n *Node) Responding() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Responding(time.Now())
}

// Active reports whether this daemon is advertised or a standby.
func (n *Node) Active() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Active(time.Now())
}

// ActivePeers returns the peer addresses of the other advertised and standby daemons of the
// zone.
func (n *Node) ActivePeers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.ActivePeers(time.Now())
}

// OtherZonePeers returns up to ofZone random members of each other zone.
func (n *Node) OtherZonePeers(ofZone int) []ZonePeers {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.OtherZonePeers(ofZone, rand.Perm)
}

// IsFirst reports whether this daemon ranks first among those of the zone that respond.
func (n *Node) IsFirst() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.IsFirst(time.Now())
}

// SetFeeds sets the feeds whose reports the heartbeats carry.
func (n *Node) SetFeeds(feeds FeedReporter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.feeds = feeds
}

// Sources returns the peer addresses of daemons that read the store directly, those of other
// zones if the own zone has none.
func (n *Node) Sources() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Sources(time.Now())
}

// RecordCalls takes the number of calls that the daemon has received since its start, from
// which it computes the daemon's load.
func (n *Node) RecordCalls(calls uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership.SetLoad(n.meter.Update(time.Now(), calls))
}

// Members returns the other daemons of the zone by rank, each as last reported.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Members()
}

// Close closes the node's socket, which ends its goroutines.
func (n *Node) Close() { _ = n.conn.Close() }

// pingLoop sends the due datagrams at intervals until the node is closed.
func (n *Node) pingLoop() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !n.sendDue() {
			return
		}
	}
}

// sendDue sends the due pings and zone queries. It returns false if the node is closed.
func (n *Node) sendDue() bool {
	n.mu.Lock()
	now := time.Now()
	pings := n.membership.DuePings(now)
	queries := n.membership.DueZoneQueries(now)
	n.mu.Unlock()
	return n.send(kindPing, pings) && n.send(kindZoneQuery, queries)
}

// send sends a datagram of a kind to members. It returns false if the node is closed.
func (n *Node) send(kind string, members []Member) bool {
	if len(members) == 0 {
		return true
	}
	message, err := json.Marshal(n.compose(kind))
	if err != nil {
		n.log.WithError(err).Error("failed to encode heartbeat")
		return true
	}
	for _, member := range members {
		if !n.sendTo(message, member.PeerAddress) {
			return false
		}
	}
	return true
}

// compose returns a datagram of a kind.
func (n *Node) compose(kind string) datagram {
	n.mu.Lock()
	composed := datagram{Kind: kind, From: n.membership.Self()}
	if kind == kindZoneAnswer {
		advertised := n.membership.AdvertisedInZone(time.Now())
		composed.Advertised = advertised[:min(len(advertised), maxAdvertised)]
	}
	feeds := n.feeds
	n.mu.Unlock()
	if kind == kindPing || kind == kindPong {
		composed.Feeds = feeds.Reports()
	}
	return composed
}

// sendTo sends an encoded datagram to a peer address. It returns false if the node is closed.
func (n *Node) sendTo(message []byte, peer string) bool {
	address, err := net.ResolveUDPAddr("udp4", peer)
	if err != nil {
		n.log.WithError(err).WithField("peer", peer).Warn("failed to resolve peer address; heartbeat not sent")
		return true
	}
	// A datagram that can't be sent is treated like one that is lost on the way.
	_, err = n.conn.WriteToUDP(message, address)
	return !isClosed(err)
}

// receive handles incoming datagrams until the node is closed.
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
			n.log.WithError(err).Debug("failed to decode heartbeat")
			continue
		}
		n.handle(message)
	}
}

// handle processes one datagram and answers it if its kind asks for an answer.
func (n *Node) handle(message datagram) {
	switch message.Kind {
	case kindZoneQuery:
		n.send(kindZoneAnswer, []Member{message.From})
	case kindZoneAnswer:
		n.mu.Lock()
		n.membership.HandleZoneAnswer(time.Now(), message.From, message.Advertised)
		n.mu.Unlock()
	default:
		n.mu.Lock()
		n.membership.HandleHeartbeat(time.Now(), message.From)
		feeds := n.feeds
		n.mu.Unlock()
		feeds.HandleReports(message.Feeds)
		if message.Kind == kindPing {
			n.send(kindPong, []Member{message.From})
		}
	}
}
