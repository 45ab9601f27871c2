package e2e

import (
	"errors"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	system "github.com/poplarwheel/poplarwheel/test/fleet"
)

// stock are the answers about one service on the first targets.
func stock(c *system.Fleet, targets int) *questionnaire.Answers {
	return &questionnaire.Answers{Team: "swanbrook", Services: []questionnaire.Service{{
		Name: "stock", Priority: questionnaire.PriorityTail, TypicalMs: 5, SlotsPerServer: 3, ConnectionsPerServer: 200,
		Requests: []questionnaire.Request{{
			Name: "availability", AgreedMs: 5000,
			IfLate: questionnaire.HarmGrave, IfLost: questionnaire.HarmMinor, IfDoubled: questionnaire.HarmNone,
		}},
		Servers: c.Servers(0, targets-1),
	}}}
}

// A team is made at one daemon and configures its service at another one; its revoked
// token stops at both, and a daemon that stops answers what it has begun.
func TestTeamConfiguresItsServiceThroughTheAPI(t *testing.T) {
	c, err := system.Start(system.Options{Binary: binary, Dir: t.TempDir(), Entries: 2, Targets: 2, Settings: map[string]any{"keep_seconds": 1}})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	require.NoError(t, system.Await("the API", func() bool {
		_, err := c.CallAPI(0, system.APIRequest{Method: "PUT", Path: "/v1/teams/swanbrook", Token: system.AdminToken, IfNoneMatch: "*", Body: adminapi.Limits{}}, nil)
		return err == nil
	}))
	var token adminapi.NewToken
	_, err = c.CallAPI(0, system.APIRequest{Method: "POST", Path: "/v1/teams/swanbrook/tokens", Token: system.AdminToken}, &token)
	require.NoError(t, err)

	var proposal questionnaire.Proposal
	require.NoError(t, system.Await("the token at the other daemon", func() bool {
		_, err := c.CallAPI(1, system.APIRequest{Method: "POST", Path: adminapi.PathProposals, Token: token.Token, Body: stock(c, 2)}, &proposal)
		return err == nil
	}))
	var accepted adminapi.AcceptReply
	_, err = c.CallAPI(1, system.APIRequest{Method: "POST", Path: adminapi.PathAcceptances, Token: token.Token, IfMatch: `"0"`, Body: proposal}, &accepted)
	require.NoError(t, err)
	require.NoError(t, c.AwaitRevision(accepted.Revision))
	var targets adminapi.TargetPage
	_, err = c.CallAPI(0, system.APIRequest{Method: "GET", Path: adminapi.PathTargets, Token: token.Token}, &targets)
	require.NoError(t, err)
	require.Len(t, targets.Targets, 2)

	acceptWhileStopping(t, c, token.Token, accepted.Revision)

	_, err = c.CallAPI(0, system.APIRequest{Method: "DELETE", Path: "/v1/teams/swanbrook/tokens/" + token.ID, Token: system.AdminToken}, nil)
	require.NoError(t, err)
	require.NoError(t, system.Await("the revoked token to stop", func() bool {
		_, err := c.CallAPI(0, system.APIRequest{Method: "GET", Path: adminapi.PathServices, Token: token.Token}, nil)
		var refused *adminapi.Error
		return errors.As(err, &refused) && refused.Code == adminapi.CodeUnauthenticated
	}))
}

// acceptWhileStopping sends an acceptance to daemon 1 over a slow platform, stops the
// daemon meanwhile and requires the answer.
func acceptWhileStopping(t *testing.T, c *system.Fleet, token string, base uint64) {
	t.Helper()
	proposal, err := questionnaire.Propose(stock(c, 1))
	require.NoError(t, err)
	proposal.Base = base
	require.NoError(t, c.SetPlatformFaults(platformd.Faults{DelayMs: 700}))
	answered := make(chan error, 1)
	go func() {
		_, err := c.CallAPI(1, system.APIRequest{Method: "POST", Path: adminapi.PathAcceptances, Token: token, IfMatch: `"1"`, Body: proposal}, nil)
		answered <- err
	}()
	require.NoError(t, system.Await("the acceptance to be under way", func() bool {
		dump, err := c.Dump(1)
		if err != nil {
			return false
		}
		api, ok := dump.Sections["api"].(map[string]any)
		return ok && api["requests_under_way"] == 1.0
	}))
	require.NoError(t, c.Signal(system.EntryName(1), syscall.SIGTERM))
	require.NoError(t, <-answered)
	require.NoError(t, c.SetPlatformFaults(platformd.Faults{}))
	require.NoError(t, c.AwaitExit(system.EntryName(1)))
}
