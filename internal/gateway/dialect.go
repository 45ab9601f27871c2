package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/placement"
)

// Dialect is how callers and targets of a deployment speak: the headers beside
// those of HTTP. Its methods must not keep their arguments.
type Dialect interface {
	// Remaining returns how long the caller of a request waits; false if it doesn't
	// say.
	Remaining(request *fasthttp.Request) (time.Duration, bool)
	// RequestID returns what identifies a request in logs.
	RequestID(request *fasthttp.Request) []byte
	// Prepare sets the headers of a request that is sent to a target, which may work
	// on it for a time.
	Prepare(request *fasthttp.Request, target string, remaining time.Duration)
	// Match reports whether a response answers a request, which may be a probe.
	Match(request *fasthttp.Request, response *fasthttp.Response) error
	// Classify says what a target's answer means.
	Classify(response *fasthttp.Response) Meaning
	// ProbeAnswer says what a target's answer to a probe means.
	ProbeAnswer(response *fasthttp.Response) ProbeMeaning
}

// Meaning is what a target's answer means.
type Meaning struct {
	// Genuine answers come from the target's own work. Others aren't passed on.
	Genuine bool
	// NotRun is set if the target has not begun the request and won't.
	NotRun bool
	// Misplaced is set if another target has the address. It implies NotRun.
	Misplaced bool
	// Report is the target's load, nil if it doesn't tell.
	Report *placement.Report
}

// ProbeMeaning is what a target's answer to a probe means.
type ProbeMeaning struct {
	// Target is the ID of the target that answered, empty if it doesn't tell.
	Target string
	// Healthy is set while the target takes requests.
	Healthy bool
	// Report is the target's load, nil if it doesn't tell.
	Report *placement.Report
}

// isOf reports whether the answer can be that of a target.
func (m ProbeMeaning) isOf(target *placement.Target) bool {
	return m.Target == "" || m.Target == target.ID
}
