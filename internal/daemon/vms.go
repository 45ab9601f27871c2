package daemon

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/backoff"
	"github.com/poplarwheel/poplarwheel/internal/platform"
)

const (
	// listWait is how long one watch of the VM list waits.
	listWait = 5 * time.Second
	// listPeriod is the longest time between two reads of the VM list.
	listPeriod = 15 * time.Second
	// listFloor is the shortest time that a watch without news may take before
	// the next one follows at once.
	listFloor = time.Second
	// listRetryBase and listRetryMax bound the pauses after failed reads.
	listRetryBase = 500 * time.Millisecond
	listRetryMax  = 8 * time.Second
)

// followVMs follows the platform's list of VMs until the daemon stops.
func (d *Daemon) followVMs() {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	pause := backoff.Backoff{Base: listRetryBase, Max: listRetryMax}
	follower := vmFollower{daemon: d}
	for !d.stopping() {
		began := time.Now()
		changed, err := follower.step(rng, began)
		if err == nil && (changed || time.Since(began) > listFloor) {
			pause.Reset()
			continue
		}
		if err != nil {
			d.log.WithError(err).Warn("VM list not read")
		}
		d.sleep(pause.Next(rng))
	}
}

// vmFollower is the state of followVMs.
type vmFollower struct {
	daemon *Daemon
	seen   platform.Version
	// readAt is when the list is read without waiting, in case watches are
	// silent.
	readAt time.Time
	// targets are the target VMs that were ever listed.
	targets map[string]bool
}

// step takes one answer of the platform.
func (f *vmFollower) step(rng *rand.Rand, now time.Time) (changed bool, err error) {
	wait := listWait
	if !f.readAt.After(now) {
		wait = 0
	}
	list, err := f.daemon.store.VMs(f.seen, wait)
	if err != nil {
		return false, err
	}
	if wait == 0 {
		f.readAt = now.Add(backoff.Jitter(rng, listPeriod))
	}
	if list.Version == f.seen {
		return wait == 0, nil
	}
	f.seen = list.Version
	f.daemon.members.listed(list.VMs)
	f.daemon.targetsListed(f.leavingTargets(list.VMs))
	return true, nil
}

// targetsListed tells the proxy which targets the platform's list shows as
// leaving or gone, and which of those are back.
func (d *Daemon) targetsListed(leaving map[string]bool) {
	var gone, back []string
	for name := range leaving {
		gone = append(gone, name)
	}
	for name := range *d.targetsLeaving.Swap(&leaving) {
		if !leaving[name] {
			back = append(back, name)
		}
	}
	d.proxy.SetTargetsLeavingByPlatform(gone, back)
}

// targetsConfigured repeats for new targets what the platform's list shows.
func (d *Daemon) targetsConfigured() {
	d.proxy.SetTargetsLeavingByPlatform(slices.Collect(maps.Keys(*d.targetsLeaving.Load())), nil)
}

// leavingTargets returns the target VMs that are leaving, or that the list has
// lost.
func (f *vmFollower) leavingTargets(vms []platform.VM) map[string]bool {
	leaving := map[string]bool{}
	for name := range f.targets {
		leaving[name] = true
	}
	if f.targets == nil {
		f.targets = map[string]bool{}
	}
	for _, vm := range vms {
		if vm.Role != platform.RoleTarget {
			continue
		}
		f.targets[vm.Name] = true
		delete(leaving, vm.Name)
		if vm.State == platform.VMLeaving {
			leaving[vm.Name] = true
		}
	}
	return leaving
}
