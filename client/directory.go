package client

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// Entries says which entry VMs to use.
type Entries struct {
	// Addresses ("ip:port") are ordered best first. There is at least one.
	Addresses []string
	// Keep is how long the answer may be kept.
	Keep time.Duration
	// SessionToken starts the idempotency keys of this client.
	SessionToken string
	// Revision is the configuration revision that the answer is based on.
	Revision uint64
}

// askTimeout bounds the question which entry VMs to use.
const askTimeout = 2 * time.Second

// ask asks the entry VM at address. Errors are *NotSentError, *LostError and
// *StatusError.
func (c *Client) ask(address string) (Entries, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + wire.PathEntries)
	request.URI().QueryArgs().Set("service", c.options.Service)
	if err := c.exchange(context.Background(), address, askTimeout, request, response); err != nil {
		return Entries{}, err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		reason := string(response.Header.Peek(wire.HeaderReason))
		return Entries{}, &StatusError{Status: response.StatusCode(), Reason: reason}
	}
	var reply wire.EntriesReply
	if err := json.Unmarshal(response.Body(), &reply); err != nil {
		return Entries{}, &LostError{Entry: address, Cause: err}
	}
	if len(reply.Entries) == 0 {
		return Entries{}, &StatusError{Status: response.StatusCode(), Reason: "no_entries"}
	}
	return Entries{
		Addresses:    reply.Entries,
		Keep:         time.Duration(reply.KeepSeconds) * time.Second,
		SessionToken: reply.SessionToken,
		Revision:     reply.Revision,
	}, nil
}

// directory keeps the last answer to the question which entry VMs to use.
type directory struct {
	bootstrap []string
	ask       func(address string) (Entries, error)

	mu         sync.Mutex
	current    Entries
	renewAt    time.Time
	until      time.Time
	refreshing chan struct{}
	err        error
}

// renewShare is the part of the keep time after which the answer is renewed in
// the background.
const renewShare = 0.7

// entries returns the kept answer, or asks. One goroutine asks at a time.
func (d *directory) entries(now time.Time) (Entries, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.renewAt) {
		return d.current, nil
	}
	if d.refreshing == nil {
		d.refreshing = make(chan struct{})
		go d.refresh(d.candidates())
	}
	if now.Before(d.until) {
		return d.current, nil
	}
	done := d.refreshing
	d.mu.Unlock()
	<-done
	d.mu.Lock()
	if d.err != nil {
		return Entries{}, d.err
	}
	return d.current, nil
}

// keep returns how long the last answer may be kept; 0 before the first.
func (d *directory) keep() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current.Keep
}

// candidates returns the entry VMs to ask: those of the last answer, then the
// bootstrap list.
func (d *directory) candidates() []string {
	return append(append([]string(nil), d.current.Addresses...), d.bootstrap...)
}

func (d *directory) refresh(candidates []string) {
	reply, err := d.firstAnswer(candidates)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = err
	if err == nil {
		now := time.Now()
		d.current = reply
		d.renewAt = now.Add(time.Duration(float64(reply.Keep) * renewShare))
		d.until = now.Add(reply.Keep)
	}
	close(d.refreshing)
	d.refreshing = nil
}

func (d *directory) firstAnswer(candidates []string) (Entries, error) {
	var last error
	for _, address := range candidates {
		reply, err := d.ask(address)
		if err == nil {
			return reply, nil
		}
		last = err
	}
	return Entries{}, &NoEntryError{Cause: last}
}

// forget makes the next call ask again.
func (d *directory) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.renewAt = time.Time{}
	d.until = time.Time{}
}
