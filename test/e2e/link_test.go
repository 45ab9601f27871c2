package e2e

import (
	"debug/elf"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBinaryLinksTheCLibrary: programs are linked to the C library as usual.
func TestBinaryLinksTheCLibrary(t *testing.T) {
	file, err := elf.Open(binary)
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	linked := false
	for _, library := range libraries {
		linked = linked || strings.HasPrefix(library, "libc.so")
	}
	require.True(t, linked, "linked to %v", libraries)
}
