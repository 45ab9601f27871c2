package questionnaire

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/route"
)

const (
	// routeTimeoutFactor times the agreed time is when a caller has to have its answer.
	routeTimeoutFactor = 4
	// healthPath is where targets answer health checks.
	healthPath = "/health"
	// hostSuffix ends the hosts of services.
	hostSuffix = ".example"
)

// Limits of what callers may send, for deployments that route by host and path.
const (
	routeHeaderBytes   = 16 << 10
	routeBodyBytes     = 1 << 20
	routeHeaderTimeout = 5 * time.Second
	routeIdleTimeout   = 15 * time.Second
)

// Routes derives a configuration for daemons that route by host and path: a host for
// each service, and a path for each kind of request. Revision is that of the
// configuration.
func Routes(answers *Answers, revision uint64) route.Config {
	document := route.Config{
		Revision: revision,
		Limits: route.Limits{
			HeaderBytes:    routeHeaderBytes,
			BodyBytes:      routeBodyBytes,
			ReceiveTimeout: routeHeaderTimeout,
			IdleTimeout:    routeIdleTimeout,
		},
	}
	for i := range answers.Services {
		service := &answers.Services[i]
		document.Services = append(document.Services, &route.Service{
			Name:           service.Name,
			HealthPath:     healthPath,
			MaxConnections: service.ConnectionsPerServer,
		})
		for j := range service.Requests {
			document.Routes = append(document.Routes, routeOf(service, &service.Requests[j]))
		}
	}
	return document
}

func routeOf(service *Service, request *Request) *route.Route {
	agreed := time.Duration(request.AgreedMs) * time.Millisecond
	r := &route.Route{
		Name:             service.Name + "-" + request.Name,
		Host:             service.Name + hostSuffix,
		Prefix:           "/" + request.Name + "/",
		WeightedServices: []route.WeightedService{{Service: service.Name, Weight: 1}},
		Idempotent:       request.IfDoubled == HarmNone,
		MaxAttempts:      onceAttempts,
		Timeout:          routeTimeoutFactor * agreed,
		Objective:        agreed,
		Priority:         priorityOf(request),
	}
	if r.Idempotent {
		r.MaxAttempts = repeatableAttempts
	}
	return r
}

// priorityOf ranks a request by the worst harm of not serving it well; 0 comes first.
func priorityOf(request *Request) int {
	ranks := map[Harm]int{HarmGrave: 0, HarmMinor: 1, HarmNone: 2}
	return min(ranks[request.IfLate], ranks[request.IfLost])
}
