package admin

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
)

const (
	contentJSON = "application/json"
	contentText = "text/plain; charset=utf-8"
)

// reply is the answer to a request that succeeded.
type reply struct {
	// status is the HTTP status. 0 means 200.
	status int
	// etag is the quoted entity tag, or empty.
	etag string
	// body is encoded as JSON. nil means that there is none.
	body any
	// text is sent as it stands, in place of body.
	text string
}

// write sends a reply. One whose entity tag the client names is not sent again.
func (c *call) write(answer reply) {
	response := &c.ctx.Response
	c.writeCommon()
	if answer.etag != "" {
		response.Header.Set(adminapi.HeaderETag, answer.etag)
	}
	switch {
	case c.ctx.IsGet() && answer.etag != "" && tagListed(c.header(adminapi.HeaderIfNoneMatch), answer.etag):
		response.SetStatusCode(fasthttp.StatusNotModified)
	case answer.text != "":
		response.Header.SetContentType(contentText)
		response.SetBodyString(answer.text)
	case answer.body != nil:
		c.writeJSON(max(answer.status, fasthttp.StatusOK), answer.body)
	default:
		response.SetStatusCode(fasthttp.StatusNoContent)
	}
}

// writeCommon sets what every answer has.
func (c *call) writeCommon() {
	c.ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	if c.requestID != "" {
		c.ctx.Response.Header.Set(adminapi.HeaderRequestID, c.requestID)
	}
}

// writeJSON sends a value.
func (c *call) writeJSON(status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = fasthttp.StatusInternalServerError
		body, _ = json.Marshal(failed(status, adminapi.CodeInternal, "the answer can't be encoded"))
	}
	c.ctx.Response.SetStatusCode(status)
	c.ctx.Response.Header.SetContentType(contentJSON)
	c.ctx.Response.SetBody(body)
}

// writeError sends a failure; cause may say after which time to try again.
func (c *call) writeError(failure *adminapi.Error, cause error) {
	c.writeCommon()
	if wait := retryAfter(cause); wait > 0 {
		c.ctx.Response.Header.Set(adminapi.HeaderRetryAfter, strconv.Itoa(retrySeconds(wait)))
	}
	if failure.Status == fasthttp.StatusUnauthorized {
		c.ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, strings.TrimSpace(adminapi.BearerPrefix))
	}
	var method *MethodError
	if errors.As(cause, &method) {
		c.ctx.Response.Header.Set(fasthttp.HeaderAllow, method.allowed())
	}
	c.writeJSON(failure.Status, failure)
}

// tagListed reports whether a list of entity tags names one.
func tagListed(list, tag string) bool {
	for part := range strings.SplitSeq(list, ",") {
		part = strings.TrimPrefix(strings.TrimSpace(part), "W/")
		if part == "*" || part == tag {
			return true
		}
	}
	return false
}
