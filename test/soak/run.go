package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

const (
	// callers is the number of callers of each service.
	callers = 8
	// operators is the number of operators that race.
	operators = 2
	// meanDecision is the mean pause of an operator between two changes.
	meanDecision = 2 * time.Second
	// watchInterval is the pause between two looks at the daemons.
	watchInterval = 250 * time.Millisecond
	// settleTime is the time within which an accepted configuration is in force
	// everywhere.
	settleTime = 13 * time.Second
	// measuringBudget is the measuring budget of each service, in probes per
	// second.
	measuringBudget = 50.0
	// journalName is the file, in the run's folder, that all targets write to.
	journalName = "journal.jsonl"
)

// options say what to run.
type options struct {
	binary   string
	seed     uint64
	duration time.Duration
	entries  int
	targets  int
	sabotage string
	// dir keeps logs and the journal; empty means a temporary folder.
	dir string
	out io.Writer
}

// run runs the system under a schedule of faults and returns the breaches.
func run(o options) ([]breach, error) {
	r := &runner{options: o, history: &history{settled: map[string]uint64{}, budget: 2 * measuringBudget}}
	if err := r.start(); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	defer r.closeOnInterrupt()()
	if err := r.load(); err != nil {
		return nil, err
	}
	events, err := r.collect()
	if err != nil {
		return nil, err
	}
	r.summarize(events)
	return append(check(r.history, events), checkCrashes(events)...), nil
}

// exitInterrupted is the exit code after SIGINT or SIGTERM.
const exitInterrupted = 130

// closeOnInterrupt ends all processes and the run on SIGINT or SIGTERM, until the
// returned function is called.
func (r *runner) closeOnInterrupt() (stop func()) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		if _, ok := <-interrupted; ok {
			r.fleet.Close()
			os.Exit(exitInterrupted)
		}
	}()
	return func() {
		signal.Stop(interrupted)
		close(interrupted)
	}
}

// runner is one run.
type runner struct {
	options options
	fleet   *fleet.Fleet
	history *history
	outMu   sync.Mutex
}

func (r *runner) say(format string, args ...any) {
	r.outMu.Lock()
	defer r.outMu.Unlock()
	_, _ = fmt.Fprintf(r.options.out, format+"\n", args...)
}

func (r *runner) start() error {
	journal := filepath.Join(r.options.dir, journalName)
	f, err := fleet.Start(fleet.Options{
		Binary:     r.options.binary,
		Dir:        r.options.dir,
		Entries:    r.options.entries,
		Targets:    r.options.targets,
		TargetArgs: func(int) []string { return []string{"--journal", journal} },
		Settings:   map[string]any{"keep_seconds": 1, "event_loops": 1},
	})
	if err != nil {
		return err
	}
	r.fleet = f
	revision, err := f.Accept(r.answers(5), "soak")
	if err != nil {
		return err
	}
	r.history.addAcceptance(acceptance{Revision: revision, By: "soak", At: time.Now()})
	return f.AwaitRevision(revision)
}

// load runs callers, operators and faults together, then waits until all is
// well again.
func (r *runner) load() error {
	schedule := newSchedule(r.options.seed, r.options.duration, r.options.entries, r.options.targets)
	for _, f := range schedule {
		r.say("%s", f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	watching, stopWatching := context.WithCancel(context.Background())
	var working, observing sync.WaitGroup
	r.history.started = time.Now()
	for i := range callers {
		for _, service := range []string{"stock", "logistics"} {
			working.Go(func() { r.newCaller(i, service).run(ctx) })
		}
	}
	for i := range operators {
		working.Go(func() { r.operate(ctx, i) })
	}
	injector := &injector{fleet: r.fleet, history: r.history, report: r.say}
	observing.Go(func() { r.watch(watching) })
	observing.Go(func() { injector.reviveTargets(watching, r.options.targets) })
	injector.run(schedule)
	time.Sleep(time.Until(r.history.started.Add(r.options.duration)))
	cancel()
	working.Wait()
	r.settle()
	stopWatching()
	observing.Wait()
	r.history.ended = time.Now()
	return nil
}

func (r *runner) newCaller(number int, service string) *caller {
	return &caller{
		number:  number,
		service: service,
		client:  client.New(client.Options{Bootstrap: r.fleet.EntryAddresses(), Service: service}),
		rng:     rand.New(rand.NewPCG(r.options.seed, uint64(100+number))),
		history: r.history,
		broken:  sabotage{kind: r.options.sabotage, target: r.fleet.TargetAddress(0)},
	}
}
