package fingerprint

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPartBoundariesChangeTheFingerprint(t *testing.T) {
	require.Equal(t, Of([]byte("ab"), []byte("c")), Of([]byte("ab"), []byte("c")))
	require.NotEqual(t, Of([]byte("ab"), []byte("c")), Of([]byte("a"), []byte("bc")))
	require.NotEqual(t, Of([]byte("a")), Of([]byte("a"), nil))
}
