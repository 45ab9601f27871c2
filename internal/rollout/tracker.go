package rollout

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
)

const (
	// readInterval is the mean time between two reads of the head that back the
	// watch up.
	readInterval = 4 * time.Second
	// readRetryBase and readRetryMax bound the pauses after failed reads.
	readRetryBase = 500 * time.Millisecond
	readRetryMax  = 4 * time.Second
	// peerGrace is the time that the platform's own news gets before a peer with
	// a higher revision is asked.
	peerGrace = 500 * time.Millisecond
	// peerRetry is the pause after a peer failed to give its head.
	peerRetry = time.Second
	// idleStep bounds the time between two decisions.
	idleStep = time.Second
)

// StepKind says what a daemon does next to follow the configuration.
type StepKind int

// Kinds of steps.
const (
	// Wait means that nothing is due.
	Wait StepKind = iota
	// ReadPlatform reads the head from the platform.
	ReadPlatform
	// ReadPeer reads the head from Peer.
	ReadPeer
)

// Step is one decision of a Tracker.
type Step struct {
	Kind StepKind
	// Peer is set with ReadPeer.
	Peer string
	// Until is set with Wait.
	Until time.Time
}

// Tracker decides which source a daemon reads the accepted configuration from
// next, and whether a head comes into force. It is a plain state machine: time
// and randomness are passed in. It is not safe for concurrent use.
type Tracker struct {
	rng      *rand.Rand
	revision uint64
	platform backoff.Backoff
	nextRead time.Time
	peers    map[string]*peerRevision
	// askPeersAt is when peers may be asked; zero while none is ahead.
	askPeersAt time.Time
}

type peerRevision struct {
	revision uint64
	retryAt  time.Time
}

// NewTracker returns a tracker without a revision. The first step is a read.
func NewTracker(rng *rand.Rand) *Tracker {
	return &Tracker{
		rng:      rng,
		platform: backoff.Backoff{Base: readRetryBase, Max: readRetryMax},
		peers:    map[string]*peerRevision{},
	}
}

// Revision returns the revision in force.
func (t *Tracker) Revision() uint64 { return t.revision }

// PlatformFailures returns the failed reads since the last success.
func (t *Tracker) PlatformFailures() int { return t.platform.Failures() }

// Next returns what to do at now.
func (t *Tracker) Next(now time.Time) Step {
	if peer := t.peerToAsk(now); peer != "" {
		return Step{Kind: ReadPeer, Peer: peer}
	}
	if !t.nextRead.After(now) {
		return Step{Kind: ReadPlatform}
	}
	until := now.Add(idleStep)
	if t.nextRead.Before(until) {
		until = t.nextRead
	}
	if t.askPeersAt.After(now) && t.askPeersAt.Before(until) {
		until = t.askPeersAt
	}
	return Step{Kind: Wait, Until: until}
}

// peerToAsk returns a peer with the highest revision above this daemon's, or "".
func (t *Tracker) peerToAsk(now time.Time) string {
	if t.askPeersAt.IsZero() || t.askPeersAt.After(now) {
		return ""
	}
	var best []string
	highest := t.revision + 1
	for name, peer := range t.peers {
		if peer.revision < highest || peer.retryAt.After(now) {
			continue
		}
		if peer.revision > highest {
			highest = peer.revision
			best = best[:0]
		}
		best = append(best, name)
	}
	if len(best) == 0 {
		return ""
	}
	sort.Strings(best)
	return best[t.rng.IntN(len(best))]
}

// PeersAt returns the peers that are known to have at least a revision.
func (t *Tracker) PeersAt(revision uint64) []string {
	var names []string
	for name, peer := range t.peers {
		if peer.revision >= revision {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	t.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// PlatformRead takes the end of a read of the platform's head.
func (t *Tracker) PlatformRead(now time.Time, err error) {
	if err != nil {
		t.nextRead = now.Add(t.platform.Next(t.rng))
		return
	}
	t.platform.Reset()
	t.nextRead = now.Add(backoff.Jitter(t.rng, readInterval))
}

// PeerRead takes the end of a read of a peer's head. Advanced tells whether it
// came into force.
func (t *Tracker) PeerRead(now time.Time, peer string, advanced bool) {
	if state := t.peers[peer]; state != nil && !advanced {
		state.retryAt = now.Add(backoff.Jitter(t.rng, peerRetry))
	}
}

// PeerAt takes word that a peer has a revision in force.
func (t *Tracker) PeerAt(now time.Time, peer string, revision uint64) {
	state := t.peers[peer]
	if state == nil {
		state = &peerRevision{}
		t.peers[peer] = state
	}
	state.revision = revision
	if revision <= t.revision || !t.askPeersAt.IsZero() {
		return
	}
	t.askPeersAt = now.Add(backoff.Jitter(t.rng, peerGrace))
	if t.revision == 0 || t.platform.Failures() > 0 {
		t.askPeersAt = now
	}
}

// PeerGone forgets a peer.
func (t *Tracker) PeerGone(peer string) { delete(t.peers, peer) }

// Advances reports whether a head of the given revision may come into force.
func (t *Tracker) Advances(revision uint64) bool { return revision > t.revision }

// Applied takes the revision that came into force.
func (t *Tracker) Applied(now time.Time, revision uint64) {
	t.revision = revision
	t.askPeersAt = time.Time{}
	for _, peer := range t.peers {
		if peer.revision > revision {
			t.askPeersAt = now
		}
	}
}

// highestAtPeers returns the highest revision that a peer has.
func (t *Tracker) highestAtPeers() uint64 {
	var highest uint64
	for _, peer := range t.peers {
		highest = max(highest, peer.revision)
	}
	return highest
}
