package cli

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// servicesCommand lists the services or prints one.
type servicesCommand struct {
	api     apiFlags
	service string
	output  output
}

func (c *servicesCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("services")
	sub.Description = "list the services, or print the accepted configuration of one as JSON"
	sub.AdditionalHelpAppend = examples("services --api 10.20.0.11:9091 --token-file token", "services --api 10.20.0.11:9091 --service stock")
	c.api.attach(sub)
	sub.String(&c.service, "s", "service", "service to print")
	c.output.textFlags(sub)
	return sub
}

func (c *servicesCommand) run(streams Streams) error {
	client, err := c.api.connect(streams, "")
	if err != nil {
		return err
	}
	if c.service != "" {
		service, _, err := client.Service(c.service)
		if err != nil {
			return err
		}
		return writeJSON(streams, service)
	}
	services, err := client.Services()
	if err != nil {
		return err
	}
	return c.output.print(streams, services, func(w io.Writer) {
		row(w, "SERVICE", "TEAM", "REVISION", "TARGETS")
		for _, s := range services {
			row(w, s.Name, s.Team, s.Revision, s.Targets)
		}
	})
}

// targetsCommand lists the targets as one daemon sees them.
type targetsCommand struct {
	api     apiFlags
	service string
	output  output
}

func (c *targetsCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("targets")
	sub.Description = "list the targets as the entry daemon that answers sees them"
	sub.AdditionalHelpAppend = examples("targets --api 10.20.0.11:9091 --token-file token", "targets --api 10.20.0.11:9091 --service stock --json")
	c.api.attach(sub)
	sub.String(&c.service, "s", "service", "list the targets of this service only")
	c.output.textFlags(sub)
	return sub
}

func (c *targetsCommand) run(streams Streams) error {
	client, err := c.api.connect(streams, "")
	if err != nil {
		return err
	}
	targets, err := client.Targets(c.service)
	if err != nil {
		return err
	}
	return c.output.print(streams, targets, func(w io.Writer) {
		row(w, "SERVICE", "TARGET", "ZONE", "ADDRESS", "STATE", "REASON", "IN FLIGHT", "LATENCY MS")
		for _, t := range targets {
			row(w, t.Service, t.Name, t.Zone, t.Address, t.State, t.Reason, t.InFlight, fmt.Sprintf("%.1f", t.LatencyMs))
		}
	})
}
