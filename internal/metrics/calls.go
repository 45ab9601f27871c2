package metrics

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// other is the label value for services and request types that are not
// configured.
const other = "other"

// durationBuckets are the upper bounds of the latency histogram, in seconds.
var durationBuckets = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

// Calls are the metrics of calls.
type Calls struct {
	calls    *prometheus.CounterVec
	refusals *prometheus.CounterVec
	duration *prometheus.HistogramVec
	series   atomic.Pointer[map[seriesKey]*Series]
	services map[string]bool
	other    *Series
}

func newCalls(registry *prometheus.Registry) *Calls {
	c := &Calls{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "calls_total",
			Help:      "Calls answered, by what the caller was told: ran, not-run or unknown.",
		}, []string{labelService, labelType, labelOutcome}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "refusals_total",
			Help:      "Answers that the daemon made itself, by reason code.",
		}, []string{labelService, labelReason}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "call_duration_seconds",
			Help:      "Time from the arrival of a whole request to its answer, in seconds.",
			Buckets:   durationBuckets,
		}, []string{labelService, labelType}),
		services: map[string]bool{},
	}
	registry.MustRegister(c.calls, c.refusals, c.duration)
	c.other = c.newSeries(other, other)
	c.series.Store(&map[seriesKey]*Series{})
	return c
}

// seriesKey identifies a request type.
type seriesKey struct{ service, requestType string }

// Series are the metrics of one request type.
type Series struct {
	calls    *Calls
	service  string
	ran      prometheus.Counter
	notRun   prometheus.Counter
	unknown  prometheus.Counter
	duration prometheus.Observer
}

func (c *Calls) newSeries(service, requestType string) *Series {
	return &Series{
		calls:    c,
		service:  service,
		ran:      c.calls.WithLabelValues(service, requestType, wire.OutcomeRan),
		notRun:   c.calls.WithLabelValues(service, requestType, wire.OutcomeNotRun),
		unknown:  c.calls.WithLabelValues(service, requestType, wire.OutcomeUnknown),
		duration: c.duration.WithLabelValues(service, requestType),
	}
}

// Configure makes the series of a configuration and drops those of services that
// it no longer has. It must not be called concurrently.
func (c *Calls) Configure(snapshot *config.Snapshot) {
	series := map[seriesKey]*Series{}
	for name, service := range snapshot.Services {
		for _, requestType := range service.RequestTypes {
			series[seriesKey{name, requestType.Name}] = c.newSeries(name, requestType.Name)
		}
	}
	c.series.Store(&series)
	for name := range c.services {
		if snapshot.Services[name] == nil {
			c.drop(name)
		}
	}
	for name := range snapshot.Services {
		c.services[name] = true
	}
}

func (c *Calls) drop(service string) {
	labels := prometheus.Labels{labelService: service}
	c.calls.DeletePartialMatch(labels)
	c.refusals.DeletePartialMatch(labels)
	c.duration.DeletePartialMatch(labels)
	delete(c.services, service)
}

// Series returns the metrics of a request type, or of all that are not
// configured.
func (c *Calls) Series(service, requestType []byte) *Series {
	if series := (*c.series.Load())[seriesKey{string(service), string(requestType)}]; series != nil {
		return series
	}
	return c.other
}

// Answered counts an answer. Reason is empty for a target's own.
func (s *Series) Answered(outcome, reason []byte, elapsed time.Duration) {
	switch string(outcome) {
	case wire.OutcomeRan:
		s.ran.Inc()
	case wire.OutcomeNotRun:
		s.notRun.Inc()
	case wire.OutcomeUnknown:
		s.unknown.Inc()
	}
	if len(reason) > 0 {
		s.calls.refusals.WithLabelValues(s.service, string(reason)).Inc()
	}
	s.duration.Observe(elapsed.Seconds())
}
