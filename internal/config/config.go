// Package config defines the accepted configuration: services, their groups of
// targets, and the rules of each request type.
//
// A Service is the unit of change. Services reference nothing outside
// themselves, so each can be shipped, checked and applied on its own.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"iter"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// Balancing policies that a service may name.
const (
	PolicyRandom     = "random"
	PolicyRoundRobin = "round-robin"
	// PolicyLeast ranks by the daemon's own attempts in flight.
	PolicyLeast = "least-in-flight"
	// PolicyLeastReports adds the load reports carried on answers.
	PolicyLeastReports = "least-reports"
	// PolicyLeastWork ranks by the expected work: own attempts in flight times
	// recent slowness.
	PolicyLeastWork = "least-work"
	// PolicyTwoChoices takes the better of two by own attempts in flight.
	PolicyTwoChoices = "two-choices"
	// PolicyTwoReports takes the better of two by load reports on answers.
	PolicyTwoReports = "two-choices-reports"
	// PolicyPooledProbes ranks a pool of recent probes.
	PolicyPooledProbes = "pooled-probes"
)

// Behaviours for non-idempotent requests while the platform is unavailable.
const (
	// OutageServe dispatches requests protected by the daemon's memory only.
	OutageServe = "serve"
	// OutageRefuse refuses new requests as not run.
	OutageRefuse = "refuse"
)

// Service is one service: where it runs and how calls to it are handled.
type Service struct {
	// Name identifies the service in calls and on the platform.
	Name string `json:"name" validate:"required,max=64,identifier"`
	// Team owns the service and may change it.
	Team string `json:"team" validate:"required,max=64,identifier"`
	// EntrySetSize is the number of entry VMs that callers are told to use.
	EntrySetSize int `json:"entry_set_size" validate:"min=1,max=17"`
	// EntryVMLimit is the largest number of entry VMs that can run at once, those
	// being replaced included. The measuring budget and the targets' connections
	// are divided by it. 0 means DefaultEntryVMLimit, 24.
	EntryVMLimit int `json:"entry_vm_limit,omitempty" validate:"min=0,max=10000"`
	// CallsPerSecond is the expected rate of calls to the service; busy services
	// get more entry VMs. 0 means unknown.
	CallsPerSecond float64 `json:"calls_per_second,omitempty" validate:"min=0"`
	// Policy names the balancing policy that picks a target.
	Policy string `json:"policy" validate:"required"`
	// ProbesPerSecond is the measuring budget of the whole system for this
	// service, in probes per second. 0 turns probing off.
	ProbesPerSecond float64 `json:"probes_per_second" validate:"min=0,max=100000"`
	// RetryShare limits retries to this share of calls.
	RetryShare float64 `json:"retry_share" validate:"min=0,max=1"`
	// HedgeShare limits hedged attempts to this share of calls.
	HedgeShare float64 `json:"hedge_share" validate:"min=0,max=1"`
	// Groups hold the targets.
	Groups []TargetGroup `json:"groups" validate:"required,min=1,unique=Name,dive"`
	// RequestTypes hold the rules of each kind of request.
	RequestTypes []RequestType `json:"request_types" validate:"required,min=1,unique=Name,dive"`
}

// TargetGroup is a set of interchangeable targets with equal limits.
type TargetGroup struct {
	// Name identifies the group within its service.
	Name string `json:"name" validate:"required,max=64,identifier"`
	// Slots is the number of requests that each target runs at once.
	Slots int `json:"slots" validate:"min=1,max=10000"`
	// MaxConnections is the number of connections that each target accepts
	// from the whole system.
	MaxConnections int `json:"max_connections" validate:"min=1,max=100000"`
	// Targets are the members of the group.
	Targets []Target `json:"targets" validate:"required,min=1,unique=Name,dive"`
}

// Target is one server.
type Target struct {
	// Name is the target's VM name.
	Name string `json:"name" validate:"required,max=64,identifier"`
	// Address is the target's "ip:port".
	Address string `json:"address" validate:"required,hostname_port"`
	// Zone is the target's availability zone.
	Zone string `json:"zone" validate:"required,max=64,identifier"`
	// Region is the target's region. Entry VMs of the same region use it first.
	// Empty means that no region is preferred.
	Region string `json:"region,omitempty" validate:"omitempty,max=64,identifier"`
}

// RequestType holds the rules of one kind of request.
type RequestType struct {
	// Name identifies the type within its service.
	Name string `json:"name" validate:"required,max=64,identifier"`
	// DeadlineMs is the time within which an answer counts, in milliseconds.
	DeadlineMs int `json:"deadline_ms" validate:"min=1,max=600000"`
	// Idempotent requests may be retried and hedged.
	Idempotent bool `json:"idempotent"`
	// MaxAttempts bounds the attempts for one call, hedges included.
	MaxAttempts int `json:"max_attempts" validate:"min=1,max=5"`
	// HedgeAfterMs is the delay before a second attempt, in milliseconds.
	// 0 turns hedging off.
	HedgeAfterMs int `json:"hedge_after_ms" validate:"min=0,max=600000"`
	// QueueMs bounds the wait for a free slot, in milliseconds. 0 sends calls at
	// once, also to busy targets.
	QueueMs int `json:"queue_ms" validate:"min=0,max=600000"`
	// Recorded requires an at-most-once record on the platform before dispatch.
	Recorded bool `json:"recorded"`
	// PlatformDown is the behaviour while the platform is unavailable.
	PlatformDown string `json:"platform_down" validate:"oneof=serve refuse"`
}

// Deadline returns DeadlineMs as a duration.
func (t *RequestType) Deadline() time.Duration {
	return time.Duration(t.DeadlineMs) * time.Millisecond
}

// HedgeAfter returns HedgeAfterMs as a duration.
func (t *RequestType) HedgeAfter() time.Duration {
	return time.Duration(t.HedgeAfterMs) * time.Millisecond
}

// QueueLimit returns QueueMs as a duration.
func (t *RequestType) QueueLimit() time.Duration {
	return time.Duration(t.QueueMs) * time.Millisecond
}

// RequestType returns the type with the given name, or nil.
func (s *Service) RequestType(name string) *RequestType {
	for i := range s.RequestTypes {
		if s.RequestTypes[i].Name == name {
			return &s.RequestTypes[i]
		}
	}
	return nil
}

// Targets yields the targets of all groups.
func (s *Service) Targets() iter.Seq[Target] {
	return func(yield func(Target) bool) {
		for _, group := range s.Groups {
			for _, target := range group.Targets {
				if !yield(target) {
					return
				}
			}
		}
	}
}

// TargetCount returns the number of targets of all groups.
func (s *Service) TargetCount() int {
	count := 0
	for _, group := range s.Groups {
		count += len(group.Targets)
	}
	return count
}

// Identity returns the fields that a target keeps over changes of the
// configuration. A target with another name or address is another target.
func (t Target) Identity() Target { return Target{Name: t.Name, Address: t.Address} }

// DefaultEntryVMLimit is the default of EntryVMLimit.
const DefaultEntryVMLimit = 24

// EntryVMs returns EntryVMLimit or its default.
func (s *Service) EntryVMs() int {
	if s.EntryVMLimit == 0 {
		return DefaultEntryVMLimit
	}
	return s.EntryVMLimit
}

// Check validates the service, including the rules that span fields. The error
// is a *strictjson.InvalidError.
func (s *Service) Check() error {
	if err := strictjson.Validate(s); err != nil {
		return err
	}
	invalid := &strictjson.InvalidError{}
	s.checkTargets(invalid)
	s.checkConnections(invalid)
	s.checkRequestTypes(invalid)
	if len(invalid.Fields) > 0 {
		return invalid
	}
	return nil
}

func (s *Service) checkTargets(invalid *strictjson.InvalidError) {
	seen := map[string]string{}
	for _, group := range s.Groups {
		for _, target := range group.Targets {
			if other, ok := seen[target.Name]; ok {
				problem := strictjson.Invalid(s.Name+"."+group.Name+"."+target.Name, "target is in group %q too", other)
				invalid.Fields = append(invalid.Fields, problem.Fields...)
			}
			seen[target.Name] = group.Name
		}
	}
}

// checkConnections makes sure that every entry VM may hold a connection to each
// target.
func (s *Service) checkConnections(invalid *strictjson.InvalidError) {
	for _, group := range s.Groups {
		if group.MaxConnections >= s.EntryVMs() {
			continue
		}
		problem := strictjson.Invalid(s.Name+"."+group.Name+".max_connections", "must be at least the number of entry VMs, %d", s.EntryVMs())
		invalid.Fields = append(invalid.Fields, problem.Fields...)
	}
}

func (s *Service) checkRequestTypes(invalid *strictjson.InvalidError) {
	for i := range s.RequestTypes {
		requestType := &s.RequestTypes[i]
		path := s.Name + "." + requestType.Name
		for _, problem := range requestType.contradictions() {
			problem.Path = path + "." + problem.Path
			invalid.Fields = append(invalid.Fields, problem)
		}
	}
}

// contradictions returns the problems that span fields.
func (t *RequestType) contradictions() []*strictjson.FieldError {
	var problems []*strictjson.FieldError
	if !t.Idempotent && t.HedgeAfterMs != 0 {
		problems = append(problems, &strictjson.FieldError{Path: "hedge_after_ms", Problem: "must be 0 for a request type that is not idempotent"})
	}
	if t.Idempotent && t.Recorded {
		problems = append(problems, &strictjson.FieldError{Path: "recorded", Problem: "must be false for a request type that is idempotent"})
	}
	if t.QueueMs > t.DeadlineMs {
		problems = append(problems, &strictjson.FieldError{Path: "queue_ms", Problem: fmt.Sprintf("is %d, must be at most the deadline, %d", t.QueueMs, t.DeadlineMs)})
	}
	return problems
}

// Encode returns the canonical JSON of the service.
func (s *Service) Encode() ([]byte, error) {
	return json.Marshal(s)
}

// ParseService decodes and checks a service. The error is a
// *strictjson.InvalidError.
func ParseService(data []byte) (*Service, error) {
	service := &Service{}
	if err := strictjson.Unmarshal(data, service); err != nil {
		return nil, err
	}
	if err := service.Check(); err != nil {
		return nil, err
	}
	return service, nil
}

// Hash returns the content address of an encoded service.
func Hash(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:12])
}

// Snapshot is one whole accepted configuration. It is immutable.
type Snapshot struct {
	// Revision grows with each acceptance. 0 means that nothing was accepted.
	Revision uint64
	// Services are keyed by name.
	Services map[string]*Service
}

// Empty is the configuration before the first acceptance.
func Empty() *Snapshot {
	return &Snapshot{Services: map[string]*Service{}}
}
