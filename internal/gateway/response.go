package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// Reasons for refusing a request before it is passed to a pool.
const (
	reasonNotReady = "not_ready"
	reasonNoRoute  = "no_route"
	reasonDraining = "leaving"
	// reasonOverQuota means that the workspace has used up its quota.
	reasonOverQuota = "over_quota"
)

const (
	// notReadyRetryAfter is the Retry-After of a daemon without configuration.
	notReadyRetryAfter = 300 * time.Millisecond
	// drainingRetryAfter is the Retry-After of a draining daemon. It is short because
	// callers retry at another daemon.
	drainingRetryAfter = 50 * time.Millisecond
	// suspectedRetryAfter is the Retry-After of a request whose content is suspected of
	// crashing targets. It outlasts the check of a target and a broadcast.
	suspectedRetryAfter = 150 * time.Millisecond
)

// retryAfterFor returns the Retry-After of a request that is refused for the given reason,
// or 0 for none.
func retryAfterFor(reason string) time.Duration {
	switch reason {
	case reasonDraining:
		return drainingRetryAfter
	case reasonNotReady:
		return notReadyRetryAfter
	case string(placement.ReasonSuspected):
		return suspectedRetryAfter
	}
	return 0
}

// newErrorResponse returns a response to a request that the daemon generates itself.
func newErrorResponse(request *fasthttp.Request, status int, reason string) *fasthttp.Response {
	response := &fasthttp.Response{SkipBody: request.Header.IsHead()}
	response.SetStatusCode(status)
	response.Header.SetContentType("text/plain")
	response.SetBodyString(reason + "\n")
	return response
}

// setRetryAfter sets the Retry-After header, in seconds with three decimals. Durations that
// aren't positive set no header.
func setRetryAfter(response *fasthttp.Response, after time.Duration) {
	if after <= 0 {
		return
	}
	response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	fasthttp.HeaderConnection,
	fasthttp.HeaderKeepAlive,
	fasthttp.HeaderProxyConnection,
	fasthttp.HeaderTE,
	fasthttp.HeaderUpgrade,
	fasthttp.HeaderTransferEncoding,
}

// headers is the header of a request or response.
type headers interface {
	Peek(name string) []byte
	Del(name string)
	ResetConnectionClose()
}

// stripHopHeaders removes the hop-by-hop headers, including those that the Connection
// header names.
func stripHopHeaders(h headers) {
	for _, name := range connectionOptions(h.Peek(fasthttp.HeaderConnection)) {
		h.Del(name)
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.ResetConnectionClose()
}

// connectionOptions returns the names of headers that a Connection header lists.
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
