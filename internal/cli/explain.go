package cli

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/explain"
)

// explainCommand tells from logs what became of requests.
type explainCommand struct {
	logs    string
	request string
	worst   int
	json    bool
}

// plotWidth is the longest bar of a plot, in characters.
const plotWidth = 50

func (c *explainCommand) subcommand() *flaggy.Subcommand {
	c.logs = "-"
	c.worst = 10
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "tell from the daemons' logs what became of a request, or the worst seconds by reason"
	sub.AdditionalHelpAppend = examples(
		"explain --logs vm-1.log,vm-2.log --request 9c41d07be2a35f68",
		"explain --logs vm-1.log --worst 5",
	)
	sub.String(&c.logs, "l", "logs", "log files separated by commas, - for standard input")
	sub.String(&c.request, "r", "request", "ID of the request to tell of; without it the worst seconds are printed")
	sub.Int(&c.worst, "w", "worst", "number of seconds to print")
	sub.Bool(&c.json, "", "json", "print JSON")
	return sub
}

// UnknownRequestError reports a request of which no log line tells.
type UnknownRequestError struct{ Request string }

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("no log line tells of request %s; served requests leave none", e.Request)
}

func (c *explainCommand) run(streams Streams) error {
	entries, err := c.read(streams)
	if err != nil {
		return err
	}
	if c.request != "" {
		return c.story(streams, entries)
	}
	if c.json {
		return writeJSON(streams, explain.WorstSeconds(entries, c.worst))
	}
	return c.plot(streams, entries)
}

func (c *explainCommand) read(streams Streams) ([]explain.Entry, error) {
	var entries []explain.Entry
	for path := range strings.SplitSeq(c.logs, ",") {
		read, err := readLog(streams, path)
		if err != nil {
			return nil, err
		}
		entries = append(entries, read...)
	}
	explain.Sort(entries)
	return entries, nil
}

func readLog(streams Streams, path string) ([]explain.Entry, error) {
	if path == "-" {
		return explain.Read(streams.In)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, &InputError{Path: path, Cause: err}
	}
	defer func() { _ = file.Close() }()
	return explain.Read(file)
}

func (c *explainCommand) story(streams Streams, entries []explain.Entry) error {
	story := explain.RequestEntries(entries, c.request)
	if len(story) == 0 {
		return &UnknownRequestError{Request: c.request}
	}
	if c.json {
		return writeJSON(streams, story)
	}
	for _, entry := range story {
		if _, err := fmt.Fprintf(streams.Out, "+%.3f s  %s\n", entry.Time.Sub(story[0].Time).Seconds(), entryText(entry)); err != nil {
			return err
		}
	}
	return nil
}

// entryText returns an entry's message and fields.
func entryText(entry explain.Entry) string {
	var names []string
	for name := range entry.Fields {
		if name != "time" && name != "msg" && name != "level" && name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	text := entry.Fields["msg"]
	for _, name := range names {
		text += " " + name + "=" + entry.Fields[name]
	}
	return text
}

func (c *explainCommand) plot(streams Streams, entries []explain.Entry) error {
	worst := explain.WorstSeconds(entries, c.worst)
	if len(worst) == 0 {
		_, err := io.WriteString(streams.Out, "no line tells of a request that was not served well\n")
		return err
	}
	for _, second := range worst {
		bar := strings.Repeat("#", max(plotWidth*second.Total/worst[0].Total, 1))
		_, err := fmt.Fprintf(streams.Out, "%s %5d %-*s %s\n",
			second.Start.Format(time.TimeOnly), second.Total, plotWidth, bar, reasons(second))
		if err != nil {
			return err
		}
	}
	return nil
}

// reasons lists the reasons of a second, the most frequent first.
func reasons(second explain.SecondStats) string {
	var names []string
	for name := range second.Reasons {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if n := second.Reasons[b] - second.Reasons[a]; n != 0 {
			return n
		}
		return strings.Compare(a, b)
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s=%d", name, second.Reasons[name])
	}
	return strings.Join(names, " ")
}
