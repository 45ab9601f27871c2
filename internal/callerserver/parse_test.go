package callerserver

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var testLimits = Limits{HeaderBytes: 512, BodyBytes: 64}

func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		input  string
		reason string
		// size is the size of the request, 0 if it isn't known yet.
		size int
	}{
		"whole":               {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", "", 50},
		"pipelined":           {"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n", "", 28},
		"HTTP/1.0":            {"GET /a HTTP/1.0\r\n\r\n", "", 19},
		"nothing":             {"", "", 0},
		"header in part":      {"POST /a HTTP/1.1\r\nHost", "", 0},
		"body in part":        {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab", "", 51},
		"garbage":             {"\x00\x01\x02\x03\r\n\r\n", "malformed_header", 0},
		"TLS":                 {"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", "malformed_header", 0},
		"only line ends":      {"\r\n\r\n", "malformed_header", 0},
		"no version":          {"GET /a\r\n\r\n", "malformed_header", 0},
		"space in name":       {"GET /a HTTP/1.1\r\nHost : h\r\n\r\n", "malformed_header", 0},
		"negative length":     {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", "malformed_header", 0},
		"length not a number": {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2x\r\n\r\n", "malformed_header", 0},
		"two lengths":         {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "malformed_header", 0},
		"overflowing length":  {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n", "malformed_header", 0},
		"two headers in one":  {"GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", "malformed_header", 0},
		"chunked":             {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "length_required", 0},
		"chunked and length":  {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab", "length_required", 0},
		"body too large":      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", "body_too_large", 0},
		"header too large":    {"GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 512) + "\r\n\r\n", "header_too_large", 0},
		"endless header":      {strings.Repeat("x", 513), "header_too_large", 0},
		"expectation":         {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n", "expectation_failed", 0},
		"HEAD":                {"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n", "method_not_supported", 0},
		"CONNECT":             {"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", "method_not_supported", 0},
	} {
		t.Run(name, func(t *testing.T) {
			request, size, err := parse([]byte(c.input), testLimits)
			if c.reason != "" {
				var parseErr *ParseError
				require.ErrorAs(t, err, &parseErr)
				require.Equal(t, c.reason, parseErr.Reason)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.size, size)
			require.Equal(t, c.size > 0 && c.size <= len(c.input), request != nil)
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nabGET /b HTTP/1.1\r\n\r\n",
		"GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\r\n\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
		"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"\x16\x03\x01",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		request, size, err := parse(data, testLimits)
		if err != nil {
			var parseErr *ParseError
			if !errors.As(err, &parseErr) || request != nil || parseErr.Status < 400 || parseErr.Error() == "" {
				t.Fatalf("parse returned error %v and request %v", err, request)
			}
			return
		}
		if request == nil {
			longest := testLimits.HeaderBytes + testLimits.BodyBytes
			if (size != 0 && size <= len(data)) || size > longest || len(data) > longest {
				t.Fatalf("%d bytes are an incomplete request of size %d", len(data), size)
			}
			return
		}
		if size <= 0 || size > len(data) || len(request.Body()) > testLimits.BodyBytes {
			t.Fatalf("parsed size %d of %d bytes, body of %d bytes", size, len(data), len(request.Body()))
		}
		// The bytes after a request must not affect how it is parsed.
		again, sameSize, err := parse(data[:size], testLimits)
		if err != nil || again == nil || sameSize != size {
			t.Fatalf("request without the bytes after it: size %d, error %v", sameSize, err)
		}
	})
}

// A chunked upload that arrives in two pieces is incomplete, never malformed, wherever it is cut.
func TestChunkedRequestIsReadAtEveryCut(t *testing.T) {
	limits := testLimits
	limits.AnyRequest = true
	const input = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"5;name=\"v\"\r\nhello\r\nA\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n"
	for cut := range len(input) {
		request, size, err := parse([]byte(input[:cut]), limits)
		require.NoError(t, err, "cut at %d", cut)
		require.Nil(t, request, "cut at %d", cut)
		require.True(t, size == 0 || size > cut, "cut at %d", cut)
		require.LessOrEqual(t, size, len(input), "cut at %d", cut)
	}
	request, size, err := parse([]byte(input+"GET /b"), limits)
	require.NoError(t, err)
	require.Equal(t, len(input), size)
	require.Equal(t, "hello0123456789", string(request.Body()))
}
