package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/membership"
	"github.com/poplarwheel/poplarwheel/internal/peer"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

const (
	// gossipTimeout bounds the sending of gossip and the exchange of records.
	gossipTimeout = 2 * time.Second
	// maxPeerMessages bounds the messages that are being sent to peers at once.
	maxPeerMessages = 64
)

// members drives the failure detector: it sends what the detector asks for and
// serves its methods of the inner protocol.
type members struct {
	log      logrus.FieldLogger
	port     int
	client   *peer.Client
	follower *rollout.Follower
	sending  chan struct{}
	// rejoined takes members that are up after they were not, and those that were
	// started again. It is called with the lock held.
	rejoined func(membership.Member)

	mu       sync.Mutex
	detector *membership.Detector
	known    map[string]membership.Member
}

func newMembers(self membership.Record, port int, client *peer.Client, log logrus.FieldLogger) *members {
	return &members{
		log:      log,
		port:     port,
		client:   client,
		sending:  make(chan struct{}, maxPeerMessages),
		detector: membership.NewDetector(self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		known:    map[string]membership.Member{},
	}
}

// register adds the methods that other daemons call.
func (m *members) register(server *peer.Server) {
	server.Register(peer.MethodPing, m.servePing)
	server.Register(peer.MethodGossip, m.servePing)
	server.Register(peer.MethodSync, m.serveSync)
	server.Register(peer.MethodProbe, m.serveProbe)
}

// run drives the detector until stop is closed.
func (m *members) run(stop <-chan struct{}) {
	ticker := time.NewTicker(membership.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			m.event(func(now time.Time) []membership.Action { return m.detector.Tick(now) })
		}
	}
}

// event passes an event to the detector and sends what it asks for.
func (m *members) event(take func(now time.Time) []membership.Action) {
	m.mu.Lock()
	actions := append([]membership.Action(nil), take(time.Now())...)
	m.noteChanges()
	m.mu.Unlock()
	for _, action := range actions {
		m.start(action)
	}
}

// noteChanges logs members whose state changed and passes on those that are back.
func (m *members) noteChanges() {
	for _, member := range m.detector.Members() {
		previous := m.known[member.Name]
		if previous == member {
			continue
		}
		m.known[member.Name] = member
		if previous.State != member.State {
			m.log.WithField("member", member.Name).WithField("state", member.State).WithField("previous", previous.State).Info("member changed")
		}
		if m.isToldBy(previous, member) {
			m.rejoined(member)
		}
	}
}

// isToldBy reports whether a member that is back has to be told what it missed. A
// daemon that is joining itself knows nothing yet and asks others.
func (m *members) isToldBy(previous, member membership.Member) bool {
	self := m.detector.Self()
	return member.Name != self.Name && self.State != membership.Joining && isBack(previous, member)
}

// isBack reports whether a member serves that did not before, or that was started
// again: it may have missed what was told meanwhile.
func isBack(previous, member membership.Member) bool {
	return serves(member.State) && (!serves(previous.State) || previous.Incarnation != member.Incarnation)
}

// serves reports whether a member in this state runs requests now or soon.
func serves(state membership.State) bool {
	return state == membership.Joining || state == membership.Live
}

// start sends one message from a goroutine of its own. Above maxPeerMessages it
// is dropped, as the network may drop it.
func (m *members) start(action membership.Action) {
	select {
	case m.sending <- struct{}{}:
	default:
		return
	}
	go func() {
		m.perform(action)
		<-m.sending
	}()
}

func (m *members) perform(action membership.Action) {
	switch action.Kind {
	case membership.SendPing:
		m.ping(action)
	case membership.SendIndirect:
		m.askProbe(action)
	case membership.SendGossip:
		ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
		defer cancel()
		_ = m.client.Notify(ctx, m.address(action.To.IP), peer.MethodGossip, m.heartbeat(action.Message))
	case membership.SendSync:
		m.sync(action)
	}
}

func (m *members) ping(action membership.Action) {
	answer, err := m.exchange(action.To.IP, peer.MethodPing, m.heartbeat(action.Message), membership.ProbeLimit)
	if err != nil {
		m.event(func(now time.Time) []membership.Action { return m.detector.Failed(now, action.Probe) })
		return
	}
	m.event(func(now time.Time) []membership.Action { return m.detector.Acked(now, action.Probe, answer.Message) })
}

func (m *members) sync(action membership.Action) {
	answer, err := m.exchange(action.To.IP, peer.MethodSync, m.heartbeat(action.Message), gossipTimeout)
	if err != nil {
		return
	}
	m.event(func(now time.Time) []membership.Action {
		_, actions := m.detector.Synced(now, answer.Message)
		return actions
	})
}

func (m *members) askProbe(action membership.Action) {
	m.mu.Lock()
	request := peer.ProbeRequest{IP: action.Target.IP, Ping: m.heartbeat(membership.Message{From: m.detector.Self()})}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), membership.ProbeLimit)
	defer cancel()
	var reply peer.ProbeReply
	err := m.client.Call(ctx, m.address(action.To.IP), peer.MethodProbe, request, &reply)
	m.event(func(now time.Time) []membership.Action {
		if reply.Answer == nil {
			return m.detector.IndirectDone(now, action.Probe, err == nil, nil)
		}
		return m.detector.IndirectDone(now, action.Probe, true, &reply.Answer.Message)
	})
}

// exchange sends a heartbeat and returns the answer.
func (m *members) exchange(ip, method string, heartbeat peer.Heartbeat, timeout time.Duration) (peer.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var answer peer.Heartbeat
	if err := m.client.Call(ctx, m.address(ip), method, heartbeat, &answer); err != nil {
		return answer, err
	}
	m.follower.PeerAt(answer.From.Name, answer.Revision)
	return answer, nil
}

func (m *members) heartbeat(message membership.Message) peer.Heartbeat {
	return peer.Heartbeat{Message: message, Revision: m.follower.Applied().Head.Revision}
}

func (m *members) address(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(m.port)) }

func (m *members) servePing(_ context.Context, params json.RawMessage) (any, error) {
	return m.serve(params, func(now time.Time, message membership.Message) (membership.Message, []membership.Action) {
		return m.detector.Pinged(now, message)
	})
}

func (m *members) serveSync(_ context.Context, params json.RawMessage) (any, error) {
	return m.serve(params, func(now time.Time, message membership.Message) (membership.Message, []membership.Action) {
		return m.detector.Synced(now, message)
	})
}

func (m *members) serve(params json.RawMessage, take func(time.Time, membership.Message) (membership.Message, []membership.Action)) (any, error) {
	var heartbeat peer.Heartbeat
	if err := json.Unmarshal(params, &heartbeat); err != nil {
		return nil, err
	}
	var answer membership.Message
	m.event(func(now time.Time) []membership.Action {
		var actions []membership.Action
		answer, actions = take(now, heartbeat.Message)
		return actions
	})
	m.follower.PeerAt(heartbeat.From.Name, heartbeat.Revision)
	return m.heartbeat(answer), nil
}

// serveProbe pings a member for another one.
func (m *members) serveProbe(_ context.Context, params json.RawMessage) (any, error) {
	var request peer.ProbeRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	answer, err := m.exchange(request.IP, peer.MethodPing, request.Ping, membership.ProbeLimit/2)
	if err != nil {
		return peer.ProbeReply{}, nil
	}
	return peer.ProbeReply{Answer: &answer}, nil
}

// list returns all entry VMs, this one included.
func (m *members) list() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Members()
}

// addressOf returns the peer address ("ip:port") of a member that isn't dead.
func (m *members) addressOf(name string) (string, bool) {
	for _, member := range m.list() {
		if member.Name == name && member.State != membership.Dead {
			return m.address(member.IP), true
		}
	}
	return "", false
}

// join makes this daemon live once it has a configuration.
func (m *members) join() {
	m.event(func(time.Time) []membership.Action {
		if m.detector.Self().State != membership.Joining {
			return nil
		}
		return m.detector.SetState(membership.Live)
	})
}

// setState changes this daemon's own state and tells its peers.
func (m *members) setState(state membership.State) {
	m.event(func(time.Time) []membership.Action { return m.detector.SetState(state) })
}

// listed takes the platform's list of VMs.
func (m *members) listed(vms []platform.VM) {
	m.event(func(now time.Time) []membership.Action { return m.detector.Listed(now, vms) })
}

// counters returns how often this daemon suspected a member and refuted a
// suspicion of itself.
func (m *members) counters() (suspicions, refutations uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Counters()
}
