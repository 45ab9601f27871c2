package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

// A broadcast is complete once every group has answered, not before, and tells of claims.
func TestBroadcastIsCompleteOnceAllGroupsHaveAnswered(t *testing.T) {
	require.Equal(t, quarantine.Answers{Complete: true}, newBroadcast(0).await(time.Minute))
	b := newBroadcast(2)
	b.answered()
	require.Equal(t, quarantine.Answers{}, b.await(time.Millisecond))
	b.claim()
	b.answered()
	require.Equal(t, quarantine.Answers{Complete: true, Claimed: true}, b.await(time.Minute))
}
