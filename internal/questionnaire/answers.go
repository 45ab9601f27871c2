// Package questionnaire turns an operator's answers about services, servers and
// the harm that requests can do into a proposed configuration.
//
// Every derived value comes with a reason.
package questionnaire

import (
	"bytes"

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
	Team string `json:"team" validate:"required,max=64,identifier"`
	// EntryVMs is the largest number of entry VMs that run at once, those being
	// replaced included. Absent, config.DefaultEntryVMLimit counts.
	EntryVMs int `json:"entry_vms,omitempty" validate:"omitempty,min=1,max=10000"`
	// Services are the services to configure.
	Services []Service `json:"services" validate:"required,min=1,unique=Name,dive"`
}

// Service holds the answers about one service.
type Service struct {
	// Name identifies the service in calls.
	Name string `json:"name" validate:"required,max=64,identifier"`
	// Priority is "tail" or "cost".
	Priority string `json:"priority" validate:"oneof=tail cost"`
	// TypicalMs is the usual time a server takes for a request, in milliseconds.
	TypicalMs int `json:"typical_ms" validate:"min=1,max=60000"`
	// SlotsPerServer is the number of requests that a server runs at once.
	SlotsPerServer int `json:"slots_per_server" validate:"min=1,max=10000"`
	// ConnectionsPerServer is the number of connections that a server accepts.
	ConnectionsPerServer int `json:"connections_per_server" validate:"min=1,max=100000"`
	// CallsPerSecond is the expected rate of calls, in calls per second. Absent, it
	// is unknown.
	CallsPerSecond float64 `json:"calls_per_second,omitempty" validate:"omitempty,min=0,max=1000000"`
	// MeasuringPerSecond is the most load reports that the whole system may ask
	// for, in reports per second. Absent, it is derived from Priority.
	MeasuringPerSecond *float64 `json:"measuring_per_second,omitempty" validate:"omitempty,min=0,max=10000"`
	// Servers are the VMs that run the service.
	Servers []Server `json:"servers" validate:"required,min=1,unique=Name,dive"`
	// Requests are the kinds of requests.
	Requests []Request `json:"requests" validate:"required,min=1,unique=Name,dive"`
}

// Server is one VM that runs a service.
type Server struct {
	// Name is the VM's name.
	Name string `json:"name" validate:"required,max=64,identifier"`
	// IP is the VM's address.
	IP string `json:"ip" validate:"required,ip"`
	// Port serves requests.
	Port int `json:"port" validate:"min=1,max=65535"`
	// Zone is the VM's availability zone.
	Zone string `json:"zone" validate:"required,max=64,identifier"`
	// Region is the VM's region. Absent, no region is preferred.
	Region string `json:"region,omitempty" validate:"omitempty,max=64,identifier"`
}

// Request holds the answers about one kind of request.
type Request struct {
	// Name identifies the request type in calls.
	Name string `json:"name" validate:"required,max=64,identifier"`
	// AgreedMs is the time agreed with the caller, in milliseconds.
	AgreedMs int `json:"agreed_ms" validate:"min=1,max=600000"`
	// IfLate is the harm of an answer after the agreed time.
	IfLate Harm `json:"if_late" validate:"oneof=none minor grave"`
	// IfLost is the harm of a request that doesn't run.
	IfLost Harm `json:"if_lost" validate:"oneof=none minor grave"`
	// IfDoubled is the harm of a request that runs twice. "none" means that the
	// request is idempotent.
	IfDoubled Harm `json:"if_doubled" validate:"oneof=none minor grave"`
	// IfPlatformDown is "serve" or "refuse": what to do with a non-idempotent
	// request while the platform can't record it. Absent, it is derived from the
	// harm.
	IfPlatformDown string `json:"if_platform_down,omitempty" validate:"omitempty,oneof=serve refuse"`
}

// commentPrefix starts a line that Parse ignores.
const commentPrefix = "//"

// Parse decodes and checks answers. Lines that start with // are ignored; no JSON
// string spans lines, so they are never part of an answer. The error is a
// *strictjson.InvalidError.
func Parse(data []byte) (*Answers, error) {
	answers := &Answers{}
	if err := strictjson.Unmarshal(withoutComments(data), answers); err != nil {
		return nil, err
	}
	return answers, nil
}

func withoutComments(data []byte) []byte {
	kept := make([]byte, 0, len(data))
	for line := range bytes.Lines(data) {
		if !bytes.HasPrefix(bytes.TrimLeft(line, " \t"), []byte(commentPrefix)) {
			kept = append(kept, line...)
		}
	}
	return kept
}
