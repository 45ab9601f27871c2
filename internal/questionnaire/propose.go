package questionnaire

import (
	"fmt"
	"net"
	"strconv"

	"github.com/poplarwheel/poplarwheel/internal/config"
)

// Reason explains one derived value.
type Reason struct {
	// Path names the value, for example "stock.availability.hedge_after_ms".
	Path string `json:"path"`
	// Value is the derived value.
	Value string `json:"value"`
	// Because says which answers it follows from.
	Because string `json:"because"`
}

// Proposal is a proposed configuration.
type Proposal struct {
	// Base is the revision that the proposal was computed against.
	Base uint64 `json:"base"`
	// Services are the proposed services.
	Services []*config.Service `json:"services"`
	// Removed names the team's services that the answers no longer have.
	Removed []string `json:"removed,omitempty"`
	// Reasons explain the derived values.
	Reasons []Reason `json:"reasons"`
	// Changes are the differences from the configuration in force.
	Changes []Change `json:"changes"`
}

// Propose derives a configuration from answers. The error is a
// *strictjson.InvalidError.
func Propose(answers *Answers) (*Proposal, error) {
	proposal := &Proposal{Changes: []Change{}}
	for i := range answers.Services {
		service := proposal.service(answers, &answers.Services[i])
		if err := service.Check(); err != nil {
			return nil, err
		}
		proposal.Services = append(proposal.Services, service)
	}
	return proposal, nil
}

func (p *Proposal) because(path string, value any, format string, args ...any) {
	p.Reasons = append(p.Reasons, Reason{Path: path, Value: fmt.Sprint(value), Because: fmt.Sprintf(format, args...)})
}

const (
	// minEntrySet keeps a service reachable when an entry VM is lost.
	minEntrySet = 2
	// maxEntrySet keeps an entry VM's own counts a large part of a target's load.
	maxEntrySet = 5
	// retryShare is the share of calls that may be retried.
	retryShare = 0.1
	// hedgeShareGrave is the share of calls that may be hedged if a late answer
	// does grave harm.
	hedgeShareGrave = 0.05
	// hedgeShareMinor is the share of calls that may be hedged otherwise.
	hedgeShareMinor = 0.02
	// probesPerServerTail is the measuring budget for each server, in reports per
	// second, of a service that puts tail latency first.
	probesPerServerTail = 4.0
	// probesPerServerCost is the same for a service that watches the cost.
	probesPerServerCost = 0.0
)

func (p *Proposal) service(all *Answers, answers *Service) *config.Service {
	service := &config.Service{
		Name:           answers.Name,
		Team:           all.Team,
		EntryVMLimit:   all.EntryVMs,
		CallsPerSecond: answers.CallsPerSecond,
		Groups:         []config.TargetGroup{group(answers)},
	}
	p.entrySet(answers, service)
	p.policy(answers, service)
	p.measuring(answers, service)
	p.shares(answers, service)
	for i := range answers.Requests {
		service.RequestTypes = append(service.RequestTypes, p.requestType(answers, &answers.Requests[i]))
	}
	return service
}

func (p *Proposal) entrySet(answers *Service, service *config.Service) {
	zones := map[string]bool{}
	for _, server := range answers.Servers {
		zones[server.Zone] = true
	}
	service.EntrySetSize = min(max(len(zones), minEntrySet), maxEntrySet)
	p.because(answers.Name+".entry_set_size", service.EntrySetSize,
		"the servers are in %d availability zones; few entry VMs see most of a server's load, and two at least survive the loss of one", len(zones))
}

func (p *Proposal) policy(answers *Service, service *config.Service) {
	service.Policy = config.PolicyLeastWork
	p.because(answers.Name+".policy", service.Policy,
		"few entry VMs serve the service, so their own attempts show a server's load and slowness; it measures nothing, which suits the priority %q too", answers.Priority)
}

func (p *Proposal) measuring(answers *Service, service *config.Service) {
	path := answers.Name + ".probes_per_second"
	if answers.MeasuringPerSecond != nil {
		service.ProbesPerSecond = *answers.MeasuringPerSecond
		p.because(path, service.ProbesPerSecond, "the answer to measuring_per_second")
		return
	}
	each := probesPerServerCost
	if answers.Priority == PriorityTail {
		each = probesPerServerTail
	}
	service.ProbesPerSecond = each * float64(len(answers.Servers))
	p.because(path, service.ProbesPerSecond, "%g a second for each of %d servers, since the priority is %q", each, len(answers.Servers), answers.Priority)
}

func (p *Proposal) shares(answers *Service, service *config.Service) {
	repeatable := worstHarm(answers, func(request *Request) Harm {
		if request.IfDoubled != HarmNone {
			return HarmNone
		}
		return request.IfLate
	})
	service.RetryShare = retryShare
	p.because(answers.Name+".retry_share", service.RetryShare, "enough for single servers that fail, too little to double the load when many do")
	switch repeatable {
	case HarmGrave:
		service.HedgeShare = hedgeShareGrave
	case HarmMinor:
		service.HedgeShare = hedgeShareMinor
	}
	p.because(answers.Name+".hedge_share", service.HedgeShare, "worst harm of a late answer among the idempotent requests: %s", repeatable)
}

func worstHarm(answers *Service, harm func(*Request) Harm) Harm {
	rank := map[Harm]int{HarmNone: 0, HarmMinor: 1, HarmGrave: 2}
	worst := HarmNone
	for i := range answers.Requests {
		if next := harm(&answers.Requests[i]); rank[next] > rank[worst] {
			worst = next
		}
	}
	return worst
}

func group(answers *Service) config.TargetGroup {
	group := config.TargetGroup{
		Name:           "main",
		Slots:          answers.SlotsPerServer,
		MaxConnections: answers.ConnectionsPerServer,
	}
	for _, server := range answers.Servers {
		group.Targets = append(group.Targets, config.Target{
			Name:    server.Name,
			Address: net.JoinHostPort(server.IP, strconv.Itoa(server.Port)),
			Zone:    server.Zone,
			Region:  server.Region,
		})
	}
	return group
}
