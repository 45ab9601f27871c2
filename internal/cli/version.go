package cli

import (
	"fmt"
	"runtime"

	"github.com/integrii/flaggy"
)

// versionCommand prints the version.
type versionCommand struct{ json bool }

// versionReply is the output of versionCommand.
type versionReply struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (c *versionCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "print the version"
	sub.AdditionalHelpAppend = examples("version", "version --json")
	sub.Bool(&c.json, "", "json", "print JSON")
	return sub
}

func (c *versionCommand) run(streams Streams) error {
	if c.json {
		return writeJSON(streams, versionReply{Version: Version, Go: runtime.Version()})
	}
	_, err := fmt.Fprintln(streams.Out, "poplarwheel", Version)
	return err
}
