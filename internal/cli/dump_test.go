package cli

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/responsehead/responseheadtest"
)

// A response with an invalid head is not printed as a daemon's state.
func TestDumpWithInvalidHeadFails(t *testing.T) {
	for head, expected := range map[string]int{"200 OK\r\nX-Odd: 1": ExitOK, "200 OK\r\nX Odd: 1": ExitFailure, "000 OK": ExitFailure} {
		address := responseheadtest.Serve(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", head))
		result := poplarwheel(t, "", "dump", "--admin", address)
		require.Equal(t, expected, result.code, "%s: %s", head, result.stderr)
	}
}
