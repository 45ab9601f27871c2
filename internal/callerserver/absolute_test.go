package callerserver

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAbsoluteFormIsServedAsOriginForm(t *testing.T) {
	for target, want := range map[string]struct{ host, uri string }{
		"/a?b":                   {"h", "/a?b"},
		"http://x.example/a?b":   {"x.example", "/a?b"},
		"HTTPS://x.example:81/a": {"x.example:81", "/a"},
		"http://x.example":       {"x.example", "/"},
		"http://x.example?b=/":   {"x.example", "/?b=/"},
		"http:///a":              {"h", "http:///a"},
		"ftp://x.example/a":      {"h", "ftp://x.example/a"},
		"http://h:x@y.example/a": {"h", "http://h:x@y.example/a"},
	} {
		limits := testLimits
		limits.AnyRequest = true
		request, _, err := parse([]byte("GET "+target+" HTTP/1.1\r\nHost: h\r\n\r\n"), limits)
		require.NoError(t, err, target)
		require.Equal(t, want.host, string(request.Header.Host()), target)
		require.Equal(t, want.uri, string(request.Header.RequestURI()), target)
	}
}
