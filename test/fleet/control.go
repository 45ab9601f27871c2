package fleet

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
)

func (f *Fleet) entryVM(i int, state platform.VMState) platform.VM {
	return platform.VM{Name: EntryName(i), IP: f.entryIP(i), Region: region, Zone: Zone(i), Role: platform.RoleEntry, State: state}
}

func (f *Fleet) targetVM(i int, state platform.VMState) platform.VM {
	return platform.VM{Name: TargetName(i), IP: f.TargetIP(i), Region: region, Zone: Zone(i), Role: platform.RoleTarget, State: state}
}

// SetVM adds or replaces a VM in the platform's list.
func (f *Fleet) SetVM(vm platform.VM) error {
	return put("http://"+f.Platform+platformd.PathControlVMs, vm)
}

// SetTargetState changes the platform's view of target i.
func (f *Fleet) SetTargetState(i int, state platform.VMState) error {
	return f.SetVM(f.targetVM(i, state))
}

// SetEntryState changes the platform's view of entry VM i.
func (f *Fleet) SetEntryState(i int, state platform.VMState) error {
	return f.SetVM(f.entryVM(i, state))
}

// SetPlatformFaults replaces the platform's faults.
func (f *Fleet) SetPlatformFaults(faults platformd.Faults) error {
	return put("http://"+f.Platform+platformd.PathControlFaults, faults)
}

// SetTargetFaults replaces the faults of target i.
func (f *Fleet) SetTargetFaults(i int, faults targetd.Faults) error {
	return put("http://"+f.TargetAddress(i)+targetd.PathFaults, faults)
}

// Dump returns the state of entry daemon i.
func (f *Fleet) Dump(i int) (daemon.Dump, error) {
	var dump daemon.Dump
	err := get("http://"+f.AdminAddress(i)+daemon.PathDump, &dump)
	return dump, err
}

// Journal returns what target i ran since its start.
func (f *Fleet) Journal(i int) ([]targetd.Run, error) {
	var runs []targetd.Run
	err := get("http://"+f.TargetAddress(i)+targetd.PathJournal, &runs)
	return runs, err
}

// Counts returns the messages that target i has received.
func (f *Fleet) Counts(i int) (targetd.Counts, error) {
	var counts targetd.Counts
	err := get("http://"+f.TargetAddress(i)+targetd.PathCounts, &counts)
	return counts, err
}

// PlatformCounts returns the calls that the platform received.
func (f *Fleet) PlatformCounts() (platformd.Counts, error) {
	var counts platformd.Counts
	err := get("http://"+f.Platform+platformd.PathControlCounts, &counts)
	return counts, err
}

// Ready returns the revision that entry daemon i has in force.
func (f *Fleet) Ready(i int) (daemon.Ready, error) {
	var ready daemon.Ready
	err := get("http://"+f.AdminAddress(i)+daemon.PathReady, &ready)
	return ready, err
}

func put(url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI(url)
	request.SetBody(body)
	return fasthttp.DoTimeout(request, response, callTimeout)
}

func get(url string, value any) error {
	_, body, err := fasthttp.GetTimeout(nil, url, callTimeout)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, value)
}
