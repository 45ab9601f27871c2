package admin

import (
	"fmt"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/config"
)

// administrator names the administrators in logs and the history.
const administrator = "administrator"

// identity is who sent a request.
type identity struct {
	// Team is empty for administrators.
	Team string
	// TokenID names the team's token.
	TokenID string
	// Limits are those of the team.
	Limits adminapi.Limits
	// Admin is set for administrators.
	Admin bool
}

// owns reports whether the identity may see and change what a team owns.
func (i *identity) owns(team string) bool { return i.Admin || i.Team == team }

// name returns the name for logs and the history.
func (i *identity) name() string {
	if i.Admin {
		return administrator
	}
	return i.Team + "/" + i.TokenID
}

// change is a change of configuration to be checked.
type change struct {
	services []*config.Service
	removed  []string
}

// permit checks that the identity may make a change of the given base, which has to
// be the revision that the change is based on. Errors are *ForbiddenError and
// *LimitError.
func (i *identity) permit(base *config.Snapshot, c change) error {
	if err := i.checkOwners(base, c); err != nil {
		return err
	}
	return i.checkLimits(base, c)
}

// checkOwners refuses changes of what other teams own. The error is a
// *ForbiddenError.
func (i *identity) checkOwners(base *config.Snapshot, c change) error {
	for _, service := range c.services {
		if !i.owns(service.Team) {
			return &ForbiddenError{Reason: fmt.Sprintf("service %q is given to team %q; the token is of team %q", service.Name, service.Team, i.Team)}
		}
		if err := i.checkOwner(base, service.Name); err != nil {
			return err
		}
	}
	for _, name := range c.removed {
		if err := i.checkOwner(base, name); err != nil {
			return err
		}
	}
	return nil
}

func (i *identity) checkOwner(base *config.Snapshot, name string) error {
	if current := base.Services[name]; current != nil && !i.owns(current.Team) {
		return &ForbiddenError{Reason: fmt.Sprintf("service %q belongs to another team", name)}
	}
	return nil
}

// usage is what a team has.
type usage struct{ services, targets int }

func (u *usage) add(service *config.Service) {
	u.services++
	u.targets += service.TargetCount()
}

// usageOf returns what a team has in a configuration.
func usageOf(team string, snapshot *config.Snapshot) usage {
	var u usage
	for _, service := range snapshot.Services {
		if service.Team == team {
			u.add(service)
		}
	}
	return u
}

// checkLimits refuses a change after which the team has more than its limits. A team
// that is above a limit that was lowered may still change what doesn't add to it.
func (i *identity) checkLimits(base *config.Snapshot, c change) error {
	before := usageOf(i.Team, base)
	after := usageOf(i.Team, c.applied(base))
	limits := withDefaults(i.Limits)
	if after.services > limits.Services && after.services > before.services {
		return &LimitError{What: "services", Want: after.services, Limit: limits.Services}
	}
	if after.targets > limits.Targets && after.targets > before.targets {
		return &LimitError{What: "targets", Want: after.targets, Limit: limits.Targets}
	}
	return nil
}

// applied returns the configuration after the change.
func (c change) applied(base *config.Snapshot) *config.Snapshot {
	next := &config.Snapshot{Revision: base.Revision + 1, Services: make(map[string]*config.Service, len(base.Services))}
	for name, service := range base.Services {
		next.Services[name] = service
	}
	for _, name := range c.removed {
		delete(next.Services, name)
	}
	for _, service := range c.services {
		next.Services[service.Name] = service
	}
	return next
}

// apart reports whether the services of other teams are the same in two
// configurations.
func (i *identity) apart(base, next *config.Snapshot) bool {
	for name, service := range base.Services {
		if !i.owns(service.Team) && next.Services[name] != service {
			return false
		}
	}
	for name, service := range next.Services {
		if !i.owns(service.Team) && base.Services[name] != service {
			return false
		}
	}
	return true
}
