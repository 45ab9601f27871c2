package rollout

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
	"github.com/poplarwheel/poplarwheel/internal/config"
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
