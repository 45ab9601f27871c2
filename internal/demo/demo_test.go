package demo

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/load"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/settings"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

// checkHandout checks the files for trying the operators' steps.
func checkHandout(t *testing.T, dir string) {
	t.Helper()
	env, err := os.ReadFile(filepath.Join(dir, "env"))
	require.NoError(t, err)
	require.Regexp(t, `(?m)^export POPLARWHEEL_TOKEN=[A-Z2-7]{26}$`, string(env))
	require.Regexp(t, `(?m)^export API=([0-9.]+:9091,){4}[0-9.]+:9091$`, string(env))
	spare, err := os.ReadFile(filepath.Join(dir, "spare-2.json"))
	require.NoError(t, err)
	parsed, err := settings.Parse(spare)
	require.NoError(t, err)
	require.Equal(t, "lumenwalk-entry-7", parsed.Name)
	answers, err := os.ReadFile(filepath.Join(dir, "answers.json"))
	require.NoError(t, err)
	_, err = questionnaire.Parse(answers)
	require.NoError(t, err)
}

func TestShortDemoHolds(t *testing.T) {
	var progress bytes.Buffer
	dir := t.TempDir()
	summary, err := Run(context.Background(), Options{
		Duration: 6 * time.Second,
		Seed:     1,
		Dir:      dir,
		Progress: &progress,
		Log:      logging.Discard(),
	})
	require.NoError(t, err)
	var text bytes.Buffer
	require.NoError(t, summary.WriteText(&text))
	require.Empty(t, summary.Broken, "%s\n%s", progress.String(), text.String())
	require.NotZero(t, summary.Audit.Keys)
	require.NotZero(t, summary.InForceMs)
	checkHandout(t, filepath.Join(dir, "lumenwalk"))
	for _, expected := range []string{"straggler", "leaves", "platform goes down", "admin http://", "answered correctly in time"} {
		require.Contains(t, progress.String(), expected)
	}
	for _, expected := range []string{"p50 ms", "p99 ms", "measuring", "run twice", "lost"} {
		require.Contains(t, text.String(), expected)
	}
}

func TestAuditFindsWhatCallersWereToldWrongly(t *testing.T) {
	l := newLedger()
	l.record("fine", client.Ran)
	l.record("twice", client.Ran)
	l.record("lost", client.Ran)
	l.record("refused", client.NotRun)
	l.record("refused-but-ran", client.NotRun)
	l.record("open", client.Unknown)
	l.cut(&client.LostError{Entry: "127.0.0.1:8080"})
	l.cut(&client.NotSentError{Entry: "127.0.0.1:8080"})
	runs := runsByKey(
		[]targetd.Run{{Key: "fine"}, {Key: "twice"}, {Path: "/read"}},
		[]targetd.Run{{Key: "twice"}, {Key: "refused-but-ran"}},
	)
	var audit Audit
	l.audit(runs, &audit)
	require.Equal(t, Audit{Keys: 6, RunTwice: 1, Lost: 1, NotRunButRan: 1, Unknown: 1, Cut: 1}, audit)

	summary := &Summary{Total: load.Report{Calls: 1, Wrong: 1}, Audit: audit}
	summary.judge(false)
	require.Len(t, summary.Broken, 6)
	require.False(t, summary.Held())
}
