package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// Service are the counts of one service's attempts.
type Service struct {
	// Name is the service.
	Name string
	// First counts first attempts.
	First uint64
	// Retries counts attempts made after another one failed.
	Retries uint64
	// Hedges counts attempts made beside a live one.
	Hedges uint64
	// InFlight is the number of attempts in flight.
	InFlight int
	// Targets is the number of configured targets.
	Targets int
	// Leaving is the number of targets known to be leaving.
	Leaving int
}

// Kinds of attempts.
const (
	kindFirst = "first"
	kindRetry = "retry"
	kindHedge = "hedge"
)

// Services registers the counts of all services, read at each scrape.
func (r *Registry) Services(read func() []Service) {
	r.registry.MustRegister(&services{read: read})
}

// services reads the counts at each scrape.
type services struct{ read func() []Service }

var (
	attemptsDesc = prometheus.NewDesc(namespace+"_attempts_total",
		"Attempts at targets: first ones, retries and hedges.", []string{labelService, labelKind}, nil)
	attemptsInFlightDesc = prometheus.NewDesc(namespace+"_attempts_in_flight",
		"Attempts in flight at targets.", []string{labelService}, nil)
	targetsDesc = prometheus.NewDesc(namespace+"_targets",
		"Configured targets.", []string{labelService}, nil)
	targetsLeavingDesc = prometheus.NewDesc(namespace+"_targets_leaving",
		"Targets known to be leaving.", []string{labelService}, nil)
)

// Describe implements prometheus.Collector.
func (s *services) Describe(descs chan<- *prometheus.Desc) {
	descs <- attemptsDesc
	descs <- attemptsInFlightDesc
	descs <- targetsDesc
	descs <- targetsLeavingDesc
}

// Collect implements prometheus.Collector.
func (s *services) Collect(metrics chan<- prometheus.Metric) {
	for _, service := range s.read() {
		counter := func(kind string, value uint64) {
			metrics <- prometheus.MustNewConstMetric(attemptsDesc, prometheus.CounterValue, float64(value), service.Name, kind)
		}
		gauge := func(desc *prometheus.Desc, value int) {
			metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), service.Name)
		}
		counter(kindFirst, service.First)
		counter(kindRetry, service.Retries)
		counter(kindHedge, service.Hedges)
		gauge(attemptsInFlightDesc, service.InFlight)
		gauge(targetsDesc, service.Targets)
		gauge(targetsLeavingDesc, service.Leaving)
	}
}

// Invariants registers the breaches of invariants.
func (r *Registry) Invariants() { r.registry.MustRegister(invariants{}) }

// invariants reads the breaches at each scrape.
type invariants struct{}

var breachesDesc = prometheus.NewDesc(namespace+"_invariant_breaches_total",
	"Breaches of what must always hold. Any is a fault of the program.", []string{labelInvariant}, nil)

// Describe implements prometheus.Collector.
func (invariants) Describe(descs chan<- *prometheus.Desc) { descs <- breachesDesc }

// Collect implements prometheus.Collector.
func (invariants) Collect(metrics chan<- prometheus.Metric) {
	for name, count := range invariant.Breaches() {
		metrics <- prometheus.MustNewConstMetric(breachesDesc, prometheus.CounterValue, float64(count), string(name))
	}
}
