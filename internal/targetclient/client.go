// Package targetclient sends attempts to targets over pooled connections.
//
// A connection carries one attempt at a time and is closed when an attempt is
// canceled or fails, so a late answer can't reach another call.
package targetclient

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// MaxAnswerBytes bounds the body of an answer.
const MaxAnswerBytes = 8 << 20

// NotSentError reports an attempt of which no byte has left.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("targetclient: not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports an attempt that was sent, at least in part, and has no whole
// answer. The target may have run it.
type LostError struct{ Cause error }

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("targetclient: answer lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// ForeignAnswerError reports an answer to another attempt.
type ForeignAnswerError struct{ Want, Have string }

// Error implements error.
func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("answer is for attempt %q, want %q", e.Have, e.Want)
}

// ErrCanceled is the cause of the errors of canceled attempts.
var ErrCanceled = errors.New("attempt canceled")

// Attempt is the handle of one attempt. Its zero value is ready for use.
type Attempt struct {
	mu       sync.Mutex
	conn     net.Conn
	canceled bool
}

// Cancel closes the attempt's connection. It may be called at any time.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.canceled = true
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// bind ties the attempt to its connection; false means canceled.
func (a *Attempt) bind(conn net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	return !a.canceled
}

// unbind returns false if the attempt was canceled.
func (a *Attempt) unbind() bool {
	return a.bind(nil)
}

// Client keeps the connections to all targets. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	pools map[string]*pool
}

// New returns a client without connections.
func New() *Client { return &Client{pools: map[string]*pool{}} }

// Do sends a request and reads the whole answer until deadline. The caller
// releases the response. Errors are *NotSentError and *LostError.
func (c *Client) Do(attempt *Attempt, address string, deadline time.Time, request *fasthttp.Request) (*fasthttp.Response, error) {
	pool := c.pool(address)
	conn, err := pool.get(time.Now())
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if !attempt.bind(conn) {
		_ = conn.Close()
		return nil, &NotSentError{Cause: ErrCanceled}
	}
	response, err := exchange(conn, deadline, request)
	if !attempt.unbind() && err != nil {
		err = &LostError{Cause: ErrCanceled}
	}
	if err != nil || response.ConnectionClose() {
		_ = conn.Close()
		return response, err
	}
	pool.put(conn, time.Now())
	return response, nil
}

func exchange(conn *connection, deadline time.Time, request *fasthttp.Request) (*fasthttp.Response, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if err := request.Write(conn.writer); err != nil {
		return nil, &LostError{Cause: err}
	}
	if err := conn.writer.Flush(); err != nil {
		return nil, &LostError{Cause: err}
	}
	response := fasthttp.AcquireResponse()
	if err := readAnswer(conn, request, response); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, &LostError{Cause: err}
	}
	return response, nil
}

func readAnswer(conn *connection, request *fasthttp.Request, response *fasthttp.Response) error {
	if err := response.ReadLimitBody(conn.reader, MaxAnswerBytes); err != nil {
		return err
	}
	want := string(request.Header.Peek(wire.HeaderAttemptID))
	have := string(response.Header.Peek(wire.HeaderAttemptID))
	if have != "" && have != want {
		return &ForeignAnswerError{Want: want, Have: have}
	}
	return nil
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &pool{address: address}
		c.pools[address] = p
	}
	return p
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.close()
	}
}
