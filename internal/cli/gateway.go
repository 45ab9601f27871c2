package cli

import (
	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/platform"
)

// gatewayCommand runs an entry daemon on the users' platform.
type gatewayCommand struct{}

func (c *gatewayCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("gateway")
	sub.Description = "run an entry daemon on the users' platform"
	return sub
}

func (c *gatewayCommand) run(streams Streams) error { return platform.Run(streams.Out) }
