package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/settings"
)

const (
	// spareCount is the number of entry VMs that the demo describes and doesn't run.
	spareCount = 2
	dirMode    = 0o700
	fileMode   = 0o600
)

// writeHandout writes what the steps of docs/operators need:
//
//	env             addresses and the token, as shell variables
//	answers.json    the answers in force
//	spare-N.json    settings of an entry VM that doesn't run
//	spare-N.vm.json its entry in the platform's list
func writeHandout(dir string, d *deployment, token string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	values := map[string]any{"answers.json": d.answers}
	for i := range spareCount {
		spare := d.entrySettings(entryCount + i)
		values[fmt.Sprintf("spare-%d.json", i+1)] = spare
		values[fmt.Sprintf("spare-%d.vm.json", i+1)] = entryState(spare, platform.VMLive)
	}
	for name, value := range values {
		if err := writeValue(filepath.Join(dir, name), value); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "env"), []byte(d.environment(token)), fileMode)
}

func writeValue(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), fileMode)
}

// environment returns the shell variables that the steps use.
func (d *deployment) environment(token string) string {
	service, once := d.onceType()
	first := d.entries[0].settings
	lines := []string{
		"export POPLARWHEEL_TOKEN=" + token,
		"export API=" + strings.Join(d.addresses((*settings.Settings).APIAddress), ","),
		"export ADMIN=" + first.AdminAddress(),
		"export ENTRIES=" + strings.Join(d.bootstrap(), ","),
		"export PLATFORM=" + d.platformAddress,
		"export TEAM=" + d.name,
		"export SERVICE=" + service.Name,
		"export TYPE=" + once,
		"export TARGET=" + service.Servers[0].Name,
		"export TARGET_ADDRESS=" + fmt.Sprintf("%s:%d", service.Servers[0].IP, service.Servers[0].Port),
	}
	for i := range spareCount {
		lines = append(lines, fmt.Sprintf("export SPARE_%d_ADMIN=%s", i+1, d.entrySettings(entryCount+i).AdminAddress()))
	}
	return strings.Join(lines, "\n") + "\n"
}

// onceType returns the first service that has a non-idempotent request type, and the
// type's name.
func (d *deployment) onceType() (*questionnaire.Service, string) {
	for i := range d.answers.Services {
		service := &d.answers.Services[i]
		for _, request := range service.Requests {
			if request.IfDoubled != questionnaire.HarmNone {
				return service, request.Name
			}
		}
	}
	return &d.answers.Services[0], d.answers.Services[0].Requests[0].Name
}
