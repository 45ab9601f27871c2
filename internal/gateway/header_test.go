package gateway

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a second value that the caller has given, and against a header that fasthttp keeps
// back as a trailer.
func TestSetHeaderReplacesWhatTheCallerSent(t *testing.T) {
	for name, lines := range map[string]string{
		"absent":   "",
		"once":     "name: forged\r\n",
		"twice":    "Name: forged\r\nNAME: forged\r\n",
		"trailer":  "Trailer: X-A, name, X-B\r\n",
		"trailers": "Trailer: name\r\nName: forged\r\nTrailer: NAME\r\n",
	} {
		var header fasthttp.RequestHeader
		request := "GET / HTTP/1.1\r\nHost: h\r\nX-A: kept\r\n" + lines + "\r\n"
		require.NoError(t, header.Read(bufio.NewReader(strings.NewReader(request))), name)
		SetHeader(&header, "Name", "a\r\nb")
		written := header.String()
		require.Contains(t, written, "\r\nName: a  b\r\n", name)
		require.Contains(t, written, "\r\nX-A: kept\r\n", name)
		require.NotContains(t, written, "forged", name)
		RemoveHeader(&header, "Name")
		require.NotContains(t, header.String(), "Name:", name)
	}
}
