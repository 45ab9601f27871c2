package platform

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/responsehead"
)

// Paths and arguments of the platform's HTTP interface.
const (
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
	ArgAfter    = "after"
	ArgWaitMs   = "wait_ms"
)

const (
	// maxConnections bounds the connections to the platform.
	maxConnections = 32
	// watchGrace is the time a watch may overrun its wait before the client
	// gives up on the answer.
	watchGrace = 2 * time.Second
)

// Client speaks the platform's HTTP interface. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *fasthttp.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform at address ("ip:port"). Calls other
// than watches fail after timeout.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{
		base:    "http://" + address,
		timeout: timeout,
		http: &fasthttp.Client{
			DialTimeout:                   responsehead.DialTimeout,
			MaxConnsPerHost:               maxConnections,
			MaxIdemponentCallAttempts:     1,
			DisablePathNormalizing:        true,
			NoDefaultUserAgentHeader:      true,
			DisableHeaderNamesNormalizing: false,
		},
	}
}

// Get implements Store.
func (c *Client) Get(key string) (Object, error) {
	request, response := c.acquire(fasthttp.MethodGet, key)
	defer release(request, response)
	if err := c.do("get", key, false, request, response, c.timeout); err != nil {
		return Object{}, err
	}
	return objectFrom(key, response), nil
}

// Create implements Store.
func (c *Client) Create(key string, value []byte) (Version, error) {
	return c.put("create", key, value, fasthttp.HeaderIfNoneMatch, "*")
}

// Update implements Store.
func (c *Client) Update(key string, version Version, value []byte) (Version, error) {
	return c.put("update", key, value, fasthttp.HeaderIfMatch, FormatVersion(version))
}

func (c *Client) put(operation, key string, value []byte, condition, expected string) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, &TooLargeError{Key: key, Size: len(value)}
	}
	request, response := c.acquire(fasthttp.MethodPut, key)
	defer release(request, response)
	request.Header.Set(condition, expected)
	request.SetBodyRaw(value)
	if err := c.do(operation, key, true, request, response, c.timeout); err != nil {
		return 0, err
	}
	return etag(response), nil
}

// Delete implements Store.
func (c *Client) Delete(key string, version Version) error {
	request, response := c.acquire(fasthttp.MethodDelete, key)
	defer release(request, response)
	request.Header.Set(fasthttp.HeaderIfMatch, FormatVersion(version))
	return c.do("delete", key, true, request, response, c.timeout)
}

// Watch implements Store.
func (c *Client) Watch(key string, after Version, wait time.Duration) (Object, error) {
	request, response := c.acquire(fasthttp.MethodGet, key)
	defer release(request, response)
	setWait(request, after, wait)
	if err := c.do("watch", key, false, request, response, wait+watchGrace); err != nil {
		return Object{}, err
	}
	if response.StatusCode() == fasthttp.StatusNotModified {
		return Object{Key: key, Version: after}, nil
	}
	return objectFrom(key, response), nil
}

// VMs implements Store.
func (c *Client) VMs(after Version, wait time.Duration) (VMList, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer release(request, response)
	request.SetRequestURI(c.base + PathVMs)
	setWait(request, after, wait)
	if err := c.do("list", PathVMs, false, request, response, wait+watchGrace); err != nil {
		return VMList{}, err
	}
	if response.StatusCode() == fasthttp.StatusNotModified {
		return VMList{Version: after}, nil
	}
	var list VMList
	if err := json.Unmarshal(response.Body(), &list); err != nil {
		return VMList{}, &UnavailableError{Operation: "list", Key: PathVMs, Cause: err}
	}
	return list, nil
}

func setWait(request *fasthttp.Request, after Version, wait time.Duration) {
	args := request.URI().QueryArgs()
	args.Set(ArgAfter, strconv.FormatUint(uint64(after), 10))
	args.Set(ArgWaitMs, strconv.FormatInt(wait.Milliseconds(), 10))
}

func (c *Client) acquire(method, key string) (*fasthttp.Request, *fasthttp.Response) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(method)
	request.SetRequestURI(c.base + PathObjects + escapeKey(key))
	return request, response
}

// escapeKey escapes each segment of a key and keeps its slashes.
func escapeKey(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return strings.Join(segments, "/")
}

func release(request *fasthttp.Request, response *fasthttp.Response) {
	fasthttp.ReleaseRequest(request)
	fasthttp.ReleaseResponse(response)
}

func (c *Client) do(operation, key string, write bool, request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return &UnavailableError{Operation: operation, Key: key, MayHaveApplied: write, Cause: err}
	}
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK, fasthttp.StatusCreated, fasthttp.StatusNoContent, fasthttp.StatusNotModified:
		return nil
	case fasthttp.StatusNotFound:
		return &NotFoundError{Key: key}
	case fasthttp.StatusPreconditionFailed:
		return &ConflictError{Key: key, Have: etag(response)}
	case fasthttp.StatusRequestEntityTooLarge:
		return &TooLargeError{Key: key, Size: len(request.Body())}
	default:
		mayHaveApplied := write && status != fasthttp.StatusTooManyRequests
		return &UnavailableError{Operation: operation, Key: key, MayHaveApplied: mayHaveApplied, Cause: &StatusError{Status: status}}
	}
}

func objectFrom(key string, response *fasthttp.Response) Object {
	value := append([]byte(nil), response.Body()...)
	return Object{Key: key, Version: etag(response), Value: value}
}

// FormatVersion returns the entity tag of a version.
func FormatVersion(version Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(version), 10))
}

// ParseVersion reads an entity tag. It returns 0 for any other text.
func ParseVersion(tag string) Version {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return Version(number)
}

func etag(response *fasthttp.Response) Version {
	return ParseVersion(string(response.Header.Peek(fasthttp.HeaderETag)))
}
