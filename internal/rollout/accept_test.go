package rollout

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

func startPlatform(t *testing.T) (*platformd.Server, *platform.Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := platformd.NewServer()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, platform.NewClient(listener.Addr().String(), 5*time.Second)
}

// service returns a valid service; size tells versions of it apart.
func service(name string, size int) *config.Service {
	return &config.Service{
		Name:         name,
		Team:         "swanbrook",
		EntrySetSize: size,
		Policy:       config.PolicyLeast,
		Groups: []config.TargetGroup{{
			Name: "all", Slots: 3, MaxConnections: 200,
			Targets: []config.Target{{Name: name + "-0", Address: "127.0.0.1:8000", Zone: "a"}},
		}},
		RequestTypes: []config.RequestType{{
			Name: "check", DeadlineMs: 100, Idempotent: true, MaxAttempts: 2, PlatformDown: config.OutageServe,
		}},
	}
}

func TestRacingOperatorsConflictWithTheDifference(t *testing.T) {
	_, store := startPlatform(t)
	_, err := Accept(store, Acceptance{ID: "1", By: "ann", Services: []*config.Service{service("stock", 2), service("bookings", 2)}})
	require.NoError(t, err)
	_, err = Accept(store, Acceptance{Base: 1, ID: "2", By: "bob", Services: []*config.Service{service("stock", 3)}, Removed: []string{"bookings"}})
	require.NoError(t, err)
	_, err = Accept(store, Acceptance{Base: 1, ID: "3", By: "cyd", Services: []*config.Service{service("stock", 1)}})
	var stale *StaleError
	require.ErrorAs(t, err, &stale)
	require.Equal(t, &StaleError{Base: 1, Current: 2, Changes: []Change{
		{Service: "bookings", Removed: true, Revision: 2, By: "bob"},
		{Service: "stock", Revision: 2, By: "bob"},
	}}, stale)
}

func TestBadConfigurationIsRefusedWhole(t *testing.T) {
	server, store := startPlatform(t)
	bad := service("bookings", 2)
	bad.Policy = "no-such-policy"
	for _, change := range []Acceptance{
		{ID: "1", Services: []*config.Service{service("stock", 2), bad}},
		{ID: "1", Services: []*config.Service{service("stock", 2), service("stock", 3)}},
		{ID: "1", Services: []*config.Service{service("stock", 2)}, Removed: []string{"stock"}},
		{Services: []*config.Service{service("stock", 2)}},
	} {
		_, err := Accept(store, change)
		var invalid *strictjson.InvalidError
		require.ErrorAs(t, err, &invalid)
	}
	require.Zero(t, server.Counts().Writes)
}

func TestAcceptanceWhoseAnswerIsLostIsReadBack(t *testing.T) {
	server, store := startPlatform(t)
	server.SetFaults(platformd.Faults{LoseWriteAnswers: true})
	revision, err := Accept(store, Acceptance{ID: "1", Services: []*config.Service{service("stock", 2)}})
	require.NoError(t, err)
	require.Equal(t, uint64(1), revision)
	revision, err = Accept(store, Acceptance{ID: "1", Services: []*config.Service{service("stock", 2)}})
	require.NoError(t, err)
	require.Equal(t, uint64(1), revision, "a repeated acceptance isn't accepted twice")
}

// TestRacingAcceptancesWithLostAnswers: every acceptance that reported a revision
// is in the history at exactly that revision, and no other is.
func TestRacingAcceptancesWithLostAnswers(t *testing.T) {
	for seed := range uint64(3) {
		server, store := startPlatform(t)
		server.SetFaults(platformd.Faults{LoseWriteShare: 0.3, Seed: seed})
		accepted := raceAcceptances(t, store, 4, 10)
		server.SetFaults(platformd.Faults{})
		head, _, err := ReadHead(store)
		require.NoError(t, err)
		require.Len(t, head.History, int(head.Revision))
		require.Len(t, accepted, int(head.Revision), "seed %d", seed)
		for _, entry := range head.History {
			require.Equal(t, entry.Revision, accepted[entry.AcceptID], "seed %d", seed)
		}
		_, err = newLoader(store, noPeers{}).load(head, NewApplied(), nil, true)
		require.NoError(t, err, "seed %d: every body that the head names exists", seed)
	}
}

// raceAcceptances runs operators side by side and returns the revision of each
// acceptance that succeeded.
func raceAcceptances(t *testing.T, store platform.Store, operators, changes int) map[string]uint64 {
	t.Helper()
	var mu sync.Mutex
	var done sync.WaitGroup
	accepted := map[string]uint64{}
	for operator := range operators {
		done.Go(func() {
			for i := range changes {
				id := fmt.Sprintf("%d-%d", operator, i)
				revision, err := acceptLatest(store, id, service(fmt.Sprintf("service-%d", i%3), 1+operator))
				if err != nil {
					var stale *StaleError
					require.True(t, errors.As(err, &stale), "%v", err)
					continue
				}
				mu.Lock()
				accepted[id] = revision
				mu.Unlock()
			}
		})
	}
	done.Wait()
	return accepted
}

func acceptLatest(store platform.Store, id string, service *config.Service) (uint64, error) {
	head, _, err := ReadHead(store)
	if err != nil {
		return 0, err
	}
	return Accept(store, Acceptance{Base: head.Revision, ID: id, By: "operator", Services: []*config.Service{service}})
}

func TestOldBodiesAreDeletedAndHistoryIsBounded(t *testing.T) {
	server, store := startPlatform(t)
	const revisions = historyLimit + 20
	for i := range revisions {
		_, err := acceptLatest(store, fmt.Sprint(i), service("stock", 1+i%10))
		require.NoError(t, err)
	}
	head, _, err := ReadHead(store)
	require.NoError(t, err)
	require.Len(t, head.History, historyLimit)
	require.LessOrEqual(t, server.Store().Len(), bodyRetention+2)
	_, err = newLoader(store, noPeers{}).load(head, NewApplied(), nil, true)
	require.NoError(t, err)
}

// noPeers has no peers.
type noPeers struct{}

func (noPeers) Head(string) ([]byte, platform.Version, error) { return nil, 0, errDown }

func (noPeers) Bodies(string, []ServiceRef) (map[string][]byte, error) { return nil, errDown }

// otherFollower gives what another follower has in force.
type otherFollower struct{ *Follower }

func (o otherFollower) Head(string) ([]byte, platform.Version, error) { return o.ServeHead() }

func (o otherFollower) Bodies(_ string, refs []ServiceRef) (map[string][]byte, error) {
	return o.ServeBodies(refs, 1000), nil
}

func follow(t *testing.T, store platform.Store, peers Peers) *Follower {
	t.Helper()
	follower := NewFollower(store, peers, logging.Discard(), func(*config.Snapshot) {})
	go follower.Run()
	t.Cleanup(follower.Stop)
	return follower
}

func requireRevision(t *testing.T, follower *Follower, revision uint64) {
	t.Helper()
	require.Eventually(t, func() bool { return follower.Applied().Head.Revision == revision }, 20*time.Second, 5*time.Millisecond)
}

func TestFollowerPassesWatchFaults(t *testing.T) {
	for name, faults := range map[string]platformd.Faults{
		"broken": {BreakWatches: true},
		"mute":   {MuteWatches: true},
		"silent": {SilentWatches: true},
		"slow":   {DelayMs: 300},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, store := startPlatform(t)
			server.SetFaults(faults)
			follower := follow(t, store, noPeers{})
			_, err := acceptLatest(store, "1", service("stock", 1))
			require.NoError(t, err)
			requireRevision(t, follower, 1)
			_, err = acceptLatest(store, "2", service("stock", 2))
			require.NoError(t, err)
			requireRevision(t, follower, 2)
		})
	}
}

func TestFollowerTakesConfigurationFromPeerInOutage(t *testing.T) {
	server, store := startPlatform(t)
	var services []*config.Service
	for i := range 40 {
		services = append(services, service(fmt.Sprintf("service-%d", i), 2))
	}
	_, err := Accept(store, Acceptance{ID: "1", Services: services})
	require.NoError(t, err)
	first := follow(t, store, noPeers{})
	requireRevision(t, first, 1)

	server.SetFaults(platformd.Faults{Down: true})
	second := follow(t, store, otherFollower{first})
	second.PeerAt("first", 1)
	requireRevision(t, second, 1)
	require.Equal(t, "first", second.Status().Source)
	require.Len(t, second.Applied().Bodies, 40)

	server.SetFaults(platformd.Faults{})
	_, err = acceptLatest(store, "2", service("stock", 2))
	require.NoError(t, err)
	requireRevision(t, second, 2)
}

func TestPlatformRestoredFromBackupIsNotFollowed(t *testing.T) {
	_, store := startPlatform(t)
	_, err := acceptLatest(store, "1", service("stock", 1))
	require.NoError(t, err)
	follower := follow(t, store, noPeers{})
	requireRevision(t, follower, 1)
	backup, err := store.Get(HeadKey)
	require.NoError(t, err)
	_, err = acceptLatest(store, "2", service("stock", 2))
	require.NoError(t, err)
	requireRevision(t, follower, 2)
	latest, err := store.Get(HeadKey)
	require.NoError(t, err)
	_, err = store.Update(HeadKey, latest.Version, backup.Value)
	require.NoError(t, err)
	_, err = follower.fetch(0)
	var older *OlderHeadError
	require.ErrorAs(t, err, &older)
	require.Equal(t, uint64(2), follower.Applied().Head.Revision)
}
