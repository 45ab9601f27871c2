package segments

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
)

// A body must hold what arrived however it was cut, and take up at most twice its size.
func TestBodyHoldsWhatArrivesInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 1000).Draw(t, "content")
		content = bytes.Repeat(content, rapid.IntRange(1, 300).Draw(t, "copies"))
		announced := rapid.Bool().Draw(t, "announced")
		budget := bytebudget.New(0)
		body := New(budget)
		rest := content
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			expected := 1 << 30
			if announced {
				expected = len(rest)
			}
			body.Append(rest[:n], expected)
			rest = rest[n:]
			require.LessOrEqual(t, body.Held(), max(2*body.Len(), minSegmentBytes))
			require.EqualValues(t, body.Held(), budget.Held()["arriving"])
		}
		if announced {
			require.Equal(t, len(content), body.Held())
		}
		body.Complete()
		require.Equal(t, len(content), body.Len())
		require.True(t, bytes.Equal(content, body.Bytes()))
		require.True(t, body.Retain())
		body.Release()
		require.EqualValues(t, body.Held(), budget.Held()["bodies"])
		body.Release()
		require.Zero(t, budget.Held()["bodies"])
		require.False(t, body.Retain(), "a dropped body must not be sent")
	})
}
