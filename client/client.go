// Package client calls services through poplarwheel's entry VMs.
//
// A Client asks which entry VMs to use, keeps the answer for as long as it is
// told, makes idempotency keys and resends requests under the same key.
// docs/CALLERS.md describes the interface that it follows.
package client

import (
	"context"
	"errors"
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

// Options configure a Client.
type Options struct {
	// Bootstrap are addresses ("ip:port") of entry VMs to ask first. Any entry
	// VM will do; several keep a lost VM from stopping the first question.
	Bootstrap []string
	// Service is the service to call.
	Service string
	// MaxConnections bounds the connections to each entry VM. Default 512.
	MaxConnections int
}

// defaultMaxConnections bounds the connections to each entry VM.
const defaultMaxConnections = 512

// Client calls one service. It is safe for concurrent use.
type Client struct {
	options   Options
	directory directory
	requests  atomic.Uint64
	turn      atomic.Uint64

	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// New returns a client.
func New(options Options) *Client {
	if options.MaxConnections == 0 {
		options.MaxConnections = defaultMaxConnections
	}
	c := &Client{options: options, hosts: map[string]*fasthttp.HostClient{}}
	c.directory.ask = c.ask
	c.directory.bootstrap = options.Bootstrap
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range c.hosts {
		host.CloseIdleConnections()
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
	// Timeout is the time within which the answer counts. The entry daemon
	// rounds it down to the agreed time of the request type.
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
	// Reason is the reason code of an answer that an entry daemon made.
	Reason string
	Body   []byte
	// Entry is the address of the entry VM that answered.
	Entry string
	// Resends is the number of times the request was sent again.
	Resends int
}

// NewKey returns a new idempotency key. The error is a *NoEntryError.
func (c *Client) NewKey() (string, error) {
	entries, err := c.Entries()
	if err != nil {
		return "", err
	}
	return entries.SessionToken + ":" + strconv.FormatUint(c.requests.Add(1), 36), nil
}

// Entries returns the entry VMs to use. The error is a *NoEntryError.
func (c *Client) Entries() (Entries, error) { return c.directory.entries(time.Now()) }

// Do sends a request once, to one of the entry VMs. An entry VM that can't be
// connected to is passed over. Errors are *NoEntryError and *NotSentError, after
// which the request was not run, and *LostError, after which its outcome is
// unknown.
func (c *Client) Do(request Request) (Answer, error) {
	return c.DoContext(context.Background(), request)
}

// DoContext is Do with cancellation: when ctx is done, the connection is closed,
// and the entry daemon cancels the attempts of an idempotent request.
func (c *Client) DoContext(ctx context.Context, request Request) (Answer, error) {
	entries, err := c.Entries()
	if err != nil {
		return Answer{Outcome: NotRun}, err
	}
	turn := c.turn.Add(1) + uint64(request.Resend)
	count := uint64(len(entries.Addresses))
	var answer Answer
	for i := range count {
		answer, err = c.DoAt(ctx, entries.Addresses[(turn+i)%count], request)
		var notSent *NotSentError
		if !errors.As(err, &notSent) {
			break
		}
	}
	return answer, err
}

// answerGrace is the time an answer may overrun the request's timeout before
// the client gives up.
const answerGrace = time.Second

// DoAt sends a request once, to the entry VM at address. Errors are
// *NotSentError and *LostError.
func (c *Client) DoAt(ctx context.Context, address string, r Request) (Answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.fill(request, address, r)
	if err := c.exchange(ctx, address, r.Timeout+answerGrace, request, response); err != nil {
		c.directory.forget()
		return Answer{Outcome: outcomeOf(err), Entry: address}, err
	}
	return Answer{
		Outcome: Outcome(response.Header.Peek(wire.HeaderOutcome)),
		Status:  response.StatusCode(),
		Reason:  string(response.Header.Peek(wire.HeaderReason)),
		Body:    append([]byte(nil), response.Body()...),
		Entry:   address,
	}, nil
}

func (c *Client) fill(request *fasthttp.Request, address string, r Request) {
	request.SetRequestURI("http://" + address + r.Path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(wire.HeaderService, c.options.Service)
	request.Header.Set(wire.HeaderType, r.Type)
	request.Header.Set(wire.HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	if r.Key != "" {
		request.Header.Set(wire.HeaderIdempotencyKey, r.Key)
	}
	if r.Key != "" || r.Resend > 0 {
		request.Header.Set(wire.HeaderResend, strconv.Itoa(r.Resend))
	}
	request.SetBodyRaw(r.Body)
}

func outcomeOf(err error) Outcome {
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return NotRun
	}
	return Unknown
}
