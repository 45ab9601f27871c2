// Package membership keeps a daemon's view of the entry VMs: live, leaving or
// suspected.
//
// View is a plain state machine. Evidence and time are passed in.
package membership

import (
	"sort"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// State is the view of one entry VM.
type State string

// States of entry VMs.
const (
	Live      State = "live"
	Leaving   State = "leaving"
	Suspected State = "suspected"
)

// Member is one entry VM.
type Member struct {
	Name   string
	IP     string
	Region string
	Zone   string
	State  State
}

// View is the set of entry VMs as one daemon sees it. It is not safe for
// concurrent use.
type View struct {
	listed  map[string]platform.VM
	suspect map[string]time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{listed: map[string]platform.VM{}, suspect: map[string]time.Time{}}
}

// Listed replaces the platform's list.
func (v *View) Listed(vms []platform.VM) {
	v.listed = map[string]platform.VM{}
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry {
			v.listed[vm.Name] = vm
		}
	}
	for name := range v.suspect {
		if _, ok := v.listed[name]; !ok {
			delete(v.suspect, name)
		}
	}
}

// Suspect marks a member that doesn't answer.
func (v *View) Suspect(now time.Time, name string) { v.suspect[name] = now }

// Heard clears the suspicion of a member that has answered.
func (v *View) Heard(name string) { delete(v.suspect, name) }

// Members returns the members, ordered by name.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.listed))
	for _, vm := range v.listed {
		members = append(members, Member{Name: vm.Name, IP: vm.IP, Region: vm.Region, Zone: vm.Zone, State: v.state(vm)})
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

func (v *View) state(vm platform.VM) State {
	if vm.State == platform.VMLeaving {
		return Leaving
	}
	if _, ok := v.suspect[vm.Name]; ok {
		return Suspected
	}
	return Live
}
