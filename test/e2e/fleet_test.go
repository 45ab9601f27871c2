package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
	system "github.com/poplarwheel/poplarwheel/test/fleet"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(system.RunTests(m, &binary)) }

// fleet is a running system with one service.
type fleet struct {
	*system.Fleet
	entries int
	targets int
}

// startFleet starts one process for each VM, each at an IP of its own.
func startFleet(t *testing.T, entries, targets int) *fleet {
	t.Helper()
	started, err := system.Start(system.Options{
		Binary:   binary,
		Dir:      t.TempDir(),
		Entries:  entries,
		Targets:  targets,
		Settings: map[string]any{"keep_seconds": 1},
	})
	require.NoError(t, err)
	t.Cleanup(started.Close)
	return &fleet{Fleet: started, entries: entries, targets: targets}
}

// A target that takes long to start must not make a test fail that asks it at once.
func TestTargetsAcceptConnectionsOnceTheFleetHasStarted(t *testing.T) {
	slow := filepath.Join(t.TempDir(), "slow")
	script := fmt.Sprintf("#!/bin/sh\n[ \"$2\" = target ] && sleep 1\nexec %q \"$@\"\n", binary)
	require.NoError(t, os.WriteFile(slow, []byte(script), 0o700))
	started, err := system.Start(system.Options{Binary: slow, Dir: t.TempDir(), Entries: 1, Targets: 1})
	require.NoError(t, err)
	t.Cleanup(started.Close)
	_, err = started.Journal(0)
	require.NoError(t, err)
}

func (f *fleet) answers() *questionnaire.Answers {
	return &questionnaire.Answers{Team: "swanbrook", Services: []questionnaire.Service{{
		Name:                 "stock",
		Priority:             questionnaire.PriorityCost,
		TypicalMs:            5,
		SlotsPerServer:       3,
		ConnectionsPerServer: 200,
		Servers:              f.Servers(0, f.targets-1),
		Requests: []questionnaire.Request{
			{Name: "availability", AgreedMs: 5000, IfLate: questionnaire.HarmGrave, IfLost: questionnaire.HarmMinor, IfDoubled: questionnaire.HarmNone},
			{Name: "book", AgreedMs: 5000, IfLate: questionnaire.HarmMinor, IfLost: questionnaire.HarmGrave, IfDoubled: questionnaire.HarmGrave},
		},
	}}}
}

// accept proposes and accepts a configuration by the command line, as an operator
// does, and waits until it is in force everywhere.
func (f *fleet) accept(t *testing.T) uint64 {
	t.Helper()
	input, err := json.Marshal(f.answers())
	require.NoError(t, err)
	proposal := f.run(t, input, "propose", "--answers", "-", "--platform", f.Platform)
	output := f.run(t, proposal, "accept", "--proposal", "-", "--platform", f.Platform, "--by", "test")
	var reply struct{ Revision uint64 }
	require.NoError(t, json.Unmarshal(output, &reply), "output %s", output)
	require.NoError(t, f.AwaitRevision(reply.Revision))
	return reply.Revision
}

func (f *fleet) run(t *testing.T, input []byte, args ...string) []byte {
	t.Helper()
	command := exec.Command(binary, args...)
	command.Stdin = bytes.NewReader(input)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	output, err := command.Output()
	require.NoError(t, err, "stderr: %s", stderr.String())
	return output
}

func (f *fleet) journal(t *testing.T, i int) []targetd.Run {
	t.Helper()
	runs, err := f.Journal(i)
	require.NoError(t, err)
	return runs
}
