package main

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

// slowPlatformMs is the delay of a slow platform's calls, in milliseconds.
const slowPlatformMs = 400

// stragglerFactor multiplies the service time of a slow target.
const stragglerFactor = 20

// injector carries out the schedule.
type injector struct {
	fleet   *fleet.Fleet
	history *history
	report  func(format string, args ...any)
	faults  sync.WaitGroup
	// subjects holds a *sync.Mutex for each VM: its faults come one after another,
	// also when one takes longer than planned.
	subjects sync.Map
}

// run starts each fault at its time and returns when all are over.
func (i *injector) run(schedule []fault) {
	start := time.Now()
	for _, f := range schedule {
		time.Sleep(time.Until(start.Add(f.At)))
		i.faults.Go(func() {
			if err := i.cause(f); err != nil {
				i.report("fault %s: %v", f, err)
			}
		})
	}
	i.faults.Wait()
}

func (i *injector) cause(f fault) error {
	lock, _ := i.subjects.LoadOrStore(f.subject(), &sync.Mutex{})
	lock.(*sync.Mutex).Lock()
	defer lock.(*sync.Mutex).Unlock()
	switch f.Kind {
	case killEntry:
		return i.killEntry(f)
	case freezeEntry:
		return i.freezeEntry(f)
	case restartEntry:
		return i.restartEntry(f)
	case killTarget:
		return i.killTarget(f)
	case leaveTarget:
		return i.leaveTarget(f)
	case platformDown:
		return i.platform(f, platformd.Faults{Down: true})
	case platformSlow:
		return i.platform(f, platformd.Faults{DelayMs: slowPlatformMs})
	case platformLoses:
		return i.platform(f, platformd.Faults{LoseWriteShare: 0.5, BreakWatches: true, Seed: uint64(f.At)})
	default:
		return i.target(f, targetFaults(f.Kind))
	}
}

func targetFaults(kind faultKind) targetd.Faults {
	switch kind {
	case slowTarget:
		return targetd.Faults{SlowFactor: stragglerFactor}
	case muteTarget:
		return targetd.Faults{Mute: true}
	case cutTarget:
		return targetd.Faults{CutAnswers: true}
	case failTarget:
		return targetd.Faults{FailFast: true}
	default:
		return targetd.Faults{LieIdle: true, LieHealthy: true}
	}
}

func (i *injector) killEntry(f fault) error {
	from := time.Now()
	if err := i.fleet.Kill(fleet.EntryName(f.VM)); err != nil {
		return err
	}
	i.history.addViolence(violence{Entry: i.fleet.EntryAddress(f.VM), From: from, To: time.Now().Add(f.For + callTimeout)})
	time.Sleep(f.For)
	return i.startEntry(f.VM)
}

// startEntry starts an entry daemon, also while the platform is down.
func (i *injector) startEntry(vm int) error { return i.fleet.StartEntry(vm) }

func (i *injector) freezeEntry(f fault) error {
	name := fleet.EntryName(f.VM)
	i.history.addViolence(violence{Entry: i.fleet.EntryAddress(f.VM), From: time.Now(), To: time.Now().Add(f.For + callTimeout)})
	if err := i.fleet.Signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(f.For)
	return i.fleet.Signal(name, syscall.SIGCONT)
}

func (i *injector) restartEntry(f fault) error {
	name := fleet.EntryName(f.VM)
	if err := i.fleet.SetEntryState(f.VM, platform.VMLeaving); err != nil {
		return err
	}
	if err := i.fleet.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	if err := i.fleet.AwaitExit(name); err != nil {
		return err
	}
	return i.startEntry(f.VM)
}

func (i *injector) killTarget(f fault) error {
	if err := i.fleet.Kill(fleet.TargetName(f.VM)); err != nil {
		return err
	}
	time.Sleep(f.For)
	return i.fleet.StartTarget(f.VM)
}

// leaveTarget shuts a target down as its operator would, and replaces it.
func (i *injector) leaveTarget(f fault) error {
	from := time.Now()
	if err := i.fleet.SetTargetFaults(f.VM, targetd.Faults{Leaving: true}); err != nil {
		return err
	}
	if err := i.fleet.SetTargetState(f.VM, platform.VMLeaving); err != nil {
		return err
	}
	time.Sleep(f.For)
	i.history.addLeave(leave{Target: fleet.TargetName(f.VM), From: from, To: time.Now()})
	if err := i.fleet.Kill(fleet.TargetName(f.VM)); err != nil {
		return err
	}
	return i.fleet.StartTarget(f.VM)
}

func (i *injector) target(f fault, faults targetd.Faults) error {
	if err := i.fleet.SetTargetFaults(f.VM, faults); err != nil {
		return err
	}
	time.Sleep(f.For)
	return i.fleet.SetTargetFaults(f.VM, targetd.Faults{})
}

func (i *injector) platform(f fault, faults platformd.Faults) error {
	if err := i.fleet.SetPlatformFaults(faults); err != nil {
		return err
	}
	time.Sleep(f.For)
	return i.fleet.SetPlatformFaults(platformd.Faults{})
}

// reviveInterval is the pause between two looks for crashed targets.
const reviveInterval = 200 * time.Millisecond

// reviveTargets starts targets again that a request has crashed.
func (i *injector) reviveTargets(ctx context.Context, targets int) {
	for ctx.Err() == nil {
		for vm := range targets {
			if i.fleet.Exited(fleet.TargetName(vm)) {
				if err := i.fleet.StartTarget(vm); err != nil {
					i.report("target %d not started again: %v", vm, err)
				}
			}
		}
		sleep(ctx, reviveInterval)
	}
}
