package adminapi

import "fmt"

// Code classifies an error. It never changes its meaning.
type Code string

// Codes and their HTTP statuses.
const (
	// CodeInvalid (400): the body, a query argument or a header is wrong; Fields
	// says where.
	CodeInvalid Code = "invalid"
	// CodeUnauthenticated (401): no token, or one that is not known.
	CodeUnauthenticated Code = "unauthenticated"
	// CodeForbidden (403): the token's team may not do this.
	CodeForbidden Code = "forbidden"
	// CodeNotFound (404): no such path, service, team, token or content. What
	// belongs to another team is not found either.
	CodeNotFound Code = "not_found"
	// CodeMethod (405): the path doesn't take the method.
	CodeMethod Code = "method_not_allowed"
	// CodeTooSlow (408): the request took too long to arrive.
	CodeTooSlow Code = "too_slow"
	// CodeConflict (409): the state forbids the change, for example the removal of a
	// team that has services, or HeaderIfNoneMatch for a team that exists.
	CodeConflict Code = "conflict"
	// CodeStale (412): another change came first. For an acceptance, Current is the
	// revision in force and Changes lists what was accepted since; services of other
	// teams that the change doesn't touch are left out.
	CodeStale Code = "stale_revision"
	// CodeTooLarge (413): the body is larger than the API takes.
	CodeTooLarge Code = "too_large"
	// CodeLimit (422): the change would pass a limit of the team.
	CodeLimit Code = "limit_exceeded"
	// CodeCondition (428): HeaderIfMatch or HeaderIfNoneMatch is missing.
	CodeCondition Code = "condition_required"
	// CodeRate (429): the team sends too many requests; HeaderRetryAfter is set.
	CodeRate Code = "rate_limited"
	// CodeInternal (500): a fault of the program.
	CodeInternal Code = "internal"
	// CodeUnsure (502): the change may or may not have taken effect. Send it again
	// with the same HeaderRequestID, or read the configuration.
	CodeUnsure Code = "unsure"
	// CodePlatform (503): the platform doesn't answer; nothing was changed.
	CodePlatform Code = "platform_unavailable"
	// CodeBusy (503): the daemon has too many API requests under way, or has just
	// started and lacks most of the newest configuration; nothing was changed, and
	// HeaderRetryAfter is set.
	CodeBusy Code = "busy"
)

// Field is one problem of a body.
type Field struct {
	// Path names the field, for example "services[0].slots_per_server".
	Path string `json:"path"`
	// Problem says what would be right.
	Problem string `json:"problem"`
}

// Error is the body of every answer with a status of 400 or above.
type Error struct {
	// Status is the HTTP status.
	Status  int     `json:"status"`
	Code    Code    `json:"code"`
	Message string  `json:"message"`
	Fields  []Field `json:"fields,omitempty"`
	// Current is the revision in force, with CodeStale.
	Current uint64 `json:"current_revision,omitempty"`
	// Changes lists the services that were accepted since the base, with CodeStale.
	Changes []ChangedService `json:"changes,omitempty"`
}

// ChangedService is a service that another operator changed.
type ChangedService struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision,omitempty"`
	By       string `json:"by,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Message)
	for _, field := range e.Fields {
		text += fmt.Sprintf("; %s: %s", field.Path, field.Problem)
	}
	return text
}
