package callerserver

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// ErrorResponse returns a response that the entry daemon itself generates.
func ErrorResponse(status int, reply wire.ErrorReply) *fasthttp.Response {
	response := &fasthttp.Response{}
	response.SetStatusCode(status)
	response.Header.Set(wire.HeaderOutcome, reply.Outcome)
	response.Header.Set(wire.HeaderReason, reply.Reason)
	SetJSON(response, reply)
	return response
}

// SetJSON sets the body of a response to the JSON encoding of value.
func SetJSON(response *fasthttp.Response, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		response.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	response.Header.SetContentType("application/json")
	response.SetBody(body)
}
