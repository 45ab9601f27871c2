package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/client"
)

// callCommand sends one request.
type callCommand struct {
	callerFlags
	key       string
	timeoutMs int
	output    output
}

func (c *callCommand) subcommand() *flaggy.Subcommand {
	c.timeoutMs = 1000
	sub := flaggy.NewSubcommand("call")
	sub.Description = "send one request and print the answer"
	sub.AdditionalHelpAppend = examples(
		"call --entries 10.20.0.11:8080,10.20.0.12:8080 --service stock --type availability --path /availability",
		"call --entries 10.20.0.11:8080 --service bookings --type book --once --body @booking.json",
		"call --entries 10.20.0.11:8080 --service bookings --type book --key KEY --body @booking.json",
	)
	c.attach(sub)
	sub.String(&c.key, "", "key", "idempotency key of an earlier call, to send it again")
	sub.Int(&c.timeoutMs, "", "timeout-ms", "time for the answer in milliseconds")
	c.output.jsonFlags(sub)
	return sub
}

// callReply is the output of callCommand.
type callReply struct {
	Outcome client.Outcome  `json:"outcome"`
	Status  int             `json:"status"`
	Reason  string          `json:"reason,omitempty"`
	Entry   string          `json:"entry"`
	Key     string          `json:"key,omitempty"`
	Body    json.RawMessage `json:"body"`
}

func (c *callCommand) run(streams Streams) error {
	if err := c.check(); err != nil {
		return err
	}
	request, err := c.request(streams)
	if err != nil {
		return err
	}
	request.Timeout = time.Duration(c.timeoutMs) * time.Millisecond
	caller := c.caller(0)
	if err := c.setKey(caller, &request); err != nil {
		return err
	}
	ctx, cancel := interrupted()
	defer cancel()
	answer, err := caller.DoContext(ctx, request)
	if err != nil && request.Key != "" {
		return &KeyedCallError{Key: request.Key, Cause: err}
	}
	if err != nil {
		return err
	}
	reply := callReply{
		Outcome: answer.Outcome,
		Status:  answer.Status,
		Reason:  answer.Reason,
		Entry:   answer.Entry,
		Key:     request.Key,
		Body:    decodeAnswer(answer.Body),
	}
	return c.output.print(streams, reply, func(w io.Writer) {
		row(w, "outcome", reply.Outcome)
		row(w, "status", reply.Status)
		row(w, "reason", reply.Reason)
		row(w, "entry", reply.Entry)
		row(w, "key", reply.Key)
		row(w, "body", string(reply.Body))
	})
}

func (c *callCommand) check() error {
	if err := c.callerFlags.check(); err != nil {
		return err
	}
	if c.once && c.key != "" {
		return &ExclusiveFlagsError{Flags: []string{"once", "key"}}
	}
	if c.timeoutMs <= 0 {
		return &BadFlagError{Flag: "timeout-ms", Want: "above 0"}
	}
	return c.output.check()
}

// setKey gives the request a new key, or that of the call that is sent again.
func (c *callCommand) setKey(caller *client.Client, request *client.Request) error {
	if c.key == "" {
		return c.addKey(caller, request)
	}
	request.Key = c.key
	request.Resend = 1
	return nil
}

// KeyedCallError reports a call with an idempotency key that had no answer.
type KeyedCallError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *KeyedCallError) Error() string { return fmt.Sprintf("%v; idempotency key %s", e.Cause, e.Key) }

// Unwrap returns the cause.
func (e *KeyedCallError) Unwrap() error { return e.Cause }

// decodeAnswer returns a JSON body as it is, and any other as a JSON string.
func decodeAnswer(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}
