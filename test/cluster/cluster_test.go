package cluster

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// startCluster starts a fleet whose callers keep the list of entry VMs for one
// second.
func startCluster(t *testing.T, entries, targets int) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(fleet.Options{
		Binary:   binary,
		Dir:      t.TempDir(),
		Entries:  entries,
		Targets:  targets,
		Settings: map[string]any{"keep_seconds": 1},
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// stockAnswers describes one service on all targets of a fleet.
func stockAnswers(f *fleet.Fleet, targets int) *questionnaire.Answers {
	return &questionnaire.Answers{Team: "swanbrook", Services: []questionnaire.Service{{
		Name:                 "stock",
		Priority:             questionnaire.PriorityCost,
		TypicalMs:            5,
		SlotsPerServer:       3,
		ConnectionsPerServer: 200,
		Servers:              f.Servers(0, targets-1),
		Requests: []questionnaire.Request{
			{Name: "availability", AgreedMs: 5000, IfLate: questionnaire.HarmGrave, IfLost: questionnaire.HarmMinor, IfDoubled: questionnaire.HarmNone},
			{Name: "book", AgreedMs: 5000, IfLate: questionnaire.HarmMinor, IfLost: questionnaire.HarmGrave, IfDoubled: questionnaire.HarmGrave},
		},
	}}}
}

// operator accepts one revision after another.
type operator struct {
	store   platform.Store
	answers *questionnaire.Answers
	// entrySetSize is the size of the entry set; 0 changes it with each revision.
	entrySetSize int
}

func newOperator(f *fleet.Fleet, targets int) *operator {
	return &operator{store: platform.NewClient(f.Platform, 2*time.Second), answers: stockAnswers(f, targets)}
}

// accept makes a change and returns its revision.
func (o *operator) accept(by string) (uint64, error) {
	proposal, err := questionnaire.Propose(o.answers)
	if err != nil {
		return 0, err
	}
	head, _, err := rollout.ReadHead(o.store)
	if err != nil {
		return 0, err
	}
	proposal.Services[0].EntrySetSize = o.entrySetSize
	if o.entrySetSize == 0 {
		proposal.Services[0].EntrySetSize = 1 + int(head.Revision%3)
	}
	return rollout.Accept(o.store, rollout.Acceptance{
		Base: head.Revision, Services: proposal.Services, By: by, At: time.Now(), ID: uuid.NewString(),
	})
}

// revisions watches the revision of every daemon.
type revisions struct {
	fleet   *fleet.Fleet
	entries int
	stop    chan struct{}
	done    sync.WaitGroup

	mu       sync.Mutex
	latest   map[int]daemon.Dump
	dead     map[string]bool
	backward []string
}

func watchRevisions(f *fleet.Fleet, entries int) *revisions {
	r := &revisions{fleet: f, entries: entries, stop: make(chan struct{}), latest: map[int]daemon.Dump{}, dead: map[string]bool{}}
	for i := range entries {
		r.done.Go(func() { r.watch(i) })
	}
	return r
}

func (r *revisions) watch(i int) {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if dump, err := r.fleet.Dump(i); err == nil {
			r.note(i, dump)
		}
	}
}

func (r *revisions) note(i int, dump daemon.Dump) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead[dump.Incarnation] {
		return
	}
	previous := r.latest[i]
	if previous.Incarnation == dump.Incarnation && dump.Revision < previous.Revision {
		r.backward = append(r.backward, fmt.Sprintf("%s: %d after %d", dump.Name, dump.Revision, previous.Revision))
	}
	r.latest[i] = dump
}

// forget drops what is known of a daemon that was killed.
func (r *revisions) forget(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead[r.latest[i].Incarnation] = true
	delete(r.latest, i)
}

// await waits until the given daemons are at a revision.
func (r *revisions) await(t *testing.T, revision uint64, entries ...int) time.Duration {
	t.Helper()
	began := time.Now()
	err := fleet.Await(fmt.Sprintf("revision %d at %v", revision, entries), func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, i := range entries {
			if r.latest[i].Revision != revision {
				return false
			}
		}
		return true
	})
	require.NoError(t, err)
	return time.Since(began)
}

// end stops watching and fails the test if a daemon stepped back.
func (r *revisions) end(t *testing.T) {
	t.Helper()
	close(r.stop)
	r.done.Wait()
	require.Empty(t, r.backward)
}
