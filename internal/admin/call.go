package admin

import (
	"context"
	"errors"
	"io"
	"net"
	"regexp"
	"strconv"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

const (
	// drainBytes bounds what is read and dropped of a body that is too large, so
	// that its sender gets to read the answer.
	drainBytes = 8 << 20
	// uuidLength is the length of a UUID in its usual form.
	uuidLength = 36
)

// operatorName is what adminapi.HeaderOperator may hold.
var operatorName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9 ._@+-]{0,63}$`)

// call is one request.
type call struct {
	ctx *fasthttp.RequestCtx
	// template is the path with its names in braces, for metrics.
	template string
	// names are the values of the names in the template.
	names  []string
	action action
	// who is nil until the request is authenticated.
	who      *identity
	body     []byte
	operator string
	// requestID is set for changes.
	requestID string
	// audited are further fields of the audit line.
	audited map[string]any
}

func (c *call) header(name string) string { return string(c.ctx.Request.Header.Peek(name)) }

// note adds a field to the audit line.
func (c *call) note(field string, value any) {
	if c.audited == nil {
		c.audited = map[string]any{}
	}
	c.audited[field] = value
}

// readHeaders takes what goes into the audit log. The error is a
// *strictjson.InvalidError.
func (c *call) readHeaders() error {
	operator := c.header(adminapi.HeaderOperator)
	if operator != "" && !operatorName.MatchString(operator) {
		return strictjson.Invalid(adminapi.HeaderOperator, "must have 1 to 64 letters, digits, spaces and . _ @ + -, with a letter or digit first")
	}
	c.operator = operator
	if c.action.changes == "" {
		return nil
	}
	id := c.header(adminapi.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	if parsed, err := uuid.Parse(id); err != nil || len(id) != uuidLength {
		return strictjson.Invalid(adminapi.HeaderRequestID, "must be a UUID")
	} else {
		c.requestID = parsed.String()
	}
	return nil
}

// by names who makes a change, for the history.
func (c *call) by() string {
	if c.operator == "" {
		return c.who.name()
	}
	return c.who.name() + "/" + c.operator
}

// readBody reads the body. Errors are *BodyTooLargeError, *TooSlowError and
// *strictjson.InvalidError.
func (c *call) readBody() error {
	stream := c.ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	if length := c.ctx.Request.Header.ContentLength(); length > bodyBytes {
		drain(stream)
		return &BodyTooLargeError{}
	}
	body, err := io.ReadAll(io.LimitReader(stream, bodyBytes+1))
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return &TooSlowError{}
	case err != nil:
		return strictjson.Invalid("", "the body ends too early")
	case len(body) > bodyBytes:
		drain(stream)
		return &BodyTooLargeError{}
	}
	c.body = body
	return nil
}

func drain(stream io.Reader) { _, _ = io.CopyN(io.Discard, stream, drainBytes) }

// decode decodes the body and checks it. The error is a *strictjson.InvalidError.
func (c *call) decode(value any) error { return strictjson.Unmarshal(c.body, value) }

// ifMatch returns the number that adminapi.HeaderIfMatch names. Errors are
// *ConditionError and *strictjson.InvalidError.
func (c *call) ifMatch() (uint64, error) {
	tag := c.header(adminapi.HeaderIfMatch)
	if tag == "" {
		return 0, &ConditionError{}
	}
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, strictjson.Invalid(adminapi.HeaderIfMatch, `must be one quoted number, for example "7"`)
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, strictjson.Invalid(adminapi.HeaderIfMatch, `must be one quoted number, for example "7"`)
	}
	return number, nil
}

// etag returns the entity tag of a number.
func etag(number uint64) string { return platform.FormatVersion(platform.Version(number)) }

// bodyWeight returns what the body counts among those under way, in bytes. The length
// of a chunked one isn't known. One that is too large is not kept.
func (c *call) bodyWeight() int64 {
	length := c.ctx.Request.Header.ContentLength()
	switch {
	case length < 0:
		return bodyBytes
	case length > bodyBytes:
		return minBodyBytes
	}
	return int64(max(length, minBodyBytes))
}

// beginBody waits until the body may be read. The error is a *BusyError.
func (s *Server) beginBody(weight int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), bodyWait)
	defer cancel()
	if s.bodies.Acquire(ctx, weight) != nil {
		return &BusyError{}
	}
	return nil
}
