package rollout

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

const (
	// watchWait is how long one watch of the head waits.
	watchWait = 10 * time.Second
	// watchFloor is the shortest time that a watch without news may take before
	// the next one follows at once.
	watchFloor = 2 * time.Second
	// watchRetryBase and watchRetryMax bound the pauses after failed watches.
	watchRetryBase = 500 * time.Millisecond
	watchRetryMax  = 8 * time.Second
)

// Follower keeps a daemon at the accepted configuration. It never applies a
// revision below the one in force.
type Follower struct {
	store   platform.Store
	peers   Peers
	log     logrus.FieldLogger
	apply   func(*config.Snapshot)
	applied atomic.Pointer[Applied]
	stop    chan struct{}
	wake    chan struct{}
	running sync.WaitGroup

	// applyMu orders the heads that come into force.
	applyMu sync.Mutex
	loader  *loader

	trackerMu sync.Mutex
	tracker   *Tracker
}

// NewFollower returns a follower that calls apply for each new revision, one
// call at a time.
func NewFollower(store platform.Store, peers Peers, log logrus.FieldLogger, apply func(*config.Snapshot)) *Follower {
	f := &Follower{
		store:   store,
		peers:   peers,
		log:     log,
		apply:   apply,
		stop:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		loader:  newLoader(store, peers),
		tracker: NewTracker(newRand()),
	}
	f.applied.Store(NewApplied())
	return f
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Applied returns the configuration in force.
func (f *Follower) Applied() *Applied { return f.applied.Load() }

// Status is the follower's state for dumps.
type Status struct {
	Revision uint64 `json:"revision"`
	// Source is "platform" or the name of the peer that gave the revision.
	Source     string           `json:"source"`
	AppliedAt  time.Time        `json:"applied_at"`
	AcceptedBy string           `json:"accepted_by"`
	AcceptedAt time.Time        `json:"accepted_at"`
	AcceptID   string           `json:"accept_id"`
	Version    platform.Version `json:"platform_version"`
	Services   int              `json:"services"`
	// ReadFailures counts failed reads of the platform since the last success.
	ReadFailures int `json:"read_failures"`
	// HighestAtPeers is the highest revision heard of.
	HighestAtPeers uint64 `json:"highest_at_peers"`
}

// Status returns the state of the follower.
func (f *Follower) Status() Status {
	applied := f.applied.Load()
	f.trackerMu.Lock()
	defer f.trackerMu.Unlock()
	return Status{
		Revision:       applied.Head.Revision,
		Source:         applied.Source,
		AppliedAt:      applied.At,
		AcceptedBy:     applied.Head.AcceptedBy,
		AcceptedAt:     applied.Head.AcceptedAt,
		AcceptID:       applied.Head.AcceptID,
		Version:        applied.Version,
		Services:       len(applied.Head.Services),
		ReadFailures:   f.tracker.PlatformFailures(),
		HighestAtPeers: f.tracker.highestAtPeers(),
	}
}

// PeerAt takes word that a peer has a revision in force.
func (f *Follower) PeerAt(peer string, revision uint64) {
	f.trackerMu.Lock()
	f.tracker.PeerAt(time.Now(), peer, revision)
	ahead := revision > f.tracker.Revision()
	f.trackerMu.Unlock()
	if ahead {
		f.poke()
	}
}

// PeerGone forgets a peer.
func (f *Follower) PeerGone(peer string) {
	f.trackerMu.Lock()
	defer f.trackerMu.Unlock()
	f.tracker.PeerGone(peer)
}

func (f *Follower) poke() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run follows the head until Stop.
func (f *Follower) Run() {
	f.running.Add(1)
	defer f.running.Done()
	go f.watch()
	for !f.stopped() {
		f.step()
	}
}

// Stop ends Run. A watch of the platform that is under way is left to its end.
func (f *Follower) Stop() {
	close(f.stop)
	f.running.Wait()
}

func (f *Follower) stopped() bool {
	select {
	case <-f.stop:
		return true
	default:
		return false
	}
}

// step carries out one decision of the tracker.
func (f *Follower) step() {
	f.trackerMu.Lock()
	step := f.tracker.Next(time.Now())
	f.trackerMu.Unlock()
	switch step.Kind {
	case ReadPlatform:
		f.readPlatform()
	case ReadPeer:
		f.readPeer(step.Peer)
	default:
		f.pause(time.Until(step.Until))
	}
}

// pause waits for d, for news from a peer or for Stop.
func (f *Follower) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.wake:
	case <-f.stop:
	}
}

// readPlatform reads the head without waiting for a change.
func (f *Follower) readPlatform() {
	_, err := f.fetch(0)
	f.trackerMu.Lock()
	f.tracker.PlatformRead(time.Now(), err)
	f.trackerMu.Unlock()
	if err != nil {
		f.log.WithError(err).Warn("configuration not read")
	}
}

// watch follows the head by watches until Stop.
func (f *Follower) watch() {
	rng := newRand()
	pause := backoff.Backoff{Base: watchRetryBase, Max: watchRetryMax}
	for !f.stopped() {
		began := time.Now()
		changed, err := f.fetch(watchWait)
		if err == nil && (changed || time.Since(began) > watchFloor) {
			pause.Reset()
			continue
		}
		if err != nil {
			f.log.WithError(err).Debug("watch of the configuration ended")
		}
		f.sleep(pause.Next(rng))
	}
}

func (f *Follower) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.stop:
	}
}

// fetch asks the platform for a head newer than the one in force, waits for wait
// at most, and applies it.
func (f *Follower) fetch(wait time.Duration) (changed bool, err error) {
	seen := f.applied.Load().Version
	object, err := f.store.Watch(HeadKey, seen, wait)
	if err != nil || object.Version <= seen || len(object.Value) == 0 {
		return false, err
	}
	head, err := ParseHead(object.Value)
	if err != nil {
		return false, err
	}
	return f.offer(head, object.Version, SourcePlatform)
}

func (f *Follower) readPeer(peer string) {
	advanced, err := f.fetchPeer(peer)
	f.trackerMu.Lock()
	f.tracker.PeerRead(time.Now(), peer, advanced)
	f.trackerMu.Unlock()
	if err != nil {
		f.log.WithError(err).WithField("peer", peer).Warn("configuration not read from peer")
	}
}

func (f *Follower) fetchPeer(peer string) (advanced bool, err error) {
	value, version, err := f.peers.Head(peer)
	if err != nil {
		return false, err
	}
	head, err := ParseHead(value)
	if err != nil {
		return false, err
	}
	return f.offer(head, version, peer)
}

// offer brings a head into force unless it isn't newer than the one in force.
func (f *Follower) offer(head Head, version platform.Version, source string) (advanced bool, err error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	current := f.applied.Load()
	f.trackerMu.Lock()
	advances := f.tracker.Advances(head.Revision)
	from := f.tracker.PeersAt(head.Revision)
	f.trackerMu.Unlock()
	if !advances {
		return false, f.compare(head, version, current)
	}
	if source != SourcePlatform {
		from = append([]string{source}, from...)
	}
	bodies, err := f.loader.load(head, current, from, source == SourcePlatform)
	if err != nil {
		return false, err
	}
	f.commit(&Applied{Head: head, Version: version, Source: source, At: time.Now(), Bodies: bodies})
	return true, nil
}

// compare checks a head that isn't newer. A platform that shows an older one, as
// after a restore from a backup, is reported and not followed.
func (f *Follower) compare(head Head, version platform.Version, current *Applied) error {
	if head.Revision == current.Head.Revision {
		invariant.Check(head.AcceptID == current.Head.AcceptID, invariant.RevisionUnique,
			"revision %d has acceptances %s and %s", head.Revision, head.AcceptID, current.Head.AcceptID)
		return nil
	}
	if version > current.Version {
		return &OlderHeadError{Offered: head.Revision, Current: current.Head.Revision}
	}
	return nil
}

func (f *Follower) commit(next *Applied) {
	previous := f.applied.Load().Head.Revision
	invariant.Check(next.Head.Revision > previous, invariant.RevisionGrows,
		"revision %d follows %d", next.Head.Revision, previous)
	f.apply(next.Snapshot())
	f.applied.Store(next)
	f.trackerMu.Lock()
	f.tracker.Applied(time.Now(), next.Head.Revision)
	f.trackerMu.Unlock()
	f.log.WithField("revision", next.Head.Revision).
		WithField("source", next.Source).
		WithField("services", len(next.Head.Services)).
		Info("configuration applied")
}

// ServeHead returns the head object in force with its platform version, for
// peers. The value is nil before the first acceptance.
func (f *Follower) ServeHead() ([]byte, platform.Version, error) {
	applied := f.applied.Load()
	if applied.Head.Revision == 0 {
		return nil, 0, nil
	}
	value, err := json.Marshal(applied.Head)
	return value, applied.Version, err
}

// ServeBodies returns the bodies in force that refs name, up to limit bytes in
// all, for peers.
func (f *Follower) ServeBodies(refs []ServiceRef, limit int) map[string][]byte {
	applied := f.applied.Load()
	bodies := map[string][]byte{}
	for _, ref := range refs {
		body := applied.Body(ref)
		if body == nil {
			continue
		}
		limit -= len(body.Encoded)
		if limit < 0 && len(bodies) > 0 {
			break
		}
		bodies[ref.Name] = body.Encoded
	}
	return bodies
}
