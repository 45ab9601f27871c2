package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
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

// answers fills in the questionnaire: the first half of the targets serves
// stock, the rest logistics. TypicalMs is what operators change.
func (r *runner) answers(typicalMs int) *questionnaire.Answers {
	half := r.options.targets / 2
	return &questionnaire.Answers{Team: "swanbrook", Services: []questionnaire.Service{
		r.service("stock", typicalMs, r.fleet.Servers(0, half-1), questionnaire.HarmGrave),
		r.service("logistics", typicalMs, r.fleet.Servers(half, r.options.targets-1), questionnaire.HarmMinor),
	}}
}

func (r *runner) service(name string, typicalMs int, servers []questionnaire.Server, doubled questionnaire.Harm) questionnaire.Service {
	budget := measuringBudget
	return questionnaire.Service{
		Name:                 name,
		Priority:             questionnaire.PriorityTail,
		TypicalMs:            typicalMs,
		SlotsPerServer:       3,
		ConnectionsPerServer: 200,
		MeasuringPerSecond:   &budget,
		Servers:              servers,
		Requests: []questionnaire.Request{
			{Name: "availability", AgreedMs: int(callTimeout.Milliseconds()), IfLate: questionnaire.HarmGrave, IfLost: questionnaire.HarmMinor, IfDoubled: questionnaire.HarmNone},
			{Name: "book", AgreedMs: int(callTimeout.Milliseconds()), IfLate: questionnaire.HarmMinor, IfLost: questionnaire.HarmGrave, IfDoubled: doubled},
		},
	}
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

// operate changes the configuration now and then, against other operators.
func (r *runner) operate(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(r.options.seed, uint64(200+number)))
	by := fmt.Sprintf("operator-%d", number)
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanDecision)))
		revision, err := r.fleet.Accept(r.answers(3+rng.IntN(5)), by)
		if err == nil {
			r.history.addAcceptance(acceptance{Revision: revision, By: by, At: time.Now()})
		}
	}
}

// watch looks at the daemons' dumps.
func (r *runner) watch(ctx context.Context) {
	var watching sync.WaitGroup
	for i := range r.options.entries {
		watching.Go(func() {
			for ctx.Err() == nil {
				r.look(i)
				sleep(ctx, watchInterval)
			}
		})
	}
	watching.Wait()
}

func (r *runner) look(i int) {
	dump, err := r.fleet.Dump(i)
	if err != nil {
		return
	}
	r.history.addSighting(sighting{Entry: dump.Name, Incarnation: dump.Incarnation, Revision: dump.Revision, At: time.Now()})
}

// settle waits until every entry daemon has the last accepted revision, for
// settleTime at most.
func (r *runner) settle() {
	var last uint64
	for _, a := range r.history.acceptances {
		last = max(last, a.Revision)
	}
	deadline := time.Now().Add(settleTime)
	for i := range r.options.entries {
		for {
			dump, err := r.fleet.Dump(i)
			r.history.settled[fleet.EntryName(i)] = dump.Revision
			if (err == nil && dump.Revision >= last) || time.Now().After(deadline) {
				break
			}
			time.Sleep(watchInterval)
		}
	}
}

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
