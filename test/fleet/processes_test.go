package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// slowToStop is set in the environment of the process that stops late.
	slowToStop = "FLEET_TEST_SLOW_TO_STOP"
	// stopDelay is how long a thread of that process can't be stopped.
	stopDelay = 500 * time.Millisecond
	// readyLine is what that process prints while its thread can't be stopped.
	readyLine = "ready\n"
	// stoppedState is the state of a stopped thread in /proc.
	stoppedState = "T"
)

func TestMain(m *testing.M) {
	if os.Getenv(slowToStop) != "" {
		blockInVfork([]byte(readyLine), unix.NsecToTimespec(stopDelay.Nanoseconds()))
		select {}
	}
	os.Exit(m.Run())
}

// blockInVfork waits for a child that prints line, sleeps and exits. The kernel doesn't stop
// a thread that waits for the child of a vfork.
//
//go:norace
func blockInVfork(line []byte, sleep unix.Timespec) {
	child, _, _ := syscall.RawSyscall6(unix.SYS_CLONE, unix.CLONE_VFORK|uintptr(unix.SIGCHLD), 0, 0, 0, 0, 0)
	if child != 0 {
		return
	}
	_, _, _ = syscall.RawSyscall(unix.SYS_WRITE, uintptr(unix.Stdout), uintptr(unsafe.Pointer(&line[0])), uintptr(len(line)))
	_, _, _ = syscall.RawSyscall(unix.SYS_NANOSLEEP, uintptr(unsafe.Pointer(&sleep)), 0, 0)
	for {
		_, _, _ = syscall.RawSyscall(unix.SYS_EXIT_GROUP, 0, 0, 0)
	}
}

// A process that goes on after SIGSTOP handles requests that a test sends to a stopped one.
func TestSignalReturnsOnceEveryThreadHasStopped(t *testing.T) {
	dir := t.TempDir()
	binary, err := os.Executable()
	require.NoError(t, err)
	processes := NewProcesses(binary, dir)
	t.Cleanup(processes.Close)
	require.NoError(t, processes.StartProcessWith("slow", []string{slowToStop + "=1"}))
	require.NoError(t, Await("a thread that can't be stopped", func() bool {
		printed, err := os.ReadFile(filepath.Join(dir, "slow.log"))
		return err == nil && string(printed) == readyLine
	}))
	require.NoError(t, processes.Signal("slow", syscall.SIGSTOP))
	for _, state := range threadStates(t, processes.Pid("slow")) {
		require.Equal(t, stoppedState, state)
	}
}

// threadStates returns the state of each thread of a process.
func threadStates(t *testing.T, pid int) []string {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	require.NoError(t, err)
	require.NotEmpty(t, threads)
	var states []string
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		require.NoError(t, err)
		_, afterName, _ := strings.Cut(string(stat), ") ")
		states = append(states, afterName[:1])
	}
	return states
}
