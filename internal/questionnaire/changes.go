package questionnaire

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// Change is one difference between the configuration in force and a proposal.
type Change struct {
	// Path names the value, for example "stock.availability.hedge_after_ms".
	Path string `json:"path"`
	// From is the value in force, or empty if there is none.
	From string `json:"from,omitempty"`
	// To is the proposed value, or empty if it is removed.
	To string `json:"to,omitempty"`
}

// Compare completes a proposal with its differences from the configuration in
// force, and with the team's services to remove. The error is a
// *strictjson.InvalidError that names services of other teams.
func (p *Proposal) Compare(team string, inForce *config.Snapshot) error {
	p.Base = inForce.Revision
	invalid := &strictjson.InvalidError{}
	proposed := map[string]bool{}
	for _, service := range p.Services {
		proposed[service.Name] = true
		current := inForce.Services[service.Name]
		if current != nil && current.Team != team {
			problem := strictjson.Invalid(service.Name, "is a service of team %q", current.Team)
			invalid.Fields = append(invalid.Fields, problem.Fields...)
		}
		p.Changes = append(p.Changes, differences(current, service)...)
	}
	for name, service := range inForce.Services {
		if service.Team == team && !proposed[name] {
			p.Removed = append(p.Removed, name)
			p.Changes = append(p.Changes, Change{Path: name, From: "service"})
		}
	}
	slices.Sort(p.Removed)
	slices.SortFunc(p.Changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	if len(invalid.Fields) > 0 {
		return invalid
	}
	return nil
}

// differences compares two versions of a service; current may be nil.
func differences(current, proposed *config.Service) []Change {
	if current == nil {
		return []Change{{Path: proposed.Name, To: "service"}}
	}
	before, after := leaves(current), leaves(proposed)
	var changes []Change
	for path, to := range after {
		if from, ok := before[path]; !ok || from != to {
			changes = append(changes, Change{Path: path, From: from, To: to})
		}
	}
	for path, from := range before {
		if _, ok := after[path]; !ok {
			changes = append(changes, Change{Path: path, From: from})
		}
	}
	return changes
}

// leaves returns the values of a service by path.
func leaves(service *config.Service) map[string]string {
	values := map[string]string{}
	encoded, err := service.Encode()
	if err != nil {
		return values
	}
	var decoded map[string]any
	if json.Unmarshal(encoded, &decoded) == nil {
		collect(values, service.Name, decoded)
	}
	return values
}

func collect(values map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			collectField(values, path, name, field)
		}
	case []any:
		for i, element := range value {
			collect(values, elementPath(path, i, element), element)
		}
	default:
		values[path] = fmt.Sprint(value)
	}
}

// collectField leaves out the names of lists whose elements have names, so that
// paths read like those of reasons.
func collectField(values map[string]string, path, name string, field any) {
	if _, list := field.([]any); list {
		collect(values, path, field)
		return
	}
	collect(values, path+"."+name, field)
}

func elementPath(path string, i int, element any) string {
	if fields, ok := element.(map[string]any); ok {
		if name, ok := fields["name"].(string); ok {
			return path + "." + name
		}
	}
	return fmt.Sprintf("%s[%d]", path, i)
}
