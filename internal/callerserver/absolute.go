package callerserver

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

var (
	schemeEnd = []byte("://")
	rootPath  = []byte("/")
	// schemes are those of the absolute form that are accepted.
	schemes = [][]byte{[]byte("http"), []byte("https")}
)

// userinfoEnd separates the user information from the host of an authority.
const userinfoEnd = '@'

// useOriginForm rewrites a request target in absolute form ("http://host/path") to the origin
// form ("/path"). The authority replaces the Host header, as RFC 9112, section 3.2.2, requires.
// It leaves a target with user information, of which RFC 9110, section 4.2.4, warns, so that it
// matches no route.
func useOriginForm(header *fasthttp.RequestHeader) {
	target := header.RequestURI()
	if len(target) == 0 || target[0] == '/' {
		return
	}
	scheme, rest, found := bytes.Cut(target, schemeEnd)
	if !found || !isHTTP(scheme) {
		return
	}
	end := bytes.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	authority := rest[:end]
	if len(authority) == 0 || bytes.IndexByte(authority, userinfoEnd) >= 0 {
		return
	}
	header.SetHostBytes(authority)
	path := bytes.Clone(rest[end:])
	if len(path) == 0 || path[0] != '/' {
		path = append(bytes.Clone(rootPath), path...)
	}
	header.SetRequestURIBytes(path)
}

func isHTTP(scheme []byte) bool {
	for _, accepted := range schemes {
		if bytes.EqualFold(scheme, accepted) {
			return true
		}
	}
	return false
}
