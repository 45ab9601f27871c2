package callerserver

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// requireProperInPieces requires that no beginning of a valid request is rejected.
func requireProperInPieces(t *testing.T, request string, limits Limits) {
	t.Helper()
	for end := range len(request) + 1 {
		parsed, _, err := parse([]byte(request[:end]), limits)
		require.NoError(t, err, "after %d of %d bytes", end, len(request))
		require.Equal(t, end == len(request), parsed != nil)
	}
}

func TestPartOfChunkedBodyIsNotTooLargeUnderAnyLimits(t *testing.T) {
	const header = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		body        string
		headerBytes int
		bodyBytes   int
	}{
		"largest body limit":        {"2\r\nab\r\n0\r\n\r\n", 512, math.MaxInt},
		"body limit that overflows": {"2\r\nab\r\n0\r\n\r\n", 512, math.MaxInt/8 + 1},
		"empty body, full header":   {"0\r\n\r\n", len(header), 0},
		"small body with trailers":  {"1;n=\"v\"\r\na\r\n0\r\nX-Sum: 1234567890\r\n\r\n", len(header), 1},
		"long extensions":           {"1;n=" + strings.Repeat("v", 900) + "\r\na\r\n0\r\n\r\n", 512, 16},
	} {
		t.Run(name, func(t *testing.T) {
			requireProperInPieces(t, header+c.body, Limits{HeaderBytes: c.headerBytes, BodyBytes: c.bodyBytes, AnyRequest: true})
		})
	}
}
