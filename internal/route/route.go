// Package route matches requests to routes by host and path prefix, and distributes the
// requests of a route over its services.
//
// A Table is one accepted configuration, compiled for lookup. It is immutable, so a new
// one can replace it while requests in progress still use the old one.
package route

import (
	"bytes"
	"math"
	"strings"
	"time"
)

// Limits are the limits for requests and connections of callers.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int
	// ReceiveTimeout is the maximum time for receiving a request.
	ReceiveTimeout time.Duration
	// IdleTimeout is the maximum time between two requests on a connection.
	IdleTimeout time.Duration
}

// WeightedService is a service that receives a weighted part of a route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Route tells how requests to a host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// WeightedServices are the services that receive the requests. There is at least one.
	WeightedServices []WeightedService
	// Idempotent is set if a request may be executed more than once.
	Idempotent bool
	// MaxAttempts is the maximum number of targets that a request is sent to.
	MaxAttempts int
	// Timeout is the maximum time until the caller receives a response.
	Timeout time.Duration
	// Objective is the latency objective: a response within it is worth most.
	Objective time.Duration
	// Priority orders waiting requests; 0 is the highest priority.
	Priority int
	// AllowAnonymous lets requests without a key use the route.
	AllowAnonymous bool
}

// Service is the configuration of a service's targets.
type Service struct {
	Name string
	// HealthPath is the path of the targets' health checks.
	HealthPath string
	// MaxConnections is the maximum number of connections of all callers to one target.
	MaxConnections int
	// ColdStart is how long a target is cold after its start. 0 means that targets don't start
	// cold.
	ColdStart time.Duration
	// ColdRate is the number of requests per second, from all daemons together, that a cold
	// target bears. 0 means that there is no limit.
	ColdRate float64
}

// Config is a configuration before it is compiled to a Table.
type Config struct {
	// Revision increases with each accepted configuration.
	Revision uint64
	Routes   []*Route
	Services []*Service
	Limits   Limits
	// RequireKeys is set if requests need the key of a workspace, except on routes that allow
	// anonymous requests.
	RequireKeys bool
	Workspaces  []*Workspace
}

// Table is a compiled configuration. It is immutable and safe for concurrent use.
type Table struct {
	config   Config
	services map[string]*Service
	// routes holds the routes by host, in lower case, and path prefix.
	routes map[string]map[string]*Route
	// workspaces holds the workspaces by the hash of each of their keys.
	workspaces   map[keyHash]*Workspace
	maxQuotaRate float64
}

// Compile validates a configuration and builds its lookup table. The error is an
// *InvalidError.
func Compile(config Config) (*Table, error) {
	t := &Table{
		config:   config,
		services: make(map[string]*Service, len(config.Services)),
		routes:   map[string]map[string]*Route{},

		workspaces: map[keyHash]*Workspace{},
	}
	if err := config.Limits.validate(); err != nil {
		return nil, err
	}
	if err := t.addServices(); err != nil {
		return nil, err
	}
	if err := t.addRoutes(); err != nil {
		return nil, err
	}
	if err := t.addWorkspaces(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Table) addServices() error {
	for _, service := range t.config.Services {
		if service.Name == "" {
			return &InvalidError{Problem: MissingServiceName}
		}
		if t.services[service.Name] != nil {
			return &InvalidError{Problem: DuplicateServiceName}
		}
		if service.ColdStart < 0 || !isNotNegative(service.ColdRate) {
			return &InvalidError{Problem: InvalidColdStart}
		}
		t.services[service.Name] = service
	}
	return nil
}

func (t *Table) addRoutes() error {
	names := make(map[string]struct{}, len(t.config.Routes))
	for _, r := range t.config.Routes {
		if err := t.validate(r); err != nil {
			return err
		}
		if _, found := names[r.Name]; found {
			return &InvalidError{Route: r.Name, Problem: DuplicateName}
		}
		names[r.Name] = struct{}{}
		if err := t.addRoute(r); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) addRoute(r *Route) error {
	host := strings.ToLower(r.Host)
	byPrefix := t.routes[host]
	if byPrefix == nil {
		byPrefix = map[string]*Route{}
		t.routes[host] = byPrefix
	}
	if byPrefix[r.Prefix] != nil {
		return &InvalidError{Route: r.Name, Problem: DuplicatePrefix}
	}
	byPrefix[r.Prefix] = r
	return nil
}

// maxDuration is the longest timeout and objective of a route that is taken for intended.
const maxDuration = 365 * 24 * time.Hour

func (t *Table) validate(r *Route) error {
	if err := validateMatch(r); err != nil {
		return err
	}
	if r.Timeout <= 0 || r.Timeout > maxDuration {
		return &InvalidError{Route: r.Name, Problem: InvalidTimeout}
	}
	if r.Objective < 0 || r.Objective > maxDuration {
		return &InvalidError{Route: r.Name, Problem: InvalidObjective}
	}
	total := 0.0
	for _, weighted := range r.WeightedServices {
		if t.services[weighted.Service] == nil {
			return &InvalidError{Route: r.Name, Problem: UnknownService}
		}
		if weighted.Weight < 0 {
			return &InvalidError{Route: r.Name, Problem: InvalidWeights}
		}
		total += weighted.Weight
	}
	if total <= 0 || math.IsInf(total, 0) {
		return &InvalidError{Route: r.Name, Problem: InvalidWeights}
	}
	if r.MaxAttempts < 1 {
		return &InvalidError{Route: r.Name, Problem: InvalidMaxAttempts}
	}
	return nil
}

const (
	// outsideHost are characters that end the name in a request's host.
	outsideHost = ":/?#@ \t"
	// outsidePath are characters that no path of a request contains.
	outsidePath = "?# \t"
)

// validateMatch rejects a route that no request can match.
func validateMatch(r *Route) error {
	switch {
	case r.Name == "":
		return &InvalidError{Route: r.Host + r.Prefix, Problem: MissingName}
	case r.Host == "":
		return &InvalidError{Route: r.Name, Problem: MissingHost}
	case strings.ContainsAny(r.Host, outsideHost):
		return &InvalidError{Route: r.Name, Problem: InvalidHost}
	case !strings.HasPrefix(r.Prefix, "/"), !strings.HasSuffix(r.Prefix, "/"), strings.ContainsAny(r.Prefix, outsidePath):
		return &InvalidError{Route: r.Name, Problem: InvalidPrefix}
	}
	return nil
}

// validate rejects limits under which no request could be served.
func (l *Limits) validate() error {
	switch {
	case l.HeaderBytes <= 0:
		return &InvalidError{Problem: InvalidHeaderBytes}
	case l.BodyBytes < 0:
		return &InvalidError{Problem: InvalidBodyBytes}
	case l.ReceiveTimeout <= 0:
		return &InvalidError{Problem: InvalidReceiveTimeout}
	case l.IdleTimeout <= 0:
		return &InvalidError{Problem: InvalidIdleTimeout}
	}
	return nil
}

// Revision returns the configuration's revision.
func (t *Table) Revision() uint64 { return t.config.Revision }

// Limits returns the limits for requests and connections of callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns the configured services. Callers of it must not modify them.
func (t *Table) Services() []*Service { return t.config.Services }

// Routes returns the configured routes. Callers of it must not modify them.
func (t *Table) Routes() []*Route { return t.config.Routes }

// Find returns the route of the given host with the longest prefix that matches path, or
// nil if none matches. The case of the host doesn't matter. The path must not include the query.
func (t *Table) Find(host, path []byte) *Route {
	byPrefix := t.routes[string(host)]
	if byPrefix == nil {
		byPrefix = t.routes[string(bytes.ToLower(host))]
	}
	if byPrefix == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := byPrefix[string(path[:end])]; r != nil {
			return r
		}
	}
	return nil
}
