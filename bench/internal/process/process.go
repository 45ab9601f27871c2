// Package process reads what a process has used, from /proc.
package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// userField is the index of the user time after the command's name.
	userField = 11
)

// Usage is what a process has used.
type Usage struct {
	// CPU is the processor time since the start.
	CPU time.Duration
	// ResidentBytes is the memory in use.
	ResidentBytes int64
	// AnonymousBytes is the part of it that is no file's, such as the heap.
	AnonymousBytes int64
	// Threads is the number of threads.
	Threads int
}

// Of returns the usage of a process. A process that is gone has used nothing.
func Of(pid int) Usage {
	return Usage{
		CPU:            cpuTime(pid),
		ResidentBytes:  statusNumber(pid, "VmRSS:") * 1024,
		AnonymousBytes: statusNumber(pid, "RssAnon:") * 1024,
		Threads:        int(statusNumber(pid, "Threads:")),
	}
}

func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(after)
	if len(fields) <= userField+1 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[userField+1], 10, 64)
	return time.Duration(user+system) * clockTick
}

// statusNumber returns a number of /proc/PID/status, or 0.
func statusNumber(pid int, name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if after, ok := strings.CutPrefix(line, name); ok {
			number, _ := strconv.ParseInt(strings.Fields(after)[0], 10, 64)
			return number
		}
	}
	return 0
}
