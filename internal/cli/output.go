package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/integrii/flaggy"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// output is how a command prints its result.
type output struct {
	json bool
	text bool
	// jsonByDefault is set if the command prints JSON unless --text is given.
	jsonByDefault bool
}

// textFlags adds the flag of a command that prints text by default.
func (o *output) textFlags(sub *flaggy.Subcommand) {
	sub.Bool(&o.json, "", "json", "print JSON")
}

// jsonFlags adds the flags of a command that prints JSON by default.
func (o *output) jsonFlags(sub *flaggy.Subcommand) {
	o.jsonByDefault = true
	sub.Bool(&o.json, "", "json", "print JSON, as without the flag")
	sub.Bool(&o.text, "", "text", "print text for people")
}

func (o *output) check() error {
	if o.json && o.text {
		return &ExclusiveFlagsError{Flags: []string{"json", "text"}}
	}
	return nil
}

// print writes value as JSON, or calls text, which writes cells that end with tabs
// and lines.
func (o *output) print(streams Streams, value any, text func(w io.Writer)) error {
	if o.json || (o.jsonByDefault && !o.text) {
		return writeJSON(streams, value)
	}
	w := tabwriter.NewWriter(streams.Out, 0, 0, columnGap, ' ', 0)
	text(w)
	return w.Flush()
}

// printable replaces what could control a terminal, since cells hold names that
// others chose.
func printable(r rune) rune {
	if unicode.IsPrint(r) {
		return r
	}
	return unicode.ReplacementChar
}

// row writes one line of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = strings.Map(printable, fmt.Sprint(cell))
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}
