package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Codes of answers to requests that aren't placed.
const (
	reasonNotReady = "not_ready"
	reasonNoRoute  = "no_route"
	reasonLeaving  = "leaving"
)

const (
	// notReadyRetryAfter is when callers of a daemon without configuration come back.
	notReadyRetryAfter = 300 * time.Millisecond
	// leavingRetryAfter is when those of a daemon that ends do, by then to another one.
	leavingRetryAfter = 50 * time.Millisecond
)

// retryAfterOf returns when callers come back whose request was not placed; 0 says
// nothing.
func retryAfterOf(reason string) time.Duration {
	switch reason {
	case reasonLeaving:
		return leavingRetryAfter
	case reasonNotReady:
		return notReadyRetryAfter
	}
	return 0
}

// failure returns an answer of the daemon's own.
func failure(status int, reason string) *fasthttp.Response {
	response := &fasthttp.Response{}
	response.SetStatusCode(status)
	response.Header.SetContentType("text/plain")
	response.SetBodyString(reason + "\n")
	return response
}

// setRetryAfter says when the caller may come back, in seconds with fractions.
func setRetryAfter(response *fasthttp.Response, after time.Duration) {
	if after <= 0 {
		return
	}
	response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// hopHeaders concern one connection and aren't passed on.
var hopHeaders = []string{
	fasthttp.HeaderConnection,
	fasthttp.HeaderKeepAlive,
	fasthttp.HeaderProxyConnection,
	fasthttp.HeaderTE,
	fasthttp.HeaderUpgrade,
	fasthttp.HeaderTransferEncoding,
}

// headers is a codec's message header.
type headers interface {
	Peek(name string) []byte
	Del(name string)
	ResetConnectionClose()
}

// stripHopHeaders removes what concerns one connection, what the Connection header
// names included.
func stripHopHeaders(h headers) {
	for _, name := range connectionOptions(h.Peek(fasthttp.HeaderConnection)) {
		h.Del(name)
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.ResetConnectionClose()
}

// connectionOptions returns the header names that a Connection header lists.
func connectionOptions(value []byte) []string {
	if len(value) == 0 {
		return nil
	}
	var names []string
	for part := range strings.SplitSeq(string(value), ",") {
		name := strings.TrimSpace(part)
		if name != "" && !strings.EqualFold(name, "close") && !strings.EqualFold(name, "keep-alive") {
			names = append(names, name)
		}
	}
	return names
}
