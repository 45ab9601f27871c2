package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
)

// reply is what the fake API answers to one method and path.
type reply struct {
	status int
	body   any
}

// fakeAPI answers by method and path, and 404 otherwise. It requires the token.
func fakeAPI(t *testing.T, replies map[string]reply) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		found, ok := replies[r.Method+" "+r.URL.Path]
		switch {
		case r.Header.Get(adminapi.HeaderAuthorization) != "Bearer secret":
			found = refusal(401, adminapi.CodeUnauthenticated)
		case !ok:
			found = refusal(404, adminapi.CodeNotFound)
		}
		w.Header().Set(adminapi.HeaderETag, `"1"`)
		w.WriteHeader(found.status)
		_ = json.NewEncoder(w).Encode(found.body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func refusal(status int, code adminapi.Code) reply {
	return reply{status, adminapi.Error{Code: code, Message: "refused", Current: 9, Changes: []adminapi.ChangedService{{Service: "stock", Revision: 9, By: "paul"}}}}
}

// fullAPI answers every request of the commands.
func fullAPI(t *testing.T) string {
	at := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	team := adminapi.Team{Name: "swanbrook", Limits: adminapi.Limits{Services: 20}, Tokens: []adminapi.Token{{ID: "3f1c"}}}
	return fakeAPI(t, map[string]reply{
		"POST /v1/proposals":                     {200, questionnaire.Proposal{Base: 8, Changes: []questionnaire.Change{{Path: "stock", To: "x"}}}},
		"POST /v1/acceptances":                   {201, adminapi.AcceptReply{Revision: 9}},
		"GET /v1/configuration":                  {200, adminapi.Configuration{Revision: 9, AcceptedBy: "ruth", AcceptedAt: at, InForce: 8}},
		"GET /v1/revisions":                      {200, adminapi.RevisionPage{Revisions: []adminapi.Revision{{Revision: 9, AcceptedBy: "ruth\x1b[2J", AcceptedAt: at, Removed: []string{"old"}}}}},
		"GET /v1/services":                       {200, adminapi.ServicePage{Services: []adminapi.ServiceSummary{{Name: "stock", Team: "swanbrook", Revision: 9, Targets: 8}}}},
		"GET /v1/services/stock":                 {200, config.Service{Name: "stock"}},
		"GET /v1/targets":                        {200, adminapi.TargetPage{Targets: []proxy.TargetState{{Service: "stock", Name: "stock-1", State: "cold"}}}},
		"GET /v1/quarantine":                     {200, adminapi.SuspectPage{Suspects: []quarantine.Suspect{{Content: 42, Service: "stock", Quarantined: true, Deaths: []quarantine.Death{{Target: "stock-1", At: at}}}}}},
		"DELETE /v1/quarantine/42":               {200, adminapi.LiftReply{Known: true}},
		"DELETE /v1/quarantine/43":               {200, adminapi.LiftReply{Unreached: []string{"entry-2"}}},
		"GET /v1/dump":                           {200, map[string]string{"name": "entry-1"}},
		"GET /v1/teams":                          {200, adminapi.TeamPage{Teams: []adminapi.Team{team}}},
		"GET /v1/teams/swanbrook":                {200, team},
		"PUT /v1/teams/swanbrook":                {200, team},
		"PUT /v1/teams/new":                      {201, adminapi.Team{Name: "new"}},
		"DELETE /v1/teams/swanbrook":             {204, nil},
		"POST /v1/teams/swanbrook/tokens":        {201, adminapi.NewToken{ID: "3f1c", Token: "made"}},
		"DELETE /v1/teams/swanbrook/tokens/3f1c": {204, nil},
	})
}

func TestCommandsUseTheAPI(t *testing.T) {
	t.Setenv(tokenVariable, "secret")
	proposal := `{"base":8,"services":[],"reasons":[],"changes":[]}`
	api := " --api " + closedAddress(t) + "," + fullAPI(t)
	out := filepath.Join(t.TempDir(), "token")
	for args, c := range map[string]struct {
		input, stdout, stderr string
		code                  int
	}{
		"propose -a -":                               {questionnaire.Template(), `"base": 8`, "", 0},
		"propose -a - --explain":                     {questionnaire.Template(), "changes from revision 8", "", 0},
		"accept -f -":                                {proposal, `"revision": 9`, "", 0},
		"accept -f - --text":                         {proposal, "revision  9", "", 0},
		"accept -f - --request-id x":                 {proposal, "", "--request-id must be a UUID", ExitUsage},
		"accept -f - --token-file -":                 {proposal, "", "--token-file must be a file", ExitUsage},
		"status":                                     {"", `"in_force": 8`, "", 0},
		"status --text":                              {"", "accepted by              ruth", "", 0},
		"status --platform x":                        {"", "", "exactly one of --api and --platform", ExitUsage},
		"status --token-file -":                      {"secret\n", `"revision": 9`, "", 0},
		"status --token-file - --json":               {"other", "", "unauthenticated", ExitFailure},
		"history":                                    {"", "2026-12-04T06:00:00Z", "", 0},
		"history --json":                             {"", `"removed": [`, "", 0},
		"services":                                   {"", "swanbrook", "", 0},
		"services --json":                            {"", `"targets": 8`, "", 0},
		"services --service stock":                   {"", `"name": "stock"`, "", 0},
		"services --service none":                    {"", "", "not_found", ExitFailure},
		"services --service ../x":                    {"", "", "is no name", ExitUsage},
		"targets":                                    {"", "stock-1", "", 0},
		"targets --service stock --json":             {"", `"state": "cold"`, "", 0},
		"quarantine list":                            {"", "stock-1 2026-12-04T06:00:00Z", "", 0},
		"quarantine list --json":                     {"", `"content": "42"`, "", 0},
		"quarantine lift --content 42":               {"", "known to this daemon  true", "", 0},
		"quarantine lift --content 43 --json":        {"", `"entry-2"`, "not confirmed by entry-2", ExitFailure},
		"quarantine lift":                            {"", "", "--content must be given", ExitUsage},
		"dump":                                       {"", `"name": "entry-1"`, "", 0},
		"teams list":                                 {"", "3f1c", "", 0},
		"teams list --json":                          {"", `"services": 20`, "", 0},
		"teams put --team swanbrook --targets 5":     {"", "swanbrook", "", 0},
		"teams put --team new --json":                {"", `"name": "new"`, "", 0},
		"teams put":                                  {"", "", "--team must be given", ExitUsage},
		"teams remove --team swanbrook":              {"", "removed  swanbrook", "", 0},
		"teams remove --team none":                   {"", "", "not_found", ExitFailure},
		"teams token --team swanbrook":               {"", "token  made", "", 0},
		"teams token --team swanbrook --json":        {"", `"token": "made"`, "", 0},
		"teams token --team swanbrook --out " + out:  {"", "id  3f1c", "", 0},
		"teams token --team swanbrook --out /":       {"", "", "/: ", ExitUsage},
		"teams revoke --team swanbrook --id 3f1c":    {"", "revoked  3f1c", "", 0},
		"teams revoke --team swanbrook":              {"", "", "--id must be given", ExitUsage},
		"teams revoke --team a --id 3f1c --by r\x01": {"", "", "--by must be printable", ExitUsage},
	} {
		t.Run(args, func(t *testing.T) {
			got := poplarwheel(t, c.input, strings.Fields(args+api)...)
			require.Equal(t, c.code, got.code, "stdout %s, stderr %s", got.stdout, got.stderr)
			require.Contains(t, got.stdout, c.stdout)
			require.Contains(t, got.stderr, c.stderr)
			require.NotContains(t, got.stdout, "\x1b")
			require.Equal(t, c.code == ExitOK, got.stderr == "", got.stderr)
			if strings.HasSuffix(args, "--json") && got.stdout != "" {
				require.True(t, json.Valid([]byte(got.stdout)), got.stdout)
			}
		})
	}
	token, err := os.ReadFile(out)
	require.NoError(t, err)
	require.Equal(t, "made\n", string(token))
}

func TestRefusalsOfTheAPIHaveExitCodes(t *testing.T) {
	t.Setenv(tokenVariable, "secret")
	for code, exit := range map[adminapi.Code]int{
		adminapi.CodeStale:    ExitConflict,
		adminapi.CodeInvalid:  ExitUsage,
		adminapi.CodeTooLarge: ExitUsage,
		adminapi.CodeUnsure:   ExitUnsure,
		adminapi.CodePlatform: ExitFailure,
		adminapi.CodeLimit:    ExitFailure,
	} {
		api := fakeAPI(t, map[string]reply{"GET /v1/configuration": refusal(400, code)})
		got := poplarwheel(t, "", "status", "--api", api)
		require.Equal(t, exit, got.code, code)
		require.Empty(t, got.stdout)
		require.Contains(t, got.stderr, "stock: changed in revision 9 by paul")
	}
	require.Equal(t, ExitUsage, poplarwheel(t, "", "status", "--api", "api.example:9091").code)
	closed := poplarwheel(t, "", "status", "--api", closedAddress(t))
	require.Equal(t, ExitFailure, closed.code)
	require.Contains(t, closed.stderr, "no connection to")

	t.Setenv(tokenVariable, "")
	missing := poplarwheel(t, "", "status", "--api", "127.0.0.1:1")
	require.Equal(t, ExitUsage, missing.code)
	require.Contains(t, missing.stderr, "--token-file or POPLARWHEEL_TOKEN")
	bad := poplarwheel(t, "two words", "status", "--api", "127.0.0.1:1", "--token-file", "-")
	require.Equal(t, ExitUsage, bad.code)
	require.NotContains(t, bad.stderr, "words")
}
