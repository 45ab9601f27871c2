package admin

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// failed returns an error without details.
func failed(status int, code adminapi.Code, message string) *adminapi.Error {
	return &adminapi.Error{Status: status, Code: code, Message: message}
}

// codeOf returns the code of a failure, or "".
func codeOf(failure *adminapi.Error) string {
	if failure == nil {
		return ""
	}
	return string(failure.Code)
}

// failure returns what the client is told of an error. Faults of the program and of
// stored objects are logged and not told.
func (s *Server) failure(c *call, err error) *adminapi.Error {
	if err == nil {
		return nil
	}
	for _, describe := range []func(error) *adminapi.Error{describeDetailed, describeRequest, describeState, describePlatform} {
		if described := describe(err); described != nil {
			return described
		}
	}
	s.options.Log.WithError(err).WithField("path", c.template).Error("administration API failed")
	return failed(fasthttp.StatusInternalServerError, adminapi.CodeInternal, "fault of the program; see the daemon's log")
}

// describeDetailed describes errors that have more than a message.
func describeDetailed(err error) *adminapi.Error {
	var (
		ready   *adminapi.Error
		invalid *strictjson.InvalidError
	)
	switch {
	case errors.As(err, &ready):
		return ready
	case errors.As(err, &invalid):
		described := failed(fasthttp.StatusBadRequest, adminapi.CodeInvalid, "the request is not valid")
		for _, field := range invalid.Fields {
			described.Fields = append(described.Fields, adminapi.Field{Path: field.Path, Problem: field.Problem})
		}
		return described
	}
	return nil
}

// is reports whether err is of type T.
func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// describeRequest describes what is wrong with the request itself.
func describeRequest(err error) *adminapi.Error {
	switch {
	case is[*UnauthenticatedError](err):
		return failed(fasthttp.StatusUnauthorized, adminapi.CodeUnauthenticated, err.Error())
	case is[*ForbiddenError](err):
		return failed(fasthttp.StatusForbidden, adminapi.CodeForbidden, err.Error())
	case is[*MissingError](err):
		return failed(fasthttp.StatusNotFound, adminapi.CodeNotFound, err.Error())
	case is[*MethodError](err):
		return failed(fasthttp.StatusMethodNotAllowed, adminapi.CodeMethod, err.Error())
	case is[*TooSlowError](err):
		return failed(fasthttp.StatusRequestTimeout, adminapi.CodeTooSlow, err.Error())
	case is[*BodyTooLargeError](err):
		return failed(fasthttp.StatusRequestEntityTooLarge, adminapi.CodeTooLarge, err.Error())
	case is[*ConditionError](err):
		return failed(fasthttp.StatusPreconditionRequired, adminapi.CodeCondition, err.Error())
	}
	return nil
}

// describeState describes what the state or the limits forbid.
func describeState(err error) *adminapi.Error {
	switch {
	case is[*ExistsError](err), is[*HasServicesError](err):
		return failed(fasthttp.StatusConflict, adminapi.CodeConflict, err.Error())
	case is[*VersionError](err):
		return failed(fasthttp.StatusPreconditionFailed, adminapi.CodeStale, err.Error())
	case is[*LimitError](err), is[*FullError](err):
		return failed(fasthttp.StatusUnprocessableEntity, adminapi.CodeLimit, err.Error())
	case is[*RateError](err):
		return failed(fasthttp.StatusTooManyRequests, adminapi.CodeRate, err.Error())
	case is[*BusyError](err):
		return failed(fasthttp.StatusServiceUnavailable, adminapi.CodeBusy, err.Error())
	case is[*rollout.BehindError](err):
		return failed(fasthttp.StatusServiceUnavailable, adminapi.CodeBusy, "this daemon is still reading the newest configuration; nothing was changed")
	}
	return nil
}

// describePlatform describes failures of the platform. A conflict that is left after
// retries means that nothing was changed.
func describePlatform(err error) *adminapi.Error {
	switch {
	case is[*rollout.UnsureError](err), is[*UnsureError](err):
		return failed(fasthttp.StatusBadGateway, adminapi.CodeUnsure, "the change may or may not have taken effect; send it again with the same Request-Id, or read the state")
	case is[*platform.TooLargeError](err):
		return failed(fasthttp.StatusRequestEntityTooLarge, adminapi.CodeTooLarge, "the platform doesn't store objects of this size")
	case is[*platform.UnavailableError](err), is[*platform.ConflictError](err):
		return failed(fasthttp.StatusServiceUnavailable, adminapi.CodePlatform, "the platform doesn't answer; nothing was changed")
	}
	return nil
}

// busyRetry is what a client is told to wait if the server or the platform is busy.
const busyRetry = 2 * time.Second

// retryAfter returns the time after which a request may be tried again, or 0.
func retryAfter(err error) time.Duration {
	var limited *RateError
	if errors.As(err, &limited) {
		return limited.Wait
	}
	unsure := is[*rollout.UnsureError](err) || is[*UnsureError](err)
	if is[*BusyError](err) || is[*rollout.BehindError](err) || is[*platform.UnavailableError](err) && !unsure {
		return busyRetry
	}
	return 0
}
