package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/monotonic/monotonictest"
)

// A time of day that jumps ahead must not close a connection that works, and one that jumps back
// must not keep a silent one.
func TestSilenceDoesNotFollowTheTimeOfDay(t *testing.T) {
	address := startServer(t, "shared")
	client := NewClient([]byte("shared"))
	defer client.Close()
	var result string
	require.NoError(t, client.Call(context.Background(), address, "echo", "hello", &result))
	conn, err := client.conn(context.Background(), address)
	require.NoError(t, err)
	now := time.Now()
	for _, jump := range []time.Duration{-time.Hour, -2 * silenceLimit, 2 * silenceLimit, time.Hour} {
		require.False(t, conn.frames.silentFor(silenceLimit, monotonictest.Jump(now, jump)), "jump of %v", jump)
		later := now.Add(2 * silenceLimit)
		require.True(t, conn.frames.silentFor(silenceLimit, monotonictest.Jump(later, jump)), "jump of %v", jump)
	}
}
