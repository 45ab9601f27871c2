package probe

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/responsehead"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

const (
	// fetchTimeout bounds a probe.
	fetchTimeout = 100 * time.Millisecond
	// idleTimeout is how long an idle connection for probes is kept open.
	idleTimeout = 30 * time.Second
	// connectionsPerTarget limits the connections for probes to one target.
	connectionsPerTarget = 1
)

// StatusError reports a probe to which the target responded with a status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("probe: unexpected status %d", e.Status) }

// MalformedError reports a load report that can't be decoded.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string { return fmt.Sprintf("probe: load report: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Client fetches load reports from targets. It is safe for concurrent use.
type Client struct{ http *fasthttp.Client }

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		DialTimeout:               responsehead.DialTimeout,
		MaxConnsPerHost:           connectionsPerTarget,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Fetch fetches the load report of a target ("ip:port"). Size is the number of bytes of
// the request and, if there is one, the response. Errors are *StatusError,
// *MalformedError and those of the connection.
func (c *Client) Fetch(address string) (report wire.LoadReport, size int, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + wire.PathLoad)
	err = c.http.DoTimeout(request, response, fetchTimeout)
	size = len(request.Header.Header())
	if err != nil {
		return wire.LoadReport{}, size, err
	}
	size += len(response.Header.Header()) + len(response.Body())
	if response.StatusCode() != fasthttp.StatusOK {
		return wire.LoadReport{}, size, &StatusError{Status: response.StatusCode()}
	}
	if err := json.Unmarshal(response.Body(), &report); err != nil {
		return wire.LoadReport{}, size, &MalformedError{Cause: err}
	}
	return report, size, nil
}
