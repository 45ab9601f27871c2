package gateway

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// SetHeader sets a header of a request to a target, whatever values the caller has given it.
func SetHeader(header *fasthttp.RequestHeader, name, value string) {
	RemoveHeader(header, name)
	header.Set(name, value)
}

// RemoveHeader removes all values of a header, also those that arrived as a trailer.
func RemoveHeader(header *fasthttp.RequestHeader, name string) {
	header.Del(name)
	unannounceTrailer(header, name)
}

// unannounceTrailer removes a name from the Trailer header of a request. fasthttp takes a header of
// such a name for a trailer when it is set, and trailers are not sent to targets.
func unannounceTrailer(header *fasthttp.RequestHeader, name string) {
	announced := header.Peek(fasthttp.HeaderTrailer)
	if len(announced) == 0 {
		return
	}
	var kept []string
	for trailer := range strings.SplitSeq(string(announced), ",") {
		if trailer = strings.TrimSpace(trailer); !strings.EqualFold(trailer, name) {
			kept = append(kept, trailer)
		}
	}
	// The names were valid when the header was parsed.
	_ = header.SetTrailer(strings.Join(kept, ","))
}
