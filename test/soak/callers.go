package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const (
	// callTimeout is the agreed time of every request type.
	callTimeout = 800 * time.Millisecond
	// meanThink is the mean pause of a caller between two requests.
	meanThink = 30 * time.Millisecond
	// maxResends bounds the resends of a booking.
	maxResends = 6
	// resendPause is the pause before the first resend. It doubles.
	resendPause = 100 * time.Millisecond
	// bookingShare is the share of requests that are bookings.
	bookingShare = 0.4
	// crashShare is the share of requests that crash their target.
	crashShare = 0.001
)

// caller sends requests to one service until ctx is done.
type caller struct {
	number  int
	service string
	client  *client.Client
	rng     *rand.Rand
	history *history
	broken  sabotage
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		body := fmt.Sprintf(`{"caller":%d,"request":%d}`, c.number, n)
		switch p := c.rng.Float64(); {
		case p < crashShare:
			c.crash(fmt.Sprintf("%s%s-%d-%d", crashPath, c.service, c.number, n))
		case p < crashShare+bookingShare:
			c.book(ctx, body)
		default:
			c.read(body)
		}
		sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanThink)))
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

func (c *caller) read(body string) {
	a := c.send(client.Request{Type: "availability", Path: "/availability", Body: []byte(body), Timeout: callTimeout})
	c.history.addRead(a)
}

// book sends a booking and sends it again until its fate is known. A booking
// that the run's end interrupts keeps the answers that it has.
func (c *caller) book(ctx context.Context, body string) {
	key, err := c.client.NewKey()
	if err != nil {
		return
	}
	b := &booking{Key: key, Service: c.service}
	pause := resendPause
	for resend := 0; resend <= maxResends && ctx.Err() == nil; resend++ {
		a := c.send(client.Request{Type: "book", Path: "/book", Body: []byte(body), Timeout: callTimeout, Key: key, Resend: resend})
		a = c.broken.apply(key, a)
		b.Answers = append(b.Answers, a)
		if a.Outcome == client.Ran || a.Outcome == client.NotRun && a.Failure == "" {
			break
		}
		sleep(ctx, pause)
		pause *= 2
	}
	c.history.addBooking(b)
}

// send sends a request once and checks the answer.
func (c *caller) send(request client.Request) answer {
	a := answer{Resend: request.Resend, Sent: time.Now()}
	reply, err := c.client.Do(request)
	a.At = time.Now()
	a.Entry = reply.Entry
	a.Outcome = reply.Outcome
	a.Status = reply.Status
	a.Reason = reply.Reason
	if err != nil {
		a.Failure = err.Error()
		var lost *client.LostError
		a.Cut = errors.As(err, &lost) && a.At.Before(a.Sent.Add(request.Timeout))
		return a
	}
	if a.Outcome == client.Ran {
		a.Wrong = wrong(request, reply)
	}
	return a
}

// wrong says what is wrong with a target's answer to a request, or nothing.
func wrong(request client.Request, reply client.Answer) string {
	if reply.Status != fasthttp.StatusOK {
		return ""
	}
	var decoded targetd.Answer
	if err := json.Unmarshal(reply.Body, &decoded); err != nil {
		return fmt.Sprintf("request %s got a part of an answer: %q", request.Body, reply.Body)
	}
	if decoded.Echo != string(request.Body) || decoded.Key != request.Key {
		return fmt.Sprintf("request %s with key %q got the answer to %s with key %q", request.Body, request.Key, decoded.Echo, decoded.Key)
	}
	return ""
}
