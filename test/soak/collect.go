package main

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// collect reads the targets' journal and the daemons' logs.
func (r *runner) collect() ([]targetd.Event, error) {
	for i := range r.options.entries {
		lines, err := breachLines(filepath.Join(r.options.dir, fleet.EntryName(i)+".log"))
		if err != nil {
			return nil, err
		}
		r.history.logged = append(r.history.logged, lines...)
	}
	return readJournal(filepath.Join(r.options.dir, journalName))
}

func readJournal(path string) ([]targetd.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var events []targetd.Event
	decoder := json.NewDecoder(file)
	for decoder.More() {
		var event targetd.Event
		if err := decoder.Decode(&event); err != nil {
			return nil, err
		}
		events = append(events, event)
	}
	return events, nil
}

// breachLines returns the lines of a log that report a breach or a crash.
func breachLines(path string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var lines []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := scanner.Text()
		if strings.Contains(line, "invariant breached") || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			lines = append(lines, filepath.Base(path)+": "+line)
		}
	}
	return lines, scanner.Err()
}

// summarize prints what the callers were told.
func (r *runner) summarize(events []targetd.Event) {
	outcomes := map[client.Outcome]int{}
	sends := 0
	for _, b := range r.history.bookings {
		sends += len(b.Answers)
		if len(b.Answers) > 0 {
			outcomes[b.Answers[len(b.Answers)-1].Outcome]++
		}
	}
	ran := 0
	for _, a := range r.history.reads {
		if a.Outcome == client.Ran && a.At.Sub(a.Sent) <= callTimeout {
			ran++
		}
	}
	r.say("reads=%d reads_in_time=%d bookings=%d sends=%d ran=%d not_run=%d unknown=%d revisions=%d runs=%d probes=%d",
		len(r.history.reads), ran, len(r.history.bookings), sends, outcomes[client.Ran], outcomes[client.NotRun], outcomes[client.Unknown],
		len(r.history.acceptances), len(ofKind(events, targetd.EventBegan)), len(ofKind(events, targetd.EventProbed)))
}
