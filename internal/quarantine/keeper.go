package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

// sweepInterval is the pause between two looks for what has expired.
const sweepInterval = 100 * time.Millisecond

// Peers tells other daemons.
type Peers interface {
	// Tell tells of a suspect and calls done once, when the others know or after a
	// time limit.
	Tell(suspect Suspect, done func())
	// Lift tells that content isn't suspected anymore. It doesn't wait.
	Lift(content Content)
}

// Keeper drives a Tracker. It is safe for concurrent use.
type Keeper struct {
	peers    Peers
	suspects atomic.Int64

	mu      sync.Mutex
	tracker *Tracker
}

// NewKeeper returns a keeper of an empty tracker.
func NewKeeper(peers Peers) *Keeper {
	return &Keeper{tracker: NewTracker(), peers: peers}
}

// Active reports whether any content is suspected. It costs next to nothing.
func (k *Keeper) Active() bool { return k.suspects.Load() > 0 }

// Quarantined reports whether content must not be run.
func (k *Keeper) Quarantined(now time.Time, content Content) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Quarantined(now, content)
}

// Died takes the end of a request by the death of its target. Run.Resume is
// called once other daemons know and the request has its turn.
func (k *Keeper) Died(now time.Time, run *Run) {
	var suspect Suspect
	resumed := k.event(func() []Resumed {
		told, resumed := k.tracker.Died(now, run)
		suspect = told
		return resumed
	})
	k.peers.Tell(suspect, func() { resume(k.recheck(resumed)) })
}

// Record is Died for drivers that send the requests of a dead target to different ones,
// so that they needn't take turns.
func (k *Keeper) Record(now time.Time, run *Run) {
	var suspect Suspect
	k.event(func() []Resumed {
		suspect = k.tracker.Record(now, run)
		return nil
	})
	k.peers.Tell(suspect, func() { resume(k.recheck([]Resumed{{Run: run, Allowed: true}})) })
}

// recheck forbids the runs whose content was quarantined since they were allowed.
func (k *Keeper) recheck(resumed []Resumed) []Resumed {
	return k.event(func() []Resumed {
		now := time.Now()
		for i, r := range resumed {
			resumed[i].Allowed = r.Allowed && !k.tracker.Quarantined(now, r.Run.Content)
		}
		return resumed
	})
}

// Ended takes the end of a request whose content may be suspected.
func (k *Keeper) Ended(now time.Time, content Content, answered bool) {
	cleared := false
	resumed := k.event(func() []Resumed {
		was, resumed := k.tracker.Ended(now, content, answered)
		cleared = was
		return resumed
	})
	if cleared {
		k.peers.Lift(content)
	}
	resume(resumed)
}

// Told takes suspects from another daemon.
func (k *Keeper) Told(now time.Time, suspects []Suspect) {
	resume(k.event(func() []Resumed { return k.tracker.Told(now, suspects) }))
}

// Known returns what is known of the contents of suspects, those that it knows.
func (k *Keeper) Known(now time.Time, suspects []Suspect) []Suspect {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Known(now, suspects)
}

// Lift forgets content. It returns false if the content isn't known here.
func (k *Keeper) Lift(content Content) bool {
	known := false
	k.event(func() []Resumed {
		known = k.tracker.Lift(content)
		return nil
	})
	return known
}

// Suspects returns all suspects, the quarantined first.
func (k *Keeper) Suspects(now time.Time) []Suspect {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Suspects(now)
}

// Run ends what has expired until stop is closed.
func (k *Keeper) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			resume(k.event(func() []Resumed { return k.tracker.Expire(now) }))
		}
	}
}

func (k *Keeper) event(send func() []Resumed) []Resumed {
	k.mu.Lock()
	defer k.mu.Unlock()
	resumed := send()
	k.suspects.Store(int64(len(k.tracker.suspects)))
	return resumed
}

func resume(resumed []Resumed) {
	for _, r := range resumed {
		r.Run.Resume(r.Allowed)
	}
}
