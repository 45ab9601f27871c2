package demo

import (
	"context"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/load"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

const (
	// stragglerFactor multiplies the service time of the straggler.
	stragglerFactor = 20
	// leaveGrace is the time after which a leaving target gets no new work.
	leaveGrace = 3 * time.Second
	// progressLines is the number of progress lines of a demo.
	progressLines = 15
	// minProgressInterval is the shortest pause between two progress lines.
	minProgressInterval = time.Second
)

// Targets of each deployment, by their position, to which something happens.
const (
	stragglerIndex = 0
	leaverIndex    = 1
)

// fault happens at a share of the demo's duration.
type fault struct {
	share float64
	text  string
	cause func(*deployment)
}

func timeline() []fault {
	return []fault{
		{0.15, "a target of each deployment becomes a straggler", func(d *deployment) {
			d.targets[stragglerIndex].target.SetFaults(targetd.Faults{SlowFactor: stragglerFactor})
		}},
		{0.30, "a target of each deployment leaves", (*deployment).leaveTarget},
		{0.40, "the stragglers recover", func(d *deployment) {
			d.targets[stragglerIndex].target.SetFaults(targetd.Faults{})
		}},
		{0.45, "an operator of each deployment changes an agreed time", (*deployment).revise},
		{0.50, "an entry VM of each deployment leaves", (*deployment).leaveEntry},
		{0.65, "the platform goes down", func(d *deployment) { d.platform.SetFaults(platformd.Faults{Down: true}) }},
		{0.85, "the platform is back", func(d *deployment) { d.platform.SetFaults(platformd.Faults{}) }},
	}
}

// causeFaults goes through the timeline. The platform is up when it returns.
func (d *demo) causeFaults(ctx context.Context) {
	defer func() {
		for _, deployment := range d.deployments {
			deployment.platform.SetFaults(platformd.Faults{})
		}
	}()
	for _, fault := range timeline() {
		at := d.started.Add(time.Duration(fault.share * float64(d.options.Duration)))
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		d.say("%s", fault.text)
		for _, deployment := range d.deployments {
			fault.cause(deployment)
		}
	}
}

// leave is a target that leaves.
type leave struct {
	target *targetVM
	at     time.Time
	// settled is the number of requests received when leaveGrace was over; it is
	// closed over by a timer.
	settled chan uint64
}

// leaveTarget lets a target leave.
func (d *deployment) leaveTarget() {
	target := d.targets[leaverIndex]
	target.target.SetFaults(targetd.Faults{Leaving: true})
	vm := target.vm
	vm.State = platform.VMLeaving
	d.platform.Store().SetVM(vm)
	d.left = &leave{target: target, at: time.Now(), settled: make(chan uint64, 1)}
	left := d.left
	time.AfterFunc(leaveGrace, func() { left.settled <- target.target.Counts().Requests })
}

// workAfter returns the number of requests that the target received after
// leaveGrace; false means that the demo ended before.
func (l *leave) workAfter() (uint64, bool) {
	if l == nil {
		return 0, false
	}
	select {
	case settled := <-l.settled:
		return l.target.target.Counts().Requests - settled, true
	default:
		return 0, false
	}
}

// agreedStepMs is added to an agreed time when an operator changes it.
const agreedStepMs = 10

// revise accepts a change of the answers and notes how long it takes to be in
// force on every entry VM.
func (d *deployment) revise() {
	d.answers.Services[0].Requests[0].AgreedMs += agreedStepMs
	start := time.Now()
	revision, err := d.accept()
	if err != nil {
		d.reviseErr = err
		return
	}
	d.revision = revision
	if d.inForce(settleTimeout) {
		d.inForceAfter = time.Since(start)
	}
}

// leaveEntry shuts the last entry VM down gracefully.
func (d *deployment) leaveEntry() {
	last := len(d.entries) - 1
	entry := d.entries[last]
	d.platform.Store().SetVM(entryState(entry.settings, platform.VMLeaving))
	d.entries = d.entries[:last]
	d.leftEntries = append(d.leftEntries, entry)
	entry.cancel()
}

// showProgress prints a line at intervals until done is closed.
func (d *demo) showProgress(done <-chan struct{}) {
	interval := max(d.options.Duration/progressLines, minProgressInterval)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			report := d.total()
			d.say("%d calls, %.2f %% answered correctly in time, p50 %.1f ms, p99 %.1f ms", report.Calls, 100*report.InTimeShare(), report.LatencyMs.P50, report.LatencyMs.P99)
		case <-done:
			return
		}
	}
}

func (d *demo) total() load.Report {
	total := load.NewRecorder()
	for _, deployment := range d.deployments {
		for _, stream := range deployment.streams {
			total.Merge(stream.recorder)
		}
	}
	return total.Report()
}

// waitAgreed reports whether all daemons end at the accepted revision.
func (d *demo) waitAgreed() bool {
	agreed := true
	for _, deployment := range d.deployments {
		agreed = deployment.learnAccepted() && deployment.inForce(settleTimeout) && agreed
	}
	return agreed
}

// learnAccepted takes over the revision that the platform holds, since operators may
// have accepted others on a serving demo. It returns false if the platform doesn't
// hold the demo's own revision or a later one.
func (d *deployment) learnAccepted() bool {
	head, _, err := rollout.ReadHead(platform.NewClient(d.platformAddress, platformTimeout))
	if err != nil || head.Revision < d.revision {
		return false
	}
	d.revision = head.Revision
	return true
}
