package cli

import (
	"fmt"

	"github.com/integrii/flaggy"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/responsehead"
)

// dumpCommand prints the state of a daemon.
type dumpCommand struct {
	admin string
	api   apiFlags
	json  bool
}

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
	sub.AdditionalHelpAppend = "\nThe API's dump needs an administrators' token, the admin port's none.\n" + examples(
		"dump --admin 10.20.0.11:9090",
		"dump --api 10.20.0.11:9091 --token-file admin.token",
	)
	sub.String(&c.admin, "", "admin", "ip:port of the daemon's admin port")
	c.api.attach(sub)
	sub.Bool(&c.json, "", "json", "print JSON, as without the flag")
	return sub
}

func (c *dumpCommand) run(streams Streams) error {
	if (c.admin == "") == (c.api.addresses == "") {
		return &ExclusiveFlagsError{Flags: []string{"api", "admin"}, Required: true}
	}
	if c.admin != "" {
		return c.dumpAdminPort(streams)
	}
	client, err := c.api.connect(streams, "")
	if err != nil {
		return err
	}
	dump, err := client.Dump()
	if err != nil {
		return err
	}
	return writeJSON(streams, dump)
}

func (c *dumpCommand) dumpAdminPort(streams Streams) error {
	body, err := readDump(c.admin)
	if err != nil {
		return err
	}
	_, err = streams.Out.Write(append(body, '\n'))
	return err
}

// readDump reads the dump of a daemon from its admin port. Both kinds of daemon have it
// at the same path.
func readDump(admin string) ([]byte, error) {
	client := &fasthttp.Client{DialTimeout: responsehead.DialTimeout}
	status, body, err := client.GetTimeout(nil, "http://"+admin+daemon.PathDump, platformTimeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, &DumpError{Admin: admin, Status: status}
	}
	return body, nil
}
