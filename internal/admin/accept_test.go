package admin

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
)

func TestProposalIsAcceptedThroughTheAPI(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	token := n.makeTeam("swanbrook", adminapi.Limits{})
	template := n.get(adminapi.PathTemplate, token)
	require.Equal(t, 200, template.status)
	answers, err := questionnaire.Parse(template.body)
	require.NoError(t, err)
	answers.Team = "swanbrook"

	var checked adminapi.CheckReply
	n.do("POST", adminapi.PathCheck, token, answers, nil).into(t, 200, &checked)
	require.Equal(t, adminapi.CheckReply{Team: "swanbrook", Services: 1, RequestTypes: 1, Targets: 1}, checked)
	proposed := n.do("POST", adminapi.PathProposals, token, answers, nil)
	require.Equal(t, 200, proposed.status, "%s", proposed.body)
	accepted := n.do("POST", adminapi.PathAcceptances, token, proposed.body, headers{adminapi.HeaderIfMatch: proposed.etag, adminapi.HeaderOperator: "ruth"})
	require.Equal(t, 201, accepted.status, "%s", accepted.body)

	var configuration adminapi.Configuration
	shown := n.get(adminapi.PathConfiguration, token)
	shown.into(t, 200, &configuration)
	require.Equal(t, uint64(1), configuration.Revision)
	require.Regexp(t, `^swanbrook/[0-9a-f]{12}/ruth$`, configuration.AcceptedBy)
	for _, path := range []string{adminapi.PathConfiguration, "/v1/services/" + answers.Services[0].Name} {
		current := n.get(path, token)
		same := n.do("GET", path, token, nil, headers{adminapi.HeaderIfNoneMatch: current.etag})
		require.Equal(t, 304, same.status)
		require.Empty(t, same.body)
	}
	answers.Team = "lumenwalk"
	requireError(t, 403, adminapi.CodeForbidden, n.do("POST", adminapi.PathProposals, token, answers, nil))
	require.Equal(t, 403, n.do("POST", adminapi.PathProposals, n.makeTeam("lumenwalk", adminapi.Limits{}), answers, nil).status, "the name is taken")
}

func TestStaleAcceptanceSaysWhatChanged(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	ours, theirs := n.makeTeam("swanbrook", adminapi.Limits{}), n.makeTeam("lumenwalk", adminapi.Limits{})
	n.mustAccept(ours, 0, service("swanbrook", "stock", 2, 1))
	n.mustAccept(theirs, 1, service("lumenwalk", "routes", 2, 1))
	for _, base := range []uint64{0, 1, 3, 1 << 40} {
		refused := n.accept(ours, base, []*config.Service{service("swanbrook", "stock", 3, 1)}, nil, nil)
		requireError(t, 412, adminapi.CodeStale, refused)
		require.Equal(t, uint64(2), refused.failed.Current)
		for _, change := range refused.failed.Changes {
			require.Equal(t, "stock", change.Service, "what other teams changed is left out")
		}
		require.Equal(t, base == 0, len(refused.failed.Changes) == 1)
	}
	requireError(t, 428, adminapi.CodeCondition, n.do("POST", adminapi.PathAcceptances, ours, questionnaire.Proposal{}, nil))
	requireError(t, 400, adminapi.CodeInvalid, n.do("POST", adminapi.PathAcceptances, ours, questionnaire.Proposal{Base: 2}, headers{adminapi.HeaderIfMatch: `"1"`}))
	requireError(t, 400, adminapi.CodeInvalid, n.do("POST", adminapi.PathAcceptances, ours, questionnaire.Proposal{Base: 2}, headers{adminapi.HeaderIfMatch: `2`}))
}

// The answer to an acceptance is lost on its way; the operator sends it again, to
// another daemon.
func TestResentAcceptanceIsTheFirstOne(t *testing.T) {
	server, store := startPlatform(t)
	n, other := startNode(t, store), startNode(t, store)
	token := n.makeTeam("swanbrook", adminapi.Limits{})
	other.ahead.Add(int64(2 * teamsMaxAge))
	id := headers{adminapi.HeaderRequestID: uuid.NewString()}
	services := []*config.Service{service("swanbrook", "stock", 2, 1)}
	server.SetFaults(platformd.Faults{LoseWriteAnswers: true})
	require.Equal(t, 201, n.accept(token, 0, services, nil, id).status)
	server.SetFaults(platformd.Faults{})
	n.mustAccept(token, 1, service("swanbrook", "stock", 3, 1))

	var again adminapi.AcceptReply
	other.accept(token, 0, services, nil, id).into(t, 201, &again)
	require.Equal(t, uint64(1), again.Revision)
	requireError(t, 412, adminapi.CodeStale, other.accept(token, 0, []*config.Service{service("swanbrook", "stock", 9, 1)}, nil, id))
	theirs := n.makeTeam("lumenwalk", adminapi.Limits{})
	other.ahead.Add(int64(2 * teamsMaxAge))
	requireError(t, 412, adminapi.CodeStale, other.accept(theirs, 0, []*config.Service{service("lumenwalk", "routes", 2, 1)}, nil, id))
	requireError(t, 400, adminapi.CodeInvalid, n.accept(token, 2, services, nil, headers{adminapi.HeaderRequestID: "1"}))
	head, _, err := rollout.ReadHead(store)
	require.NoError(t, err)
	require.Equal(t, uint64(2), head.Revision)
}

// lostHead loses every answer to a write of the head and then refuses reads.
type lostHead struct {
	platform.Store
	mu   sync.Mutex
	lost bool
}

func (s *lostHead) Create(key string, value []byte) (platform.Version, error) {
	version, err := s.Store.Create(key, value)
	if key != rollout.HeadKey {
		return version, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	return 0, &platform.UnavailableError{Operation: "create", Key: key, MayHaveApplied: true, Cause: errLost}
}

func (s *lostHead) Get(key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == rollout.HeadKey && s.lost {
		return platform.Object{}, &platform.UnavailableError{Operation: "get", Key: key, Cause: errLost}
	}
	return s.Store.Get(key)
}

var errLost = errors.New("connection lost")

func TestUnsureAcceptanceIsSaidToBe(t *testing.T) {
	t.Parallel()
	_, store := startPlatform(t)
	n, other := startNode(t, &lostHead{Store: store}), startNode(t, store)
	token := n.makeTeam("swanbrook", adminapi.Limits{})
	other.ahead.Add(int64(2 * teamsMaxAge))
	id := headers{adminapi.HeaderRequestID: uuid.NewString()}
	services := []*config.Service{service("swanbrook", "stock", 2, 1)}
	requireError(t, 502, adminapi.CodeUnsure, n.accept(token, 0, services, nil, id))
	require.Equal(t, "unsure", n.logged.LastEntry().Data["error"])
	var again adminapi.AcceptReply
	other.accept(token, 0, services, nil, id).into(t, 201, &again)
	require.Equal(t, uint64(1), again.Revision)
}

// beforeRead calls a function before one read of the head.
type beforeRead struct {
	platform.Store
	reads int
	call  func()
}

func (s *beforeRead) Get(key string) (platform.Object, error) {
	if key == rollout.HeadKey {
		if s.reads--; s.reads == 0 {
			s.call()
		}
	}
	return s.Store.Get(key)
}

// Another team's acceptance comes between the check of a change and its effect. The
// change names the revision before it, or already the one that it makes.
func TestNothingComesBetweenCheckAndEffect(t *testing.T) {
	for base := range uint64(2) {
		_, store := startPlatform(t)
		theirs := startNode(t, store)
		between := &beforeRead{Store: store, reads: 2, call: func() {
			theirs.mustAccept(adminToken, 0, service("swanbrook", "stock", 2, 1))
		}}
		n := startNode(t, between)
		token := n.makeTeam("lumenwalk", adminapi.Limits{})
		stolen := n.accept(token, base, []*config.Service{service("lumenwalk", "stock", 2, 1)}, nil, nil)
		requireError(t, 412, adminapi.CodeStale, stolen)
		accepted, err := rollout.Read(store)
		require.NoError(t, err)
		if base == 0 {
			require.Equal(t, "swanbrook", accepted.Bodies["stock"].Service.Team)
		} else {
			require.Empty(t, accepted.Bodies, "refused before anything else was read")
		}
	}
}

func TestLimitsOfATeam(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	token := n.makeTeam("swanbrook", adminapi.Limits{Services: 2, Targets: 3, RequestsPerMinute: 60})
	n.mustAccept(token, 0, service("swanbrook", "stock", 2, 2))
	requireError(t, 422, adminapi.CodeLimit, n.accept(token, 1, []*config.Service{service("swanbrook", "bookings", 2, 2)}, nil, nil))
	requireError(t, 422, adminapi.CodeLimit, n.accept(token, 1, []*config.Service{service("swanbrook", "a", 2, 1), service("swanbrook", "b", 2, 1)}, nil, nil))
	n.mustAccept(token, 1, service("swanbrook", "bookings", 2, 1))
	var refused answer
	require.Eventually(t, func() bool {
		refused = n.get(adminapi.PathServices, token)
		return refused.status != 200
	}, callTimeout, 1)
	requireError(t, 429, adminapi.CodeRate, refused)
	require.Equal(t, "1", refused.wait)
	require.Equal(t, 200, n.get(adminapi.PathServices, n.makeTeam("lumenwalk", adminapi.Limits{})).status)
}

// Two teams race on one base at two daemons, again and again: one wins each time, the
// other one is told that its base is stale, and nobody's service is ever lost.
func TestRacingTeams(t *testing.T) {
	server, store := startPlatform(t)
	nodes := []*node{startNode(t, store), startNode(t, store)}
	teams := []string{"swanbrook", "lumenwalk"}
	tokens := []string{nodes[0].makeTeam(teams[0], adminapi.Limits{}), nodes[0].makeTeam(teams[1], adminapi.Limits{})}
	nodes[1].ahead.Add(int64(2 * teamsMaxAge))
	server.SetFaults(platformd.Faults{LoseWriteShare: 0.2, Seed: 1})
	const rounds = 20
	for round := range uint64(rounds) {
		var results [2]answer
		var racing sync.WaitGroup
		for i := range teams {
			racing.Go(func() {
				own := service(teams[i], fmt.Sprintf("%s-%d", teams[i], round%3), 1+int(round%9), 1)
				results[i] = nodes[i].accept(tokens[i], round, []*config.Service{own}, nil, nil)
			})
		}
		racing.Wait()
		winner := 0
		if results[0].status != 201 {
			winner = 1
		}
		require.Equal(t, 201, results[winner].status, "%s", results[winner].body)
		requireError(t, 412, adminapi.CodeStale, results[1-winner])
		require.Equal(t, round+1, results[1-winner].failed.Current)
	}
	accepted, err := rollout.Read(store)
	require.NoError(t, err)
	require.Equal(t, uint64(rounds), accepted.Head.Revision)
	for name, body := range accepted.Bodies {
		require.Equal(t, body.Service.Team, name[:len(body.Service.Team)])
	}
}

// While a read of the newest configuration hangs, what is known is shown; a daemon
// that lacks too much of it proposes and accepts nothing yet.
func TestDaemonThatIsBehind(t *testing.T) {
	_, store := startPlatform(t)
	n, late := startNode(t, store), startNode(t, store)
	var services []*config.Service
	for i := range acceptedBodies + 1 {
		services = append(services, service("swanbrook", fmt.Sprintf("s%d", i), 2, 1))
	}
	n.mustAccept(adminToken, 0, services[:acceptedBodies]...)
	n.mustAccept(adminToken, 1, services[acceptedBodies])
	refused := late.accept(adminToken, 2, services[:1], nil, nil)
	requireError(t, 503, adminapi.CodeBusy, refused)
	require.NotEmpty(t, refused.wait)
	applied, err := rollout.Read(store)
	require.NoError(t, err)
	late.daemon.inForce.Store(applied)
	late.server.accepted.readMu.Lock()
	require.Equal(t, 200, late.get("/v1/services/s0", adminToken).status)
	late.server.accepted.readMu.Unlock()
	late.mustAccept(adminToken, 2, service("swanbrook", "s0", 3, 1))
}
