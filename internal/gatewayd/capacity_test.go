package gatewayd

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCapacityIsLimitedByScarcestResource(t *testing.T) {
	require.InDelta(t, 800, Resources{Cores: 0.8, LinkMbps: 200}.capacity(), 1)
	require.InDelta(t, 160, Resources{Cores: 0.16, LinkMbps: 10}.capacity(), 1)
	require.Less(t, Resources{Cores: 0.8, LinkMbps: 1}.capacity(), 100.0)
	require.InDelta(t, 320, Resources{Cores: 0.32}.capacity(), 1)
	require.Positive(t, Resources{}.capacity())
}

// The connections of callers and targets together must leave the reserved files to the rest
// of the process.
func TestConnectionLimitsLeaveReservedFiles(t *testing.T) {
	for _, files := range []int{400, 1024, 4100, 8192} {
		r := Resources{MaxFiles: files}
		require.Positive(t, r.callerConnections())
		require.Positive(t, r.targetConnections())
		require.LessOrEqual(t, r.callerConnections()+r.targetConnections(), files-reservedFiles)
	}
	few := Resources{MaxFiles: reservedFiles}
	require.Positive(t, few.callerConnections())
	require.Positive(t, few.targetConnections(), "connections must stay limited if there are few files")
	require.Zero(t, Resources{}.callerConnections(), "connections must be unlimited without a limit of files")
	require.Zero(t, Resources{}.targetConnections(), "connections must be unlimited without a limit of files")
}
