package adminclient

import (
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
)

// request is one request to the API.
type request struct {
	method string
	path   string
	query  url.Values
	// body is sent as JSON unless it is nil.
	body any
	// safe is set if the request changes nothing.
	safe        bool
	ifMatch     string
	ifNoneMatch string
	requestID   string
}

// reply is an answer with a status below 400.
type reply struct {
	address string
	body    []byte
	etag    string
}

// failure is an answer with a status of 400 or above.
type failure struct {
	refused    *adminapi.Error
	retryAfter time.Duration
}

// Error implements error.
func (f *failure) Error() string { return f.refused.Error() }

// Unwrap returns the API's error.
func (f *failure) Unwrap() error { return f.refused }

// do sends a request to the first address that takes a connection. A request that
// changes nothing goes on to the next address after a lost answer, too.
func (c *Client) do(r *request) (*reply, error) {
	var err error
	for range c.options.Addresses {
		var answer *reply
		answer, err = c.exchange(r, c.options.Timeout)
		var transport *TransportError
		if !errors.As(err, &transport) {
			return answer, apiError(err)
		}
		c.advance()
		if transport.Sent && !r.safe {
			return nil, &UnsureError{Cause: err}
		}
	}
	return nil, err
}

// apiError removes what only this package needs of a failure.
func apiError(err error) error {
	var failed *failure
	if errors.As(err, &failed) {
		return failed.refused
	}
	return err
}

// exchange sends a request to the address in use, within timeout. Errors are *TransportError and
// *failure.
func (c *Client) exchange(r *request, timeout time.Duration) (*reply, error) {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	address := c.address()
	if err := c.fill(httpRequest, address, r); err != nil {
		return nil, &TransportError{Address: address, Cause: err}
	}
	if err := c.http.DoTimeout(httpRequest, httpResponse, timeout); err != nil {
		var notConnected *dialError
		return nil, &TransportError{Address: address, Sent: !errors.As(err, &notConnected), Cause: err}
	}
	if httpResponse.StatusCode() >= fasthttp.StatusBadRequest {
		return nil, readFailure(address, httpResponse)
	}
	return &reply{
		address: address,
		body:    append([]byte(nil), httpResponse.Body()...),
		etag:    string(httpResponse.Header.Peek(adminapi.HeaderETag)),
	}, nil
}

// fill writes r in the library's form. Each request has a connection of its own, so
// that a closed idle connection is not taken for a lost answer.
func (c *Client) fill(httpRequest *fasthttp.Request, address string, r *request) error {
	httpRequest.SetRequestURI("http://" + address + r.path)
	httpRequest.URI().SetQueryString(r.query.Encode())
	httpRequest.SetConnectionClose()
	header := &httpRequest.Header
	header.SetMethod(r.method)
	header.Set(adminapi.HeaderAuthorization, adminapi.BearerPrefix+c.options.Token)
	setIfGiven(header, adminapi.HeaderOperator, c.options.Operator)
	setIfGiven(header, adminapi.HeaderIfMatch, r.ifMatch)
	setIfGiven(header, adminapi.HeaderIfNoneMatch, r.ifNoneMatch)
	setIfGiven(header, adminapi.HeaderRequestID, r.requestID)
	if r.body == nil {
		return nil
	}
	body, err := json.Marshal(r.body)
	if err != nil {
		return err
	}
	header.SetContentType("application/json")
	httpRequest.SetBodyRaw(body)
	return nil
}

func setIfGiven(header *fasthttp.RequestHeader, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func readFailure(address string, response *fasthttp.Response) error {
	refused := &adminapi.Error{}
	if err := json.Unmarshal(response.Body(), refused); err != nil || refused.Code == "" {
		return &TransportError{Address: address, Sent: true, Cause: &StatusError{Status: response.StatusCode()}}
	}
	refused.Status = response.StatusCode()
	seconds, _ := strconv.Atoi(string(response.Header.Peek(adminapi.HeaderRetryAfter)))
	return &failure{refused: refused, retryAfter: time.Duration(seconds) * time.Second}
}

// decode reads an answer's body.
func (r *reply) decode(value any) error {
	if err := json.Unmarshal(r.body, value); err != nil {
		return &TransportError{Address: r.address, Sent: true, Cause: err}
	}
	return nil
}
