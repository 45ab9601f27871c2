package e2e

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	system "github.com/poplarwheel/poplarwheel/test/fleet"
)

const (
	// pageTimeout bounds the steps of one page.
	pageTimeout = time.Minute
	// quietDuration puts the demo's own faults behind the end of the test.
	quietDuration = "10h"
)

// The steps of the operators' pages that are marked as shell run as written, on the
// demo.
func TestOperatorsStepsRunAsWritten(t *testing.T) {
	dir := startDemo(t)
	pages, err := filepath.Glob("../../docs/operators/*.md")
	require.NoError(t, err)
	run := 0
	for _, page := range append(pages, "../../docs/OPERATORS.md") {
		steps := shellSteps(t, page)
		if steps == "" {
			continue
		}
		run++
		t.Run(filepath.Base(page), func(t *testing.T) {
			output, err := runSteps(t, filepath.Join(dir, "swanbrook"), steps)
			require.NoError(t, err, output)
		})
	}
	require.GreaterOrEqual(t, run, 8)
}

// startDemo starts a serving demo and returns its folder.
func startDemo(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	var output bytes.Buffer
	command := exec.Command(binary, "demo", "--serve", "--duration", quietDuration, "--dir", dir)
	command.Stdout, command.Stderr = &output, &output
	require.NoError(t, command.Start())
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		require.NoError(t, <-ended, output.String())
	})
	require.NoError(t, system.Await("the demo to be in force", func() bool {
		for _, deployment := range []string{"swanbrook", "lumenwalk"} {
			if _, err := os.Stat(filepath.Join(dir, deployment, "env")); err != nil {
				return false
			}
		}
		return true
	}))
	return dir
}

// shellSteps returns the blocks of a page that are marked as shell.
func shellSteps(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	var steps strings.Builder
	for _, part := range strings.Split(string(text), "\n```sh\n")[1:] {
		block, _, closed := strings.Cut(part, "\n```\n")
		require.True(t, closed, "a block of %s doesn't end", page)
		steps.WriteString(block + "\n")
	}
	return steps.String()
}

// runSteps runs steps in a shell that ends at the first failure, and ends what they
// left behind.
func runSteps(t *testing.T, dir, steps string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), pageTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, "sh", "-euxc", ". ./env\n"+steps)
	command.Dir = dir
	command.Env = append(os.Environ(), "PATH="+filepath.Dir(binary)+":"+os.Getenv("PATH"))
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	endGroup := func() error { return syscall.Kill(-command.Process.Pid, syscall.SIGKILL) }
	command.Cancel = endGroup
	output, err := command.CombinedOutput()
	_ = endGroup()
	return string(output), err
}
