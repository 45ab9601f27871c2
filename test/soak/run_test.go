package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// TestShortRunHasNoBreach is the randomised run in little, with fixed seeds.
func TestShortRunHasNoBreach(t *testing.T) {
	binary := buildBinary(t)
	for _, seed := range []uint64{11, 12} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			o := shortRun(t, binary)
			o.seed = seed
			breaches, err := run(o)
			require.NoError(t, err)
			require.Empty(t, breaches)
		})
	}
}

// TestSabotageIsSeen breaks the system on purpose.
func TestSabotageIsSeen(t *testing.T) {
	binary := buildBinary(t)
	cases := map[string]string{
		sabotageTwice: "runs at most once",
		sabotageLie:   "not run is true",
		sabotageSwap:  "whole answer to its own request",
		sabotageCut:   "no request in flight is cut off",
	}
	for kind, invariant := range cases {
		t.Run(kind, func(t *testing.T) {
			o := shortRun(t, binary)
			o.seed = 1
			o.duration = time.Second
			o.sabotage = kind
			breaches, err := run(o)
			require.NoError(t, err)
			require.NotEmpty(t, breaches)
			for _, b := range breaches {
				require.Equal(t, invariant, b.Invariant, b.String())
			}
		})
	}
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary, err := fleet.Build(t.TempDir())
	require.NoError(t, err)
	return binary
}

func shortRun(t *testing.T, binary string) options {
	t.Helper()
	return options{binary: binary, dir: t.TempDir(), duration: 6 * time.Second, entries: 5, targets: 8, out: t.Output()}
}
