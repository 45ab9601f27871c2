package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// vm1Log has a prefix before the pairs, as tools that collect logs write it, and a line that
// isn't a log entry.
const vm1Log = `
   5.1 vm-1 time="2026-03-18T21:23:36.047Z" level=info msg=started vm=vm-1
   5.2 vm-1 time="2026-03-18T21:23:37.100Z" level=warning msg="attempt failed" error="lost: \"reset\" by peer" outcome=lost request=abc target=i-1
   5.3 vm-1 time="2026-03-18T21:23:37.300Z" level=warning msg="request not served" reason=overload request=def status=503
not a log entry of a daemon
`

const vm2Log = `time="2026-03-18T21:23:37.200Z" level=info msg="answer late" late_ms=12 request=abc target=i-2
time="2026-03-18T21:23:38.200Z" level=warning msg="request not served" reason=timeout request=ghi status=504
`

// readLogs returns the entries of both logs, sorted by time.
func readLogs(t *testing.T) []Entry {
	t.Helper()
	var entries []Entry
	for _, log := range []string{vm1Log, vm2Log} {
		parsed, err := Read(strings.NewReader(log))
		require.NoError(t, err)
		entries = append(entries, parsed...)
	}
	Sort(entries)
	return entries
}

func TestStoryFindsEntriesOfRequestOnSeveralVMs(t *testing.T) {
	story := RequestEntries(readLogs(t), "abc")
	require.Len(t, story, 2)
	require.Equal(t, "attempt failed", story[0].Fields["msg"])
	require.Equal(t, `lost: "reset" by peer`, story[0].Fields["error"])
	require.Equal(t, "answer late", story[1].Fields["msg"])
	require.Equal(t, "12", story[1].Fields["late_ms"])
}

func TestWorstCountsRequestsPerSecondByReason(t *testing.T) {
	worst := WorstSeconds(readLogs(t), 1)
	require.Len(t, worst, 1)
	require.Equal(t, map[string]int{"late": 1, "overload": 1}, worst[0].Reasons)
	require.Len(t, Seconds(readLogs(t)), 2)
}
