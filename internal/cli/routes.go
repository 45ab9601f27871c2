package cli

import (
	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/platform"
)

// routesCommand turns answers into a configuration of the users' platform.
type routesCommand struct {
	answers  string
	revision uint64
	json     bool
}

func (c *routesCommand) subcommand() *flaggy.Subcommand {
	c.revision = 1
	sub := flaggy.NewSubcommand("routes")
	sub.Description = "derive a configuration of the users' platform from a filled-in questionnaire"
	sub.AdditionalHelpAppend = "\nPrints what the operator writes to the platform's store.\n" +
		examples("routes --answers answers.json --revision 12 > config.json")
	sub.String(&c.answers, "a", "answers", "answers file, - for standard input")
	sub.UInt64(&c.revision, "", "revision", "revision of the configuration, above the one in force")
	sub.Bool(&c.json, "", "json", "print JSON, as without the flag")
	return sub
}

func (c *routesCommand) run(streams Streams) error {
	if err := requireFlags(requirement{"answers", c.answers}); err != nil {
		return err
	}
	answers, err := readAnswers(streams, c.answers)
	if err != nil {
		return err
	}
	spec, err := platform.EncodeConfig(questionnaire.Routes(answers, c.revision))
	if err != nil {
		return err
	}
	_, err = streams.Out.Write(append(spec, '\n'))
	return err
}
