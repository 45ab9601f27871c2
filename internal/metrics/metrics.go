// Package metrics exposes the state of an entry daemon to Prometheus.
//
// Each daemon has a registry of its own. Names start with "poplarwheel_", times
// are in seconds, and label values come from the configuration alone, never from
// callers.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "poplarwheel"

// Labels.
const (
	labelService   = "service"
	labelType      = "type"
	labelOutcome   = "outcome"
	labelReason    = "reason"
	labelKind      = "kind"
	labelOperation = "operation"
	labelResult    = "result"
	labelInvariant = "invariant"
	labelPath      = "path"
	labelClass     = "class"
	labelCode      = "code"
)

// Registry holds the metrics of one daemon.
type Registry struct {
	registry *prometheus.Registry
	// Calls are the metrics of calls.
	Calls *Calls
	// Platform are the metrics of calls to the platform.
	Platform *Platform
	// API are the metrics of the administration API.
	API *API
}

// NewRegistry returns the metrics of one daemon, with those of the Go runtime and
// of the process.
func NewRegistry() *Registry {
	r := &Registry{registry: prometheus.NewRegistry()}
	r.Calls = newCalls(r.registry)
	r.Platform = newPlatform(r.registry)
	r.API = newAPI(r.registry)
	r.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return r
}

// Gauge registers a value that is read at each scrape. Name is without prefix and
// has the unit as its suffix.
func (r *Registry) Gauge(name, help string, read func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Counter registers a count that is read at each scrape. Name is without prefix
// and ends in "_total".
func (r *Registry) Counter(name, help string, read func() float64) {
	r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Handler serves the metrics.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2})
}
