package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// Dialect implements the headers that the callers and targets of a deployment use in
// addition to those of HTTP. Its methods must not retain their arguments.
type Dialect interface {
	// CallerTimeout returns how long the caller of a request waits for the response, and
	// false if the request doesn't tell.
	CallerTimeout(request *fasthttp.Request) (time.Duration, bool)
	// RequestID returns the ID of a request for logs.
	RequestID(request *fasthttp.Request) []byte
	// CallerKey returns the key that a request carries, and false if it carries none. The key is
	// valid until the request is changed.
	CallerKey(request *fasthttp.Request) (key []byte, present bool)
	// Challenge returns the authentication scheme that callers without a key are told to use.
	Challenge() string
	// SetWorkspace tells the target the name of the workspace whose request it gets, or "" for
	// an anonymous one. It removes the key and a name that the caller has set.
	SetWorkspace(request *fasthttp.Request, name string)
	// SetTargetHeaders sets the headers of a request to a target, among them the remaining
	// time until the deadline.
	SetTargetHeaders(request *fasthttp.Request, target string, remaining time.Duration)
	// Match returns an error if a response doesn't belong to a request, which may be a
	// health check.
	Match(request *fasthttp.Request, response *fasthttp.Response) error
	// Classify returns the information that a target's response carries.
	Classify(response *fasthttp.Response) ResponseInfo
	// ClassifyProbe returns the information that the response to a health check carries.
	ClassifyProbe(response *fasthttp.Response) ProbeInfo
}

// ResponseInfo is the information that a target's response to a request carries.
type ResponseInfo struct {
	// Genuine is set if the target produced the response by executing the request. Other
	// responses are not forwarded.
	Genuine bool
	// NotRun is set if the target has not started to execute the request and won't.
	NotRun bool
	// WrongTarget is set if the address now belongs to another target. It implies NotRun.
	WrongTarget bool
	// Report is the target's load report, nil without one.
	Report *placement.Report
	// Announcement is what the target announces about the requests that it wants.
	Announcement placement.Announcement
}

// ProbeInfo is the information that the response to a health check carries.
type ProbeInfo struct {
	// Target is the ID of the responding target, empty if it is not given.
	Target string
	// Healthy is set if the target accepts requests.
	Healthy bool
	// Report is the target's load report, nil without one.
	Report *placement.Report
	// Announcement is what the target announces about the requests that it wants.
	Announcement placement.Announcement
	// ColdFor is the remaining time for which the target is cold. TellsCold is set if the
	// response tells it.
	ColdFor   time.Duration
	TellsCold bool
}

// mayBeFrom reports whether the response may have come from the given target.
func (m ProbeInfo) mayBeFrom(target *placement.Target) bool {
	return m.Target == "" || m.Target == target.ID
}
