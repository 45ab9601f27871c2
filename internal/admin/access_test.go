package admin

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
)

func TestOnlyKnownTokensPass(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	token := n.makeTeam("swanbrook", adminapi.Limits{})
	require.Equal(t, 200, n.get(adminapi.PathServices, token).status)
	other, _ := newToken()
	for name, wrong := range map[string]string{
		"none":          "",
		"unknown":       other,
		"other secret":  token[:len(token)-2] + strings.Repeat("x", 2),
		"ID alone":      token[:strings.LastIndex(token[:20], "_")+1],
		"other form":    "swanbrook",
		"hash":          hashToken(token),
		"administrator": adminToken + "x",
	} {
		requireError(t, 401, adminapi.CodeUnauthenticated, n.get(adminapi.PathServices, wrong))
		require.NotEqual(t, 200, n.get(adminapi.PathDump, wrong).status, name)
	}
	object, err := store.Get(TeamsKey)
	require.NoError(t, err)
	require.NotContains(t, string(object.Value), token, "the platform holds hashes only")
}

// A token that is revoked at one daemon stops at another one within teamsMaxAge.
func TestRevokedTokenStopsEverywhere(t *testing.T) {
	_, store := startPlatform(t)
	n, other := startNode(t, store), startNode(t, store)
	first := n.makeTeam("swanbrook", adminapi.Limits{})
	second := n.makeToken("swanbrook")
	other.ahead.Add(int64(2 * teamsMaxAge))
	require.Equal(t, 200, other.get(adminapi.PathServices, second.Token).status)
	revoked := n.do("DELETE", "/v1/teams/swanbrook/tokens/"+second.ID, adminToken, nil, nil)
	require.Equal(t, 204, revoked.status)
	requireError(t, 401, adminapi.CodeUnauthenticated, n.get(adminapi.PathServices, second.Token))
	other.ahead.Add(int64(teamsMaxAge + time.Millisecond))
	requireError(t, 401, adminapi.CodeUnauthenticated, other.get(adminapi.PathServices, second.Token))
	require.Equal(t, 200, other.get(adminapi.PathServices, first).status)
	requireError(t, 404, adminapi.CodeNotFound, n.do("DELETE", "/v1/teams/swanbrook/tokens/"+second.ID, adminToken, nil, nil))
}

func TestTeamSeesAndChangesItsOwnServicesOnly(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	ours, theirs := n.makeTeam("swanbrook", adminapi.Limits{}), n.makeTeam("lumenwalk", adminapi.Limits{})
	n.mustAccept(ours, 0, service("swanbrook", "stock", 2, 2))
	n.mustAccept(theirs, 1, service("lumenwalk", "routes", 2, 1))

	for name, c := range map[string]struct {
		services []*config.Service
		removed  []string
	}{
		"change":       {services: []*config.Service{service("swanbrook", "stock", 3, 2)}},
		"steal a name": {services: []*config.Service{service("lumenwalk", "stock", 2, 2)}},
		"give":         {services: []*config.Service{service("swanbrook", "signs", 2, 2)}},
		"remove":       {removed: []string{"stock"}},
		"move away":    {services: []*config.Service{service("swanbrook", "routes", 2, 2)}},
	} {
		t.Run(name, func(t *testing.T) {
			requireError(t, 403, adminapi.CodeForbidden, n.accept(theirs, 2, c.services, c.removed, nil))
		})
	}
	requireError(t, 404, adminapi.CodeNotFound, n.get("/v1/services/stock", theirs))
	requireError(t, 404, adminapi.CodeNotFound, n.get(adminapi.PathTargets+"?service=stock", theirs))
	var page adminapi.ServicePage
	n.get(adminapi.PathServices, theirs).into(t, 200, &page)
	require.Equal(t, []adminapi.ServiceSummary{{Name: "routes", Team: "lumenwalk", Revision: 2, Targets: 1}}, page.Services)
	n.get(adminapi.PathServices, adminToken).into(t, 200, &page)
	require.Len(t, page.Services, 2)

	var configuration adminapi.Configuration
	n.get(adminapi.PathConfiguration, ours).into(t, 200, &configuration)
	require.Equal(t, uint64(2), configuration.Revision)
	require.Empty(t, configuration.AcceptedBy, "the newest revision is the other team's")
	require.Equal(t, []adminapi.ServiceRevision{{Name: "stock", Revision: 1}}, configuration.Services)
	var revisions adminapi.RevisionPage
	n.get(adminapi.PathRevisions, ours).into(t, 200, &revisions)
	require.Len(t, revisions.Revisions, 1)
	require.Equal(t, []string{"stock"}, revisions.Revisions[0].Changed)

	for _, path := range []string{adminapi.PathDump, adminapi.PathTeams, "/v1/teams/swanbrook"} {
		requireError(t, 403, adminapi.CodeForbidden, n.get(path, ours))
	}
	requireError(t, 403, adminapi.CodeForbidden, n.do("POST", "/v1/teams/swanbrook/tokens", ours, nil, nil))
	require.Equal(t, 201, n.accept(adminToken, 2, []*config.Service{service("swanbrook", "stock", 3, 2)}, []string{"routes"}, nil).status)
}

func TestTeamLiftsItsOwnSuspectsOnly(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	ours, theirs := n.makeTeam("swanbrook", adminapi.Limits{}), n.makeTeam("lumenwalk", adminapi.Limits{})
	n.mustAccept(ours, 0, service("swanbrook", "stock", 2, 2))
	applied, err := rollout.Read(store)
	require.NoError(t, err)
	n.daemon.inForce.Store(applied)
	n.daemon.suspects = []quarantine.Suspect{{Content: 7, Service: "stock", Type: "check"}}

	var page adminapi.SuspectPage
	n.get(adminapi.PathQuarantine, theirs).into(t, 200, &page)
	require.Empty(t, page.Suspects)
	n.get(adminapi.PathQuarantine, ours).into(t, 200, &page)
	require.Len(t, page.Suspects, 1)
	requireError(t, 404, adminapi.CodeNotFound, n.do("DELETE", "/v1/quarantine/7", theirs, nil, nil))
	requireError(t, 404, adminapi.CodeNotFound, n.do("DELETE", "/v1/quarantine/8", ours, nil, nil))
	requireError(t, 404, adminapi.CodeNotFound, n.do("DELETE", "/v1/quarantine/x", adminToken, nil, nil))
	var lifted adminapi.LiftReply
	n.do("DELETE", "/v1/quarantine/7", ours, nil, nil).into(t, 200, &lifted)
	require.Equal(t, adminapi.LiftReply{Known: true, Unreached: []string{}}, lifted)
	n.do("DELETE", "/v1/quarantine/8", adminToken, nil, nil).into(t, 200, &lifted)
	require.Equal(t, []quarantine.Content{7, 8}, n.daemon.lifted)
}

func TestTeamWithServicesIsNotRemoved(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	token := n.makeTeam("swanbrook", adminapi.Limits{})
	n.mustAccept(token, 0, service("swanbrook", "stock", 2, 2))
	requireError(t, 409, adminapi.CodeConflict, n.do("DELETE", "/v1/teams/swanbrook", adminToken, nil, nil))
	require.Equal(t, 201, n.accept(token, 1, nil, []string{"stock"}, nil).status)
	require.Equal(t, 204, n.do("DELETE", "/v1/teams/swanbrook", adminToken, nil, nil).status)
	requireError(t, 401, adminapi.CodeUnauthenticated, n.get(adminapi.PathServices, token))
	requireError(t, 404, adminapi.CodeNotFound, n.get("/v1/teams/swanbrook", adminToken))
}

func TestTeamIsChangedOnItsNewestStateOnly(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	n.makeTeam("swanbrook", adminapi.Limits{})
	path := "/v1/teams/swanbrook"
	before := n.get(path, adminToken)
	requireError(t, 428, adminapi.CodeCondition, n.do("PUT", path, adminToken, adminapi.Limits{}, nil))
	requireError(t, 409, adminapi.CodeConflict, n.do("PUT", path, adminToken, adminapi.Limits{}, headers{adminapi.HeaderIfNoneMatch: "*"}))
	requireError(t, 404, adminapi.CodeNotFound, n.do("PUT", "/v1/teams/none", adminToken, adminapi.Limits{}, headers{adminapi.HeaderIfMatch: before.etag}))
	requireError(t, 400, adminapi.CodeInvalid, n.do("PUT", "/v1/teams/administrator", adminToken, adminapi.Limits{}, headers{adminapi.HeaderIfNoneMatch: "*"}))
	changed := n.do("PUT", path, adminToken, adminapi.Limits{Services: 3}, headers{adminapi.HeaderIfMatch: before.etag})
	var team adminapi.Team
	changed.into(t, 200, &team)
	require.Equal(t, adminapi.Limits{Services: 3, Targets: defaultTargets, RequestsPerMinute: defaultRequestsPerMinute}, team.Limits)
	require.NotEqual(t, before.etag, changed.etag)
	requireError(t, 412, adminapi.CodeStale, n.do("PUT", path, adminToken, adminapi.Limits{}, headers{adminapi.HeaderIfMatch: before.etag}))
}

// During an outage, tokens that are known go on working; a daemon that started in it
// knows none.
func TestTokensThroughAnOutage(t *testing.T) {
	t.Parallel()
	server, store := startPlatform(t)
	n := startNode(t, store)
	token := n.makeTeam("swanbrook", adminapi.Limits{})
	n.mustAccept(token, 0, service("swanbrook", "stock", 2, 2))
	require.Equal(t, 200, n.get("/v1/services/stock", token).status)
	server.SetFaults(platformd.Faults{Down: true})
	n.ahead.Add(int64(time.Hour))
	require.Equal(t, 200, n.get("/v1/services/stock", token).status)
	refused := n.accept(token, 1, []*config.Service{service("swanbrook", "stock", 3, 2)}, nil, nil)
	requireError(t, 503, adminapi.CodePlatform, refused)
	require.NotEmpty(t, refused.wait)
	requireError(t, 503, adminapi.CodePlatform, n.do("POST", "/v1/teams/swanbrook/tokens", adminToken, nil, nil))

	fresh := startNode(t, store)
	requireError(t, 503, adminapi.CodePlatform, fresh.get(adminapi.PathServices, token))
	requireError(t, 401, adminapi.CodeUnauthenticated, fresh.get(adminapi.PathServices, "no team's"))
	require.Equal(t, 200, fresh.get(adminapi.PathServices, adminToken).status)
	server.SetFaults(platformd.Faults{})
	require.Equal(t, 200, fresh.get(adminapi.PathServices, token).status)
}

func TestTeamsChangeDespiteLostAnswers(t *testing.T) {
	server, store := startPlatform(t)
	n := startNode(t, store)
	server.SetFaults(platformd.Faults{LoseWriteAnswers: true})
	token := n.makeTeam("swanbrook", adminapi.Limits{})
	second := n.makeToken("swanbrook")
	require.Equal(t, 204, n.do("DELETE", "/v1/teams/swanbrook/tokens/"+second.ID, adminToken, nil, nil).status)
	var team adminapi.Team
	n.get("/v1/teams/swanbrook", adminToken).into(t, 200, &team)
	require.Len(t, team.Tokens, 1)
	require.Equal(t, 200, n.get(adminapi.PathServices, token).status)
	require.Equal(t, 204, n.do("DELETE", "/v1/teams/swanbrook", adminToken, nil, nil).status)
}

// Administrators at two daemons change the teams at once, while answers are lost.
func TestRacingChangesOfTeamsAllTakeEffect(t *testing.T) {
	server, store := startPlatform(t)
	nodes := []*node{startNode(t, store), startNode(t, store)}
	nodes[0].makeTeam("swanbrook", adminapi.Limits{})
	server.SetFaults(platformd.Faults{LoseWriteShare: 0.3, Seed: 1})
	ids := make([]string, maxTokensPerTeam-1)
	var racing sync.WaitGroup
	for i := range ids {
		racing.Go(func() { ids[i] = nodes[i%2].makeToken("swanbrook").ID })
	}
	racing.Wait()
	var team adminapi.Team
	nodes[0].ahead.Add(int64(2 * teamsMaxAge))
	nodes[0].get("/v1/teams/swanbrook", adminToken).into(t, 200, &team)
	kept := map[string]bool{}
	for _, token := range team.Tokens {
		kept[token.ID] = true
	}
	require.Len(t, kept, maxTokensPerTeam)
	for _, id := range ids {
		require.True(t, kept[id])
	}
	requireError(t, 422, adminapi.CodeLimit, nodes[0].do("POST", "/v1/teams/swanbrook/tokens", adminToken, nil, nil))
}
