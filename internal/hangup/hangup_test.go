package hangup

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOnlyDaemonsIgnoreSIGHUP(t *testing.T) {
	require.True(t, runsDaemon([]string{"poplarwheel", "gateway"}))
	require.True(t, runsDaemon([]string{"poplarwheel", "entry", "--settings", "x"}))
	for _, args := range [][]string{nil, {"poplarwheel"}, {"poplarwheel", "status"}, {"poplarwheel", "status", "gateway"}} {
		require.False(t, runsDaemon(args), args)
	}
}
