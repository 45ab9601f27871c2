package backoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDelayStaysWithinBoundsAndResets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		b := Backoff{Base: 100 * time.Millisecond, Max: 4 * time.Second}
		for range rapid.IntRange(1, 100).Draw(t, "failures") {
			delay := b.Next(rng)
			require.GreaterOrEqual(t, delay, b.Base/2)
			require.LessOrEqual(t, delay, b.Max)
		}
		b.Reset()
		require.LessOrEqual(t, b.Next(rng), b.Base)
	})
}
