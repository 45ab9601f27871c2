package gatewayd

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The smallest VM must hold a body of the largest size, and with the garbage that the collector lets
// accumulate and the process itself, what is held must fit the memory of each VM.
func TestHeldBytesFitTheMemory(t *testing.T) {
	const largestBody, process = 64 * megabyte, 40 * megabyte
	for _, memory := range []int{184, 284, 536} {
		held := Resources{MemoryMB: memory}.heldBytes()
		require.Greater(t, held, int64(largestBody))
		require.Less(t, held+held*gcPercent/100+process, int64(memory*megabyte))
	}
	require.Zero(t, Resources{}.heldBytes(), "nothing must be limited if the memory is unknown")
}
