package metrics

import (
	"sync"
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
	}
	registry.MustRegister(c.calls, c.refusals, c.duration)
	c.other = &Series{calls: c, service: other, requestType: other}
	c.series.Store(&map[seriesKey]*Series{})
	return c
}

// seriesKey identifies a request type.
type seriesKey struct{ service, requestType string }

// Series are the metrics of one request type. They take memory from the first
// answer on, since a daemon serves only some of the configured services.
type Series struct {
	calls       *Calls
	service     string
	requestType string

	once     sync.Once
	ran      prometheus.Counter
	notRun   prometheus.Counter
	unknown  prometheus.Counter
	duration prometheus.Observer
}

func (s *Series) init() {
	counter := func(outcome string) prometheus.Counter {
		return s.calls.calls.WithLabelValues(s.service, s.requestType, outcome)
	}
	s.ran = counter(wire.OutcomeRan)
	s.notRun = counter(wire.OutcomeNotRun)
	s.unknown = counter(wire.OutcomeUnknown)
	s.duration = s.calls.duration.WithLabelValues(s.service, s.requestType)
}

// Configure allows the series of a configuration and drops those of services that
// it no longer has. It must not be called concurrently.
func (c *Calls) Configure(snapshot *config.Snapshot) {
	previous := *c.series.Load()
	series := map[seriesKey]*Series{}
	for name, service := range snapshot.Services {
		for _, requestType := range service.RequestTypes {
			key := seriesKey{name, requestType.Name}
			series[key] = previous[key]
			if series[key] == nil {
				series[key] = &Series{calls: c, service: name, requestType: requestType.Name}
			}
		}
	}
	c.series.Store(&series)
	for key := range previous {
		if series[key] == nil {
			c.drop(key)
		}
		if snapshot.Services[key.service] == nil {
			c.refusals.DeletePartialMatch(prometheus.Labels{labelService: key.service})
		}
	}
}

// drop forgets the series of a request type.
func (c *Calls) drop(key seriesKey) {
	labels := prometheus.Labels{labelService: key.service, labelType: key.requestType}
	c.calls.DeletePartialMatch(labels)
	c.duration.DeletePartialMatch(labels)
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
	s.once.Do(s.init)
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
