package loopback

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSubnetsAreNotShared(t *testing.T) {
	seen := map[string]bool{}
	for range 30 {
		subnet, err := Reserve()
		require.NoError(t, err)
		require.False(t, seen[subnet.Prefix])
		seen[subnet.Prefix] = true
		t.Cleanup(func() { _ = subnet.Release() })
	}

	next.Store(0)
	first, err := Reserve()
	require.NoError(t, err)
	defer func() { _ = first.Release() }()
	require.False(t, seen[first.Prefix], "a held subnet is passed over")
	require.NoError(t, first.Release())
	next.Store(next.Load() - 1)
	again, err := Reserve()
	require.NoError(t, err)
	defer func() { _ = again.Release() }()
	require.Equal(t, first.Prefix, again.Prefix)
	require.Equal(t, first.Prefix+"7", again.Host(7))
}
