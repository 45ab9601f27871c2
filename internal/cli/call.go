package cli

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/daemon"
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
	sub.Description = "send one request and print the answer"
	sub.String(&c.entries, "e", "entries", "ip:port of entry VMs to ask, separated by commas")
	sub.String(&c.service, "s", "service", "service to call")
	sub.String(&c.requestType, "t", "type", "request type")
	sub.String(&c.path, "", "path", "path of the request (default /)")
	sub.String(&c.body, "b", "body", "body of the request")
	sub.Bool(&c.once, "", "once", "send an idempotency key")
	sub.Int(&c.timeoutMs, "", "timeout-ms", "time for the answer in milliseconds (default 1000)")
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
	caller := client.New(client.Options{Bootstrap: strings.Split(c.entries, ","), Service: c.service})
	request := client.Request{
		Type:    c.requestType,
		Path:    c.path,
		Body:    []byte(c.body),
		Timeout: time.Duration(c.timeoutMs) * time.Millisecond,
	}
	if c.once {
		key, err := caller.NewKey()
		if err != nil {
			return err
		}
		request.Key = key
	}
	answer, err := caller.Do(request)
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

// dumpCommand prints the state of a daemon.
type dumpCommand struct{ admin string }

func (c *dumpCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("dump")
	sub.Description = "print the state of an entry daemon"
	sub.String(&c.admin, "", "admin", "ip:port of the daemon's admin port")
	return sub
}

func (c *dumpCommand) run(streams Streams) error {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+c.admin+daemon.PathDump, platformTimeout)
	if err != nil {
		return err
	}
	_, err = streams.Out.Write(append(body, '\n'))
	return err
}
