// Package questionnaire turns an operator's answers about services, servers and
// the harm that requests can do into a proposed configuration.
//
// Every derived value comes with a reason.
package questionnaire

import (
	"net"
	"strconv"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// Harm grades what can go wrong with a request.
type Harm string

// Grades of harm.
const (
	HarmNone  Harm = "none"
	HarmMinor Harm = "minor"
	HarmGrave Harm = "grave"
)

// Priorities of a service.
const (
	// PriorityTail puts tail latency first.
	PriorityTail = "tail"
	// PriorityCost watches the cost of measuring as well.
	PriorityCost = "cost"
)

// Answers is a filled-in questionnaire.
type Answers struct {
	// Team owns the services.
	Team string `json:"team" validate:"required,max=64"`
	// Services are the services to configure.
	Services []Service `json:"services" validate:"required,min=1,unique=Name,dive"`
}

// Service holds the answers about one service.
type Service struct {
	// Name identifies the service in calls.
	Name string `json:"name" validate:"required,max=64"`
	// Priority is "tail" or "cost".
	Priority string `json:"priority" validate:"oneof=tail cost"`
	// TypicalMs is the usual time a server takes for a request, in milliseconds.
	TypicalMs int `json:"typical_ms" validate:"min=1,max=60000"`
	// SlotsPerServer is the number of requests that a server runs at once.
	SlotsPerServer int `json:"slots_per_server" validate:"min=1,max=10000"`
	// ConnectionsPerServer is the number of connections that a server accepts.
	ConnectionsPerServer int `json:"connections_per_server" validate:"min=1,max=100000"`
	// Servers are the VMs that run the service.
	Servers []Server `json:"servers" validate:"required,min=1,unique=Name,dive"`
	// Requests are the kinds of requests.
	Requests []Request `json:"requests" validate:"required,min=1,unique=Name,dive"`
}

// Server is one VM that runs a service.
type Server struct {
	// Name is the VM's name.
	Name string `json:"name" validate:"required,max=64"`
	// IP is the VM's address.
	IP string `json:"ip" validate:"required,ip"`
	// Port serves requests.
	Port int `json:"port" validate:"min=1,max=65535"`
	// Zone is the VM's availability zone.
	Zone string `json:"zone" validate:"required,max=64"`
}

// Request holds the answers about one kind of request.
type Request struct {
	// Name identifies the request type in calls.
	Name string `json:"name" validate:"required,max=64"`
	// AgreedMs is the time agreed with the caller, in milliseconds.
	AgreedMs int `json:"agreed_ms" validate:"min=1,max=600000"`
	// IfLate is the harm of an answer after the agreed time.
	IfLate Harm `json:"if_late" validate:"oneof=none minor grave"`
	// IfLost is the harm of a request that doesn't run.
	IfLost Harm `json:"if_lost" validate:"oneof=none minor grave"`
	// IfDoubled is the harm of a request that runs twice. "none" means that the
	// request is idempotent.
	IfDoubled Harm `json:"if_doubled" validate:"oneof=none minor grave"`
}

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
	// Reasons explain the derived values.
	Reasons []Reason `json:"reasons"`
}

// Parse decodes and checks answers. The error is a *strictjson.InvalidError.
func Parse(data []byte) (*Answers, error) {
	answers := &Answers{}
	if err := strictjson.Unmarshal(data, answers); err != nil {
		return nil, err
	}
	return answers, nil
}

// Propose derives a configuration from answers. The error is a
// *strictjson.InvalidError.
func Propose(answers *Answers) (*Proposal, error) {
	proposal := &Proposal{}
	for i := range answers.Services {
		service := proposal.service(answers.Team, &answers.Services[i])
		if err := service.Check(); err != nil {
			return nil, err
		}
		proposal.Services = append(proposal.Services, service)
	}
	return proposal, nil
}

func (p *Proposal) because(path, value, because string) {
	p.Reasons = append(p.Reasons, Reason{Path: path, Value: value, Because: because})
}

const (
	// defaultEntrySet is the number of entry VMs that serve a service.
	defaultEntrySet = 3
	// retryShare is the share of calls that may be retried.
	retryShare = 0.1
	// hedgeShare is the share of calls that may be hedged.
	hedgeShare = 0.05
	// hedgeMultiple times the typical service time is the delay of a hedge.
	hedgeMultiple = 3
)

func (p *Proposal) service(team string, answers *Service) *config.Service {
	service := &config.Service{
		Name:         answers.Name,
		Team:         team,
		EntrySetSize: defaultEntrySet,
		Policy:       config.PolicyLeast,
		RetryShare:   retryShare,
		HedgeShare:   hedgeShare,
		Groups:       []config.TargetGroup{group(answers)},
	}
	p.because(answers.Name+".policy", service.Policy, "few entry VMs serve the service, so their own counts show most of a server's load")
	for i := range answers.Requests {
		service.RequestTypes = append(service.RequestTypes, p.requestType(answers, &answers.Requests[i]))
	}
	return service
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
		})
	}
	return group
}

func (p *Proposal) requestType(service *Service, answers *Request) config.RequestType {
	path := service.Name + "." + answers.Name
	requestType := config.RequestType{
		Name:         answers.Name,
		DeadlineMs:   answers.AgreedMs,
		Idempotent:   answers.IfDoubled == HarmNone,
		QueueMs:      answers.AgreedMs / 2,
		PlatformDown: config.OutageServe,
	}
	p.because(path+".deadline_ms", strconv.Itoa(answers.AgreedMs), "the agreed time")
	p.because(path+".idempotent", strconv.FormatBool(requestType.Idempotent), "harm of running twice: "+string(answers.IfDoubled))
	if requestType.Idempotent {
		p.repeatable(path, service, answers, &requestType)
	} else {
		p.once(path, answers, &requestType)
	}
	return requestType
}

func (p *Proposal) repeatable(path string, service *Service, answers *Request, requestType *config.RequestType) {
	requestType.MaxAttempts = 3
	p.because(path+".max_attempts", "3", "the request may run more than once")
	if answers.IfLate == HarmNone {
		return
	}
	requestType.HedgeAfterMs = min(service.TypicalMs*hedgeMultiple, max(answers.AgreedMs/2, 1))
	p.because(path+".hedge_after_ms", strconv.Itoa(requestType.HedgeAfterMs), "harm of a late answer: "+string(answers.IfLate))
}

func (p *Proposal) once(path string, answers *Request, requestType *config.RequestType) {
	requestType.MaxAttempts = 2
	p.because(path+".max_attempts", "2", "another attempt is made only if the first has not run")
	requestType.Recorded = answers.IfDoubled == HarmGrave
	p.because(path+".recorded", strconv.FormatBool(requestType.Recorded), "harm of running twice: "+string(answers.IfDoubled))
	if requestType.Recorded && answers.IfLost != HarmGrave {
		requestType.PlatformDown = config.OutageRefuse
	}
	p.because(path+".platform_down", requestType.PlatformDown, "harm of not running: "+string(answers.IfLost))
}
