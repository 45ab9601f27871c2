package cli

import (
	"io"
	"strings"

	"github.com/integrii/flaggy"
)

func quarantineGroup() *group {
	return &group{
		name:        "quarantine",
		description: "list requests that crash targets, or run one again",
		examples:    []string{"quarantine list --api 10.20.0.11:9091", "quarantine lift --api 10.20.0.11:9091 --content 7"},
		commands:    []command{&quarantineListCommand{}, &quarantineLiftCommand{}},
	}
}

// quarantineListCommand lists the suspected contents.
type quarantineListCommand struct {
	api    apiFlags
	output output
}

func (c *quarantineListCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("list")
	sub.Description = "list the contents that were at a target when it died"
	sub.AdditionalHelpAppend = examples("quarantine list --api 10.20.0.11:9091 --token-file token", "quarantine list --api 10.20.0.11:9091 --json")
	c.api.attach(sub)
	c.output.textFlags(sub)
	return sub
}

func (c *quarantineListCommand) run(streams Streams) error {
	client, err := c.api.connect(streams, "")
	if err != nil {
		return err
	}
	suspects, err := client.Suspects()
	if err != nil {
		return err
	}
	return c.output.print(streams, suspects, func(w io.Writer) {
		row(w, "CONTENT", "SERVICE", "TYPE", "QUARANTINED", "DEATHS")
		for _, s := range suspects {
			deaths := make([]string, len(s.Deaths))
			for i, death := range s.Deaths {
				deaths[i] = death.Target + " " + timeText(death.At)
			}
			row(w, uint64(s.Content), s.Service, s.Type, s.Quarantined, strings.Join(deaths, ", "))
		}
	})
}

// quarantineLiftCommand lifts the quarantine of one content.
type quarantineLiftCommand struct {
	api     apiFlags
	content string
	output  output
}

func (c *quarantineLiftCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("lift")
	sub.Description = "run requests of a content again"
	sub.AdditionalHelpAppend = "\nFails if an entry VM didn't confirm; the answer names it. Lift again then.\n" + examples(
		"quarantine lift --api 10.20.0.11:9091 --token-file token --content 9393847281",
	)
	c.api.attach(sub)
	c.api.attachBy(sub)
	sub.String(&c.content, "c", "content", "content as quarantine list prints it")
	c.output.textFlags(sub)
	return sub
}

func (c *quarantineLiftCommand) run(streams Streams) error {
	if err := requireFlags(requirement{"content", c.content}); err != nil {
		return err
	}
	client, err := c.api.connect(streams, "")
	if err != nil {
		return err
	}
	lifted, err := client.Lift(c.content)
	if err != nil {
		return err
	}
	err = c.output.print(streams, lifted, func(w io.Writer) {
		row(w, "known to this daemon", lifted.Known)
		row(w, "not confirmed by", strings.Join(lifted.Unreached, ","))
	})
	if err == nil && len(lifted.Unreached) > 0 {
		return &UnconfirmedError{Entries: lifted.Unreached}
	}
	return err
}
