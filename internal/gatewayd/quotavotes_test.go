package gatewayd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/quota"
)

// Guards against a release that overtakes the request for the vote, and against several requests
// under way to a daemon that doesn't respond.
func TestReleaseWaitsForTheRequestUnderWay(t *testing.T) {
	c := voteCalls{byAddress: map[string]*quota.Release{}}
	release := &quota.Release{Round: 1}
	require.False(t, c.postpone("a", release))
	require.True(t, c.begin("a"))
	require.False(t, c.begin("a"))
	require.True(t, c.begin("b"))
	require.True(t, c.postpone("a", release))
	require.Equal(t, release, c.end("a"))
	require.Nil(t, c.end("b"))
	require.True(t, c.begin("a"))
}
