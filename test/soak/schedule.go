package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// faultKind is a kind of failure.
type faultKind string

// Kinds of failures.
const (
	killEntry     faultKind = "kill entry"
	freezeEntry   faultKind = "freeze entry"
	restartEntry  faultKind = "restart entry gracefully"
	killTarget    faultKind = "kill target"
	leaveTarget   faultKind = "target leaves"
	slowTarget    faultKind = "slow target"
	muteTarget    faultKind = "mute target"
	cutTarget     faultKind = "target cuts answers"
	failTarget    faultKind = "target fails fast"
	lieTarget     faultKind = "target reports no load"
	platformDown  faultKind = "platform down"
	platformSlow  faultKind = "platform slow"
	platformLoses faultKind = "platform loses answers"
)

// weights say how often each kind comes.
var weights = []struct {
	kind   faultKind
	weight int
}{
	{killEntry, 4}, {freezeEntry, 4}, {restartEntry, 2},
	{killTarget, 3}, {leaveTarget, 2}, {slowTarget, 2}, {muteTarget, 2}, {cutTarget, 2}, {failTarget, 2}, {lieTarget, 1},
	{platformDown, 2}, {platformSlow, 1}, {platformLoses, 2},
}

const (
	// meanPause is the mean time between two faults.
	meanPause = 700 * time.Millisecond
	// minLength and maxLength bound the length of a fault.
	minLength = 300 * time.Millisecond
	maxLength = 5 * time.Second
	// leaveLength is how long a target takes to leave.
	leaveLength = leaveLimit + 3*time.Second
)

// fault is one failure of the schedule.
type fault struct {
	Kind faultKind
	At   time.Duration
	For  time.Duration
	// VM is the index of the entry VM or target.
	VM int
}

// String implements fmt.Stringer.
func (f fault) String() string {
	return fmt.Sprintf("%7.3f s  %-26s vm %-3d for %.3f s", f.At.Seconds(), f.Kind, f.VM, f.For.Seconds())
}

// newSchedule returns the faults of a run, which depend on the arguments alone.
// Faults overlap; two of a kind don't meet at one VM.
func newSchedule(seed uint64, length time.Duration, entries, targets int) []fault {
	rng := rand.New(rand.NewPCG(seed, 11))
	busyUntil := map[string]time.Duration{}
	var schedule []fault
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanPause))
		if at >= length {
			break
		}
		f := randomFault(rng, entries, targets)
		f.At = at
		vm := f.subject()
		if busyUntil[vm] > at {
			continue
		}
		busyUntil[vm] = at + f.For
		schedule = append(schedule, f)
	}
	sort.Slice(schedule, func(i, j int) bool { return schedule[i].At < schedule[j].At })
	return schedule
}

func randomFault(rng *rand.Rand, entries, targets int) fault {
	f := fault{Kind: randomKind(rng), For: minLength + time.Duration(rng.Int64N(int64(maxLength-minLength)))}
	switch f.Kind {
	case killEntry, freezeEntry, restartEntry:
		f.VM = rng.IntN(entries)
	case platformDown, platformSlow, platformLoses:
	case leaveTarget:
		f.VM = rng.IntN(targets)
		f.For = leaveLength
	default:
		f.VM = rng.IntN(targets)
	}
	return f
}

func randomKind(rng *rand.Rand) faultKind {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	n := rng.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return killEntry
}

// subject names what a fault happens to.
func (f fault) subject() string {
	switch f.Kind {
	case killEntry, freezeEntry, restartEntry:
		return fmt.Sprintf("entry %d", f.VM)
	case platformDown, platformSlow, platformLoses:
		return "platform"
	default:
		return fmt.Sprintf("target %d", f.VM)
	}
}
