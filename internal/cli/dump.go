package cli

import (
	"fmt"

	"github.com/integrii/flaggy"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/daemon"
)

// dumpCommand prints the state of a daemon.
type dumpCommand struct{ admin string }

// DumpError reports a daemon that didn't return its state.
type DumpError struct {
	Admin  string
	Status int
}

// Error implements error.
func (e *DumpError) Error() string { return fmt.Sprintf("%s answered status %d", e.Admin, e.Status) }

func (c *dumpCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("dump")
	sub.Description = "print the state of an entry daemon as JSON"
	sub.AdditionalHelpAppend = examples("dump --admin 10.20.0.11:9090")
	sub.String(&c.admin, "", "admin", "ip:port of the daemon's admin port")
	return sub
}

func (c *dumpCommand) run(streams Streams) error {
	if err := requireFlags(requirement{"admin", c.admin}); err != nil {
		return err
	}
	status, body, err := fasthttp.GetTimeout(nil, "http://"+c.admin+daemon.PathDump, platformTimeout)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return &DumpError{Admin: c.admin, Status: status}
	}
	_, err = streams.Out.Write(append(body, '\n'))
	return err
}
