package cli

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/client"
)

// callCommand sends one request.
type callCommand struct {
	entries     string
	service     string
	requestType string
	path        string
	body        string
	once        bool
	timeoutMs   int
}

func (c *callCommand) subcommand() *flaggy.Subcommand {
	c.path = "/"
	c.timeoutMs = 1000
	sub := flaggy.NewSubcommand("call")
	sub.Description = "send one request and print the answer as JSON"
	sub.AdditionalHelpAppend = examples(
		"call --entries 10.20.0.11:8080,10.20.0.12:8080 --service stock --type availability --path /availability",
		"call --entries 10.20.0.11:8080 --service bookings --type book --once --body @booking.json",
	)
	sub.String(&c.entries, "e", "entries", "ip:port of entry VMs to ask, separated by commas")
	sub.String(&c.service, "s", "service", "service to call")
	sub.String(&c.requestType, "t", "type", "request type")
	sub.String(&c.path, "", "path", "path of the request")
	sub.String(&c.body, "b", "body", "body of the request; @file reads a file, @- standard input")
	sub.Bool(&c.once, "", "once", "send an idempotency key")
	sub.Int(&c.timeoutMs, "", "timeout-ms", "time for the answer in milliseconds")
	return sub
}

// callReply is the output of callCommand.
type callReply struct {
	Outcome client.Outcome  `json:"outcome"`
	Status  int             `json:"status"`
	Reason  string          `json:"reason,omitempty"`
	Entry   string          `json:"entry"`
	Body    json.RawMessage `json:"body"`
}

func (c *callCommand) run(streams Streams) error {
	err := requireFlags(requirement{"entries", c.entries}, requirement{"service", c.service}, requirement{"type", c.requestType})
	if err != nil {
		return err
	}
	request, err := c.request(streams)
	if err != nil {
		return err
	}
	caller := client.New(client.Options{Bootstrap: strings.Split(c.entries, ","), Service: c.service})
	if c.once {
		if request.Key, err = caller.NewKey(); err != nil {
			return err
		}
	}
	ctx, cancel := interrupted()
	defer cancel()
	answer, err := caller.DoContext(ctx, request)
	if err != nil {
		return err
	}
	return writeJSON(streams, callReply{
		Outcome: answer.Outcome,
		Status:  answer.Status,
		Reason:  answer.Reason,
		Entry:   answer.Entry,
		Body:    decodeAnswer(answer.Body),
	})
}

func (c *callCommand) request(streams Streams) (client.Request, error) {
	request := client.Request{
		Type:    c.requestType,
		Path:    c.path,
		Body:    []byte(c.body),
		Timeout: time.Duration(c.timeoutMs) * time.Millisecond,
	}
	path, isFile := strings.CutPrefix(c.body, "@")
	if !isFile {
		return request, nil
	}
	var err error
	request.Body, err = readInput(streams, path)
	return request, err
}

// decodeAnswer returns a JSON body as it is, and any other as a JSON string.
func decodeAnswer(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}
