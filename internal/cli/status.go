package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/gatewayd"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

// statusCommand prints the accepted revision.
type statusCommand struct {
	source sourceFlags
	admin  string
	output output
}

func (c *statusCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("status")
	sub.Description = "print the accepted revision and its services"
	sub.AdditionalHelpAppend = examples(
		"status --api 10.20.0.11:9091 --token-file token --text",
		"status --platform 10.20.0.1:7000",
		"status --admin 10.20.0.11:7215",
	)
	c.source.attach(sub)
	sub.String(&c.admin, "", "admin", "ip:port of a gateway's admin port, in place of the others")
	c.output.jsonFlags(sub)
	return sub
}

func (c *statusCommand) run(streams Streams) error {
	if c.admin != "" {
		return c.printGateway(streams)
	}
	if err := c.source.check(); err != nil {
		return err
	}
	if err := c.output.check(); err != nil {
		return err
	}
	if c.source.usesPlatform() {
		return c.printHead(streams)
	}
	client, err := c.source.api.connect(streams, "")
	if err != nil {
		return err
	}
	configuration, _, err := client.Configuration()
	if err != nil {
		return err
	}
	return c.output.print(streams, configuration, func(w io.Writer) {
		row(w, "revision", configuration.Revision)
		row(w, "accepted by", configuration.AcceptedBy)
		row(w, "accepted at", timeText(configuration.AcceptedAt))
		row(w, "in force at this daemon", configuration.InForce)
		for _, service := range configuration.Services {
			row(w, "service "+service.Name, "since revision", service.Revision)
		}
	})
}

// printGateway prints what a gateway daemon says of itself.
func (c *statusCommand) printGateway(streams Streams) error {
	if err := c.output.check(); err != nil {
		return err
	}
	dump, err := readGateway(c.admin)
	if err != nil {
		return err
	}
	return c.output.print(streams, dump, func(w io.Writer) {
		row(w, "VM", dump.Name)
		row(w, "zone", dump.Zone)
		row(w, "serving", dump.Serving)
		row(w, "revision in force", dump.Gateway.Revision)
		row(w, "platform away", dump.PlatformUnavailable)
		row(w, "entry VMs named", strings.Join(dump.AdvertisedAddresses, " "))
		for _, service := range dump.Gateway.Services {
			row(w, "service "+service.Name, fmt.Sprintf("%d targets, %d requests wait", len(service.Targets), service.Queued))
		}
	})
}

// readGateway reads the dump of a gateway daemon.
func readGateway(admin string) (*gatewayd.Dump, error) {
	body, err := readDump(admin)
	if err != nil {
		return nil, err
	}
	dump := &gatewayd.Dump{}
	return dump, json.Unmarshal(body, dump)
}

// printHead prints what the platform holds.
func (c *statusCommand) printHead(streams Streams) error {
	head, _, err := rollout.ReadHead(platform.NewClient(c.source.platform, platformTimeout))
	if err != nil {
		return err
	}
	return c.output.print(streams, head, func(w io.Writer) {
		row(w, "revision", head.Revision)
		row(w, "accepted by", head.AcceptedBy)
		row(w, "accepted at", timeText(head.AcceptedAt))
		for _, service := range head.Services {
			row(w, "service "+service.Name, "since revision", service.Revision)
		}
	})
}

// historyCommand lists the accepted revisions.
type historyCommand struct {
	api    apiFlags
	output output
}

func (c *historyCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("history")
	sub.Description = "list the accepted revisions, newest first"
	sub.AdditionalHelpAppend = examples("history --api 10.20.0.11:9091 --token-file token", "history --api 10.20.0.11:9091 --json")
	c.api.attach(sub)
	c.output.textFlags(sub)
	return sub
}

func (c *historyCommand) run(streams Streams) error {
	client, err := c.api.connect(streams, "")
	if err != nil {
		return err
	}
	revisions, err := client.Revisions()
	if err != nil {
		return err
	}
	return c.output.print(streams, revisions, func(w io.Writer) {
		row(w, "REVISION", "ACCEPTED BY", "ACCEPTED AT", "CHANGED", "REMOVED")
		for _, r := range revisions {
			row(w, r.Revision, r.AcceptedBy, timeText(r.AcceptedAt), strings.Join(r.Changed, ","), strings.Join(r.Removed, ","))
		}
	})
}

// timeText returns a time in UTC to the second, or "" for none.
func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
