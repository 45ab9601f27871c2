package cli

import (
	"io"
	"strings"

	"github.com/integrii/flaggy"
)

// examples returns the end of a subcommand's help.
func examples(lines ...string) string {
	return "\nExamples:\n  poplarwheel " + strings.Join(lines, "\n  poplarwheel ")
}

// withoutHelp removes the help flags from args and reports whether there were
// any.
func withoutHelp(args []string) (rest []string, wantsHelp bool) {
	for _, arg := range args {
		if arg == "-h" || arg == "--help" {
			wantsHelp = true
			continue
		}
		rest = append(rest, arg)
	}
	return rest, wantsHelp
}

// writeHelp writes the help of the subcommand that was parsed last.
func writeHelp(parser *flaggy.Parser, w io.Writer) error {
	help := flaggy.Help{}
	help.ExtractValues(parser, "")
	return parser.HelpTemplate.Execute(w, help)
}
