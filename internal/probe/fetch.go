package probe

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

const (
	// fetchTimeout bounds a probe.
	fetchTimeout = 100 * time.Millisecond
	// idleLimit is how long a connection for probes is kept.
	idleLimit = 30 * time.Second
	// connectionsPerTarget bounds the connections for probes to one target.
	connectionsPerTarget = 1
)

// StatusError reports a probe that the target answered with another status than
// 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("probe: status %d", e.Status) }

// MalformedError reports a load report that can't be read.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string { return fmt.Sprintf("probe: load report: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Client asks targets for load reports. It is safe for concurrent use.
type Client struct{ http *fasthttp.Client }

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxConnsPerHost:           connectionsPerTarget,
		MaxIdleConnDuration:       idleLimit,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Fetch asks a target ("ip:port") for its load report. Size is the number of
// bytes that the probe and its answer took, as far as they got. Errors are
// *StatusError, *MalformedError and those of the connection.
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
