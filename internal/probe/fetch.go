package probe

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/targetclient"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// timeout bounds one probe.
const timeout = 100 * time.Millisecond

// StatusError reports a probe answered with a failure.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("probe: status %d", e.Status) }

// MalformedError reports a load report that can't be read.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string { return fmt.Sprintf("probe: load report: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Fetch asks the target at address ("ip:port") for its load and returns the
// bytes of request and answer, headers included. Errors are *StatusError,
// *MalformedError and those of targetclient.
func Fetch(client *targetclient.Client, address string) (wire.LoadReport, int, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodGet)
	request.SetRequestURI("http://" + address + wire.PathLoad)
	var report wire.LoadReport
	response, err := client.Do(&targetclient.Attempt{}, address, time.Now().Add(timeout), request)
	size := len(request.Header.Header())
	if err != nil {
		return report, size, err
	}
	defer fasthttp.ReleaseResponse(response)
	size += len(response.Header.Header()) + len(response.Body())
	if response.StatusCode() != fasthttp.StatusOK {
		return report, size, &StatusError{Status: response.StatusCode()}
	}
	if err := json.Unmarshal(response.Body(), &report); err != nil {
		return report, size, &MalformedError{Cause: err}
	}
	return report, size, nil
}
