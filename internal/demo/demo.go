// Package demo runs whole deployments in one process on loopback: a platform
// stand-in, target stand-ins and entry daemons for each, and callers. Faults
// happen on the way, and at the end the callers' records are compared with the
// targets' journals.
package demo

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/examples"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/loopback"
	"github.com/poplarwheel/poplarwheel/internal/settings"
)

// Options configure a demo.
type Options struct {
	// Duration is the time over which requests are sent.
	Duration time.Duration
	// Serve goes on sending requests after Duration, until the context ends.
	Serve bool
	// Dir is where files for trying the operators' steps are written, see
	// writeHandout. Empty means none.
	Dir string
	// Seed seeds the arrivals and the targets' service times.
	Seed uint64
	// Progress receives one line for each event and each interval.
	Progress io.Writer
	// Log receives the daemons' logs.
	Log logrus.FieldLogger
}

// StartError reports a part that could not be started.
type StartError struct {
	Part  string
	Cause error
}

// Error implements error.
func (e *StartError) Error() string { return fmt.Sprintf("demo: %s not started: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// seedStep keeps the seeds of two deployments apart.
const seedStep = 1000

// demo is one run.
type demo struct {
	options Options
	// token is the administrators' token of this run.
	token       string
	deployments []*deployment
	started     time.Time
	progressMu  sync.Mutex
}

// Run runs a demo and returns its summary. The error is a *StartError or a
// *NotInForceError; broken invariants are in the summary.
func Run(ctx context.Context, options Options) (*Summary, error) {
	d := &demo{options: options, token: rand.Text()}
	before := invariant.Breaches()
	defer d.stop()
	if err := d.start(); err != nil {
		return nil, err
	}
	d.sayWhereToLook()
	if err := d.handOut(); err != nil {
		return nil, err
	}
	d.run(ctx)
	agreed := d.waitAgreed()
	d.stop()
	return d.summarize(before, agreed), nil
}

func (d *demo) start() error {
	for i, answers := range [][]byte{examples.Swanbrook, examples.Lumenwalk} {
		options := d.options
		options.Seed += uint64(i) * seedStep
		subnet, err := loopback.Reserve()
		if err != nil {
			return &StartError{Part: "loopback addresses", Cause: err}
		}
		next, err := startDeployment(answers, subnet.Prefix, d.token, options)
		if next != nil {
			d.deployments = append(d.deployments, next)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// run sends requests and causes the faults of the timeline.
func (d *demo) run(ctx context.Context) {
	d.started = time.Now()
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var sending, watching sync.WaitGroup
	for _, deployment := range d.deployments {
		for _, stream := range deployment.streams {
			sending.Go(func() { stream.run(callers, d.options) })
		}
	}
	done := make(chan struct{})
	watching.Go(func() { d.showProgress(done) })
	watching.Go(func() { d.causeFaults(callers) })
	sending.Wait()
	close(done)
	stopCallers()
	watching.Wait()
}

// stop ends the daemons, which drain, and then everything else.
func (d *demo) stop() {
	var stopping sync.WaitGroup
	for _, deployment := range d.deployments {
		stopping.Go(deployment.stop)
	}
	stopping.Wait()
}

func (d *demo) say(format string, args ...any) {
	prefix := ""
	if !d.started.IsZero() {
		prefix = fmt.Sprintf("%5.1f s  ", time.Since(d.started).Seconds())
	}
	d.progressMu.Lock()
	defer d.progressMu.Unlock()
	_, _ = fmt.Fprintf(d.options.Progress, prefix+format+"\n", args...)
}

func (d *demo) sayWhereToLook() {
	for _, deployment := range d.deployments {
		d.say("%s: %d targets, %d entry VMs, platform at %s", deployment.name, len(deployment.targets), len(deployment.entries), deployment.platformAddress)
		for _, entry := range deployment.entries {
			d.say("  %s callers http://%s  admin http://%s/v1/dump", entry.settings.Name, entry.settings.CallerAddress(), entry.settings.AdminAddress())
		}
		if d.options.Serve {
			d.say("  administration API %s", strings.Join(deployment.addresses((*settings.Settings).APIAddress), ","))
		}
	}
	if d.options.Serve {
		d.say("administrators' token, of this demo only: %s", d.token)
	}
}

// handOut writes the files for trying the operators' steps.
func (d *demo) handOut() error {
	if d.options.Dir == "" {
		return nil
	}
	for _, deployment := range d.deployments {
		dir := filepath.Join(d.options.Dir, deployment.name)
		if err := writeHandout(dir, deployment, d.token); err != nil {
			return &StartError{Part: "folder " + dir, Cause: err}
		}
		d.say("to try the operators' steps with %s: cd %s && . ./env", deployment.name, dir)
	}
	return nil
}
