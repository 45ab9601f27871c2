package cli

import "github.com/integrii/flaggy"

// group is a subcommand that has subcommands of its own.
type group struct {
	name        string
	description string
	examples    []string
	commands    []command
}

// groups returns the subcommands that have subcommands.
func groups() []*group {
	return []*group{quarantineGroup(), teamsGroup(), standinGroup()}
}

// attach adds the group to the parser and its commands to the given ones.
func (g *group) attach(parser *flaggy.Parser, commands map[*flaggy.Subcommand]command) {
	parent := flaggy.NewSubcommand(g.name)
	parent.Description = g.description
	parent.AdditionalHelpAppend = examples(g.examples...)
	for _, c := range g.commands {
		sub := c.subcommand()
		parent.AttachSubcommand(sub, 1)
		commands[sub] = c
	}
	parser.AttachSubcommand(parent, 1)
}
