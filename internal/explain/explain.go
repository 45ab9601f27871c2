// Package explain reads the daemons' logs. It finds the log lines of a single request, and
// counts per second the requests that were refused, failed or answered late, by reason.
package explain

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"
)

// Entry is one log line.
type Entry struct {
	Time   time.Time
	Fields map[string]string
	// Line is the unparsed line.
	Line string
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Read returns the entries of a log, in the order of its lines. Lines without key=value
// pairs or without a valid time are skipped. Text before the first pair, such as the name
// of a VM, is ignored.
func Read(r io.Reader) ([]Entry, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var entries []Entry
	for scanner.Scan() {
		if entry, ok := parseEntry(scanner.Text()); ok {
			entries = append(entries, entry)
		}
	}
	return entries, scanner.Err()
}

// Sort sorts the entries of several logs by time. Entries of the same time keep their order.
func Sort(entries []Entry) {
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
}

// parseEntry returns the entry of a line, and false if it has no valid time.
func parseEntry(line string) (Entry, bool) {
	fields := parseFields(line)
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	return Entry{Time: at, Fields: fields, Line: line}, err == nil
}

// parseFields returns the key=value pairs of a line. Values may be quoted.
func parseFields(line string) map[string]string {
	fields := map[string]string{}
	for line != "" {
		line = strings.TrimLeft(line, " ")
		word, rest, _ := strings.Cut(line, " ")
		key, value, found := strings.Cut(word, "=")
		if !found {
			line = rest
			continue
		}
		if strings.HasPrefix(value, `"`) {
			quoted := line[len(key)+2:]
			end := closingQuoteIndex(quoted)
			value, rest = strings.ReplaceAll(quoted[:end], `\"`, `"`), quoted[min(end+1, len(quoted)):]
		}
		fields[key] = value
		line = rest
	}
	return fields
}

// closingQuoteIndex returns the index of the quotation mark that ends a quoted value, or
// the length of text without one.
func closingQuoteIndex(text string) int {
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// RequestEntries returns the entries of the request with the given ID.
func RequestEntries(entries []Entry, request string) []Entry {
	var found []Entry
	for _, entry := range entries {
		if entry.Fields["request"] == request {
			found = append(found, entry)
		}
	}
	return found
}

// SecondStats counts the requests that were refused, failed or answered late in one second.
type SecondStats struct {
	Start time.Time
	// Reasons counts those requests by reason.
	Reasons map[string]int
	Total   int
}

// reasonLate is the reason for a request that was answered after its latency objective.
const reasonLate = "late"

// WorstSeconds returns the limit seconds with the most refused, failed or late requests, in
// descending order of their totals.
func WorstSeconds(entries []Entry, limit int) []SecondStats {
	seconds := Seconds(entries)
	slices.SortStableFunc(seconds, func(a, b SecondStats) int { return b.Total - a.Total })
	return seconds[:min(limit, len(seconds))]
}

// Seconds returns the seconds in which requests were refused, failed or answered late. The
// entries must be sorted by time.
func Seconds(entries []Entry) []SecondStats {
	var seconds []SecondStats
	for _, entry := range entries {
		reason := entry.Fields["reason"]
		if entry.Fields["msg"] == "answer late" {
			reason = reasonLate
		}
		if reason == "" || entry.Fields["request"] == "" {
			continue
		}
		start := entry.Time.Truncate(time.Second)
		if last := len(seconds) - 1; last < 0 || !seconds[last].Start.Equal(start) {
			seconds = append(seconds, SecondStats{Start: start, Reasons: map[string]int{}})
		}
		second := &seconds[len(seconds)-1]
		second.Reasons[reason]++
		second.Total++
	}
	return seconds
}
