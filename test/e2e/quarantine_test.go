package e2e

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/dispatch"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
	"github.com/poplarwheel/poplarwheel/internal/wire"
	system "github.com/poplarwheel/poplarwheel/test/fleet"
)

// checks is a fleet with a service whose requests are idempotent.
type checks struct {
	*system.Fleet
	t       *testing.T
	targets int
}

func startChecks(t *testing.T, entries, targets int) *checks {
	t.Helper()
	started, err := system.Start(system.Options{Binary: binary, Dir: t.TempDir(), Entries: entries, Targets: targets, Settings: map[string]any{"keep_seconds": 1}})
	require.NoError(t, err)
	t.Cleanup(started.Close)
	c := &checks{Fleet: started, t: t, targets: targets}
	revision, err := c.Accept(&questionnaire.Answers{Team: "swanbrook", Services: []questionnaire.Service{{
		Name: "stock", Priority: questionnaire.PriorityTail, TypicalMs: 5, SlotsPerServer: 3, ConnectionsPerServer: 200,
		Requests: []questionnaire.Request{{
			Name: "availability", AgreedMs: 5000,
			IfLate: questionnaire.HarmGrave, IfLost: questionnaire.HarmMinor, IfDoubled: questionnaire.HarmNone,
		}},
		Servers: c.Servers(0, targets-1),
	}}}, "test")
	require.NoError(t, err)
	require.NoError(t, c.AwaitRevision(revision))
	return c
}

// check sends a request and returns its outcome and reason.
func (c *checks) check(entry int, body string, crash bool, resend int) (outcome, reason string) {
	c.t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.EntryAddress(entry) + "/availability")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(wire.HeaderService, "stock")
	request.Header.Set(wire.HeaderType, "availability")
	request.Header.Set(wire.HeaderResend, strconv.Itoa(resend))
	if crash {
		request.Header.Set(targetd.HeaderCrash, wire.True)
	}
	request.SetBodyString(body)
	request.SetConnectionClose()
	require.NoError(c.t, fasthttp.DoTimeout(request, response, 10*time.Second))
	return string(response.Header.Peek(wire.HeaderOutcome)), string(response.Header.Peek(wire.HeaderReason))
}

// checkUntilAnswered sends a request again while its target was lost.
func (c *checks) checkUntilAnswered(entry int, body string) string {
	for resend := 0; ; resend++ {
		outcome, reason := c.check(entry, body, false, resend)
		if reason != string(dispatch.ReasonTargetLost) || resend == 3 {
			return outcome + reason
		}
	}
}

// setFaults replaces the faults of a target. One that takes no connection must be
// ending.
func (c *checks) setFaults(i int, faults targetd.Faults) {
	c.t.Helper()
	if err := c.SetTargetFaults(i, faults); err != nil {
		require.NoError(c.t, c.AwaitExit(system.TargetName(i)), err)
	}
}

func (c *checks) dead() int {
	dead := 0
	for i := range c.targets {
		if !c.Running(system.TargetName(i)) {
			dead++
		}
	}
	return dead
}

func (c *checks) suspects(entry int) []quarantine.Suspect {
	dump, err := c.Dump(entry)
	require.NoError(c.t, err)
	return dump.Quarantine
}

// A request crashes each target that runs it; its caller sends it again and again
// to different entry VMs, one of which is restarted.
func TestCrashingRequestStopsKillingTargets(t *testing.T) {
	c := startChecks(t, 3, 6)
	outcome, _ := c.check(0, "killer", true, 0)
	require.Equal(t, wire.OutcomeUnknown, outcome)
	for resend := 1; resend <= 6; resend++ {
		outcome, reason := c.check(resend%3, "killer", true, resend)
		require.Equal(t, wire.OutcomeUnknown, outcome)
		if resend > 1 {
			require.Equal(t, "quarantined", reason)
		}
	}
	require.Equal(t, quarantine.DeathLimit, c.dead())

	require.NoError(t, c.Kill(system.EntryName(0)))
	require.NoError(t, c.StartEntry(0))
	require.NoError(t, system.Await("the restarted daemon to know the quarantine", func() bool {
		dump, err := c.Dump(0)
		return err == nil && dump.Revision > 0 && len(dump.Quarantine) == 1
	}))
	_, reason := c.check(0, "killer", true, 7)
	require.Equal(t, "quarantined", reason)
	outcome, reason = c.check(1, "killer", true, 0)
	require.Equal(t, wire.OutcomeNotRun, outcome)
	require.Equal(t, "quarantined", reason)
	require.Equal(t, quarantine.DeathLimit, c.dead())
}

// A quarantine is kept on the platform: it outlasts a restart of all daemons.
func TestQuarantineOutlastsARestartOfAllDaemons(t *testing.T) {
	const entries = 2
	c := startChecks(t, entries, 5)
	c.check(0, "killer", true, 0)
	store := platform.NewClient(c.Platform, time.Second)
	require.NoError(t, system.Await("the platform to keep the quarantine", func() bool {
		kept, err := quarantine.ReadStored(store, time.Now())
		return err == nil && len(kept) == 1
	}))
	for i := range entries {
		require.NoError(t, c.Kill(system.EntryName(i)))
	}
	for i := range entries {
		require.NoError(t, c.StartEntry(i))
	}
	for i := range entries {
		require.NoError(t, system.Await("the restarted daemon to know the quarantine", func() bool {
			dump, err := c.Dump(i)
			return err == nil && dump.Revision > 0 && len(dump.Quarantine) == 1
		}))
		_, reason := c.check(i, "killer", true, 1)
		require.Equal(t, "quarantined", reason)
	}
	require.Equal(t, quarantine.DeathLimit, c.dead())
}

// Requests that shared the dying targets are answered; one that was beside both
// deaths may need a resend, for its attempts are used up.
func TestRequestsBesideACrashingOneAreAnswered(t *testing.T) {
	c := startChecks(t, 2, 5)
	for i := range c.targets {
		require.NoError(t, c.SetTargetFaults(i, targetd.Faults{SlowFactor: 20}))
	}
	const others = 30
	outcomes := make(chan string, others)
	for i := range others {
		go func() { outcomes <- c.checkUntilAnswered(i%2, fmt.Sprint("innocent ", i)) }()
	}
	c.check(0, "killer", true, 0)
	for range others {
		outcome := <-outcomes
		require.Equal(t, wire.OutcomeRan, outcome, "suspects: %+v, %+v", c.suspects(0), c.suspects(1))
	}
	for resend := range 4 {
		c.check(resend%2, "killer", true, resend+1)
	}
	require.LessOrEqual(t, c.dead(), quarantine.DeathLimit+1)
	for _, suspect := range c.suspects(0) {
		require.True(t, suspect.Quarantined, "suspects: %+v, %+v", c.suspects(0), c.suspects(1))
	}
	require.Len(t, c.suspects(0), 1)
}

func TestOperatorLiftsTheQuarantine(t *testing.T) {
	c := startChecks(t, 2, 4)
	c.check(0, "killer", true, 0)
	_, reason := c.check(1, "killer", false, 1)
	require.Equal(t, "quarantined", reason)
	suspects := c.suspects(1)
	require.Len(t, suspects, 1)
	reply, err := c.Lift(0, suspects[0].Content)
	require.NoError(t, err)
	require.True(t, reply.Known)
	require.Empty(t, reply.Unreached)
	outcome, _ := c.check(1, "killer", false, 2)
	require.Equal(t, wire.OutcomeRan, outcome)
}

// TestFailureAnswerDoesNotClearACrashingRequest: a target that fails fast has not
// run the request, so its answer says nothing for it. In each round one target
// runs requests and the others fail fast.
func TestFailureAnswerDoesNotClearACrashingRequest(t *testing.T) {
	const targets = 6
	c := startChecks(t, 3, targets)
	for healthy := range targets {
		for i := range targets {
			if c.Running(system.TargetName(i)) {
				c.setFaults(i, targetd.Faults{FailFast: i != healthy})
			}
		}
		for entry := range 3 {
			c.check(entry, "killer", true, 1)
		}
	}
	require.Positive(t, c.dead())
	require.LessOrEqual(t, c.dead(), 3)
}
