// Command capacity measures what control costs an entry daemon at several sizes:
// entry daemons, services, targets and changes of configuration. Targets aren't
// started, so the cost of targets that answer is measured by other benches.
//
// It prints one line of name=value pairs a point.
package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/poplarwheel/poplarwheel/bench/internal/command"
)

type options struct {
	binary  string
	window  time.Duration
	changes int
	called  int
	points  []point
}

// point is one size to measure.
type point struct {
	entries  int
	services int
	targets  int
}

// PointError reports a point that isn't "entries:services:targets".
type PointError struct{ Text string }

// Error implements error.
func (e *PointError) Error() string {
	return fmt.Sprintf("point %q must be entries:services:targets", e.Text)
}

func main() {
	o := options{window: 10 * time.Second, changes: 20, called: 78}
	points := "4:44:390,13:44:390,17:44:390,4:440:3900,13:440:3900,17:440:3900"
	c := command.New("capacity", "measure what control costs an entry daemon")
	c.Binary(&o.binary)
	c.String(&points, "", "points", "sizes, entries:services:targets each")
	c.Duration(&o.window, "", "window", "length of each measurement")
	c.Int(&o.changes, "", "changes", "changes of configuration for each point")
	c.Int(&o.called, "", "called", "services that each entry daemon is called for")
	c.Run(func() error { return measureAll(o, points) })
}

func measureAll(o options, points string) error {
	var err error
	if o.points, err = parsePoints(points); err != nil {
		return &command.UsageError{Cause: err}
	}
	for _, p := range o.points {
		if err := measure(o, p); err != nil {
			return err
		}
	}
	return nil
}

func parsePoints(text string) ([]point, error) {
	var points []point
	for part := range strings.SplitSeq(text, ",") {
		numbers := strings.Split(part, ":")
		if len(numbers) != 3 {
			return nil, &PointError{Text: part}
		}
		var sizes [3]int
		for i, number := range numbers {
			size, err := strconv.Atoi(number)
			if err != nil || size < 1 {
				return nil, &PointError{Text: part}
			}
			sizes[i] = size
		}
		points = append(points, point{entries: sizes[0], services: sizes[1], targets: sizes[2]})
	}
	return points, nil
}
