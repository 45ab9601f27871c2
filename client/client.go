// Package client calls services through poplarwheel's entry VMs.
//
// A Client asks which entry VMs to use, keeps the answer for as long as it is
// told, numbers its idempotency keys and resends them unchanged.
package client

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// Outcome says what became of a request.
type Outcome string

// Outcomes.
const (
	// Ran means that the answer is the target's own.
	Ran Outcome = wire.OutcomeRan
	// NotRun means that no target has begun the request.
	NotRun Outcome = wire.OutcomeNotRun
	// Unknown means that a target may have run the request.
	Unknown Outcome = wire.OutcomeUnknown
)

// ErrNoEntry reports that no known entry VM answered.
type NoEntryError struct{ Cause error }

// Error implements error.
func (e *NoEntryError) Error() string { return fmt.Sprintf("client: no entry VM answers: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoEntryError) Unwrap() error { return e.Cause }

// StatusError reports an unexpected answer to the question which entry VMs to
// use.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("client: status %d", e.Status) }

// Options configure a Client.
type Options struct {
	// Bootstrap are addresses ("ip:port") of entry VMs to ask first.
	Bootstrap []string
	// Service is the service to call.
	Service string
	// MaxConnections bounds the connections to each entry VM. Default 512.
	MaxConnections int
}

// Client calls one service. It is safe for concurrent use.
type Client struct {
	options  Options
	http     *fasthttp.Client
	requests atomic.Uint64
	turn     atomic.Uint64

	mu      sync.Mutex
	entries wire.EntriesReply
	until   time.Time
}

// New returns a client.
func New(options Options) *Client {
	if options.MaxConnections == 0 {
		options.MaxConnections = 512
	}
	return &Client{
		options: options,
		http: &fasthttp.Client{
			MaxConnsPerHost:           options.MaxConnections,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// Request is one request.
type Request struct {
	// Type is the request type.
	Type string
	// Path is the request's path, for example "/availability".
	Path string
	// Body is the request's body.
	Body []byte
	// Timeout is the time within which the answer counts.
	Timeout time.Duration
	// Key is the idempotency key of a non-idempotent request, from NewKey.
	Key string
	// Resend numbers the resends of the request, from 0.
	Resend int
}

// Answer is the answer to a request.
type Answer struct {
	Outcome Outcome
	// Status is the HTTP status.
	Status int
	// Reason is the error code of an answer that an entry daemon made.
	Reason string
	Body   []byte
	// Entry is the entry VM that answered.
	Entry string
}

// NewKey returns a new idempotency key.
func (c *Client) NewKey() (string, error) {
	entries, err := c.Entries()
	if err != nil {
		return "", err
	}
	return entries.SessionToken + ":" + strconv.FormatUint(c.requests.Add(1), 36), nil
}

// Entries returns the entry VMs to use. The error is a *NoEntryError.
func (c *Client) Entries() (wire.EntriesReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.entries, nil
	}
	candidates := append(append([]string(nil), c.entries.Entries...), c.options.Bootstrap...)
	var last error
	for _, address := range candidates {
		reply, err := c.ask(address)
		if err != nil {
			last = err
			continue
		}
		c.entries = reply
		c.until = time.Now().Add(time.Duration(reply.KeepSeconds) * time.Second)
		return reply, nil
	}
	return wire.EntriesReply{}, &NoEntryError{Cause: last}
}

// askTimeout bounds the question which entry VMs to use.
const askTimeout = 2 * time.Second

func (c *Client) ask(address string) (wire.EntriesReply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + wire.PathEntries)
	request.URI().QueryArgs().Set("service", c.options.Service)
	var reply wire.EntriesReply
	if err := c.http.DoTimeout(request, response, askTimeout); err != nil {
		return reply, err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return reply, &StatusError{Status: response.StatusCode()}
	}
	err := json.Unmarshal(response.Body(), &reply)
	return reply, err
}

// Do sends a request once, to one of the entry VMs. An error means that the
// outcome is unknown, unless it is a *NoEntryError.
func (c *Client) Do(request Request) (Answer, error) {
	entries, err := c.Entries()
	if err != nil {
		return Answer{}, err
	}
	turn := c.turn.Add(1) + uint64(request.Resend)
	return c.DoAt(entries.Entries[turn%uint64(len(entries.Entries))], request)
}

// answerGrace is the time an answer may overrun the request's timeout before
// the client gives up.
const answerGrace = time.Second

// DoAt sends a request once, to the entry VM at address.
func (c *Client) DoAt(address string, r Request) (Answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + r.Path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(wire.HeaderService, c.options.Service)
	request.Header.Set(wire.HeaderType, r.Type)
	request.Header.Set(wire.HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	if r.Key != "" {
		request.Header.Set(wire.HeaderIdempotencyKey, r.Key)
		request.Header.Set(wire.HeaderResend, strconv.Itoa(r.Resend))
	}
	request.SetBodyRaw(r.Body)
	if err := c.http.DoTimeout(request, response, r.Timeout+answerGrace); err != nil {
		c.forget()
		return Answer{Outcome: Unknown, Entry: address}, err
	}
	return Answer{
		Outcome: Outcome(response.Header.Peek(wire.HeaderOutcome)),
		Status:  response.StatusCode(),
		Reason:  string(response.Header.Peek(wire.HeaderReason)),
		Body:    append([]byte(nil), response.Body()...),
		Entry:   address,
	}, nil
}

// forget makes the next call ask again which entry VMs to use.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}
