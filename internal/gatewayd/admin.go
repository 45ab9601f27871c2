package gatewayd

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

// Paths of the admin port.
const (
	// PathDump returns a Dump as JSON.
	PathDump = "/v1/dump"
	// PathMetrics returns the metrics in Prometheus' text format.
	PathMetrics = "/metrics"
)

// adminTimeout bounds a request to the admin port.
const adminTimeout = 10 * time.Second

// Dump is the state of a daemon.
type Dump struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	Started time.Time `json:"started"`
	// Serving is set while callers may be sent here.
	Serving  bool  `json:"serving"`
	InFlight int64 `json:"in_flight"`
	// PlatformAway is set while the platform doesn't answer.
	PlatformAway bool `json:"platform_away"`
	// Named are the entry VMs that callers are sent to: those of other zones while nobody
	// of the own serves.
	Named   []string           `json:"named"`
	Members []heartbeat.Member `json:"members"`
	// Suspects are contents of requests at which targets died.
	Suspects []quarantine.Suspect `json:"suspects"`
	Gateway  gateway.State        `json:"gateway"`
	// Breaches count what must always hold and didn't.
	Breaches map[invariant.Name]uint64 `json:"breaches"`
}

func (d *Daemon) dump() Dump {
	return Dump{
		Name:         d.settings.Name,
		Zone:         d.settings.Zone,
		Started:      d.started,
		Serving:      d.serving.Load(),
		InFlight:     d.server.InFlight(),
		PlatformAway: d.monitor.Away(),
		Named:        d.node.Named(),
		Members:      d.node.Members(),
		Suspects:     d.quarantine.Suspects(time.Now()),
		Gateway:      d.gateway.State(),
		Breaches:     invariant.Breaches(),
	}
}

// serveAdmin serves the dump and metrics. It does without them if the port is taken:
// callers come first.
func (d *Daemon) serveAdmin() {
	if d.settings.AdminPort == 0 {
		return
	}
	address := net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.AdminPort))
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{daemon: d})
	mux := http.NewServeMux()
	mux.Handle(PathMetrics, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc(PathDump, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(d.dump()); err != nil {
			d.log.WithError(err).Warn("dump not sent")
		}
	})
	server := &http.Server{Addr: address, Handler: mux, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
	d.listening = append(d.listening, server)
	go func() {
		if err := server.ListenAndServe(); !d.leaving.Load() {
			d.log.WithError(err).WithField("address", address).Error("no admin port")
		}
	}()
}

// collector shows the daemon's counts to Prometheus.
type collector struct{ daemon *Daemon }

func description(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("poplarwheel_gateway_"+name, help, labels, nil)
}

// Descriptions of the metrics.
var (
	answersDesc  = description("answers_total", "Answers to callers, by outcome.", "outcome")
	elapsedDesc  = description("answer_seconds", "Time until an answer of a target was passed on.")
	lateDesc     = description("late_answers_total", "Answers of targets that came after they were due.")
	sentDesc     = description("sends_total", "Requests sent to targets.")
	probesDesc   = description("probes_total", "Questions to targets for their load, by result.", "result")
	queuedDesc   = description("queued", "Requests that wait for a target, by service.", "service")
	targetsDesc  = description("targets", "Targets, by service and state.", "service", "state")
	revisionDesc = description("revision", "Revision of the configuration in force.")
	awayDesc     = description("platform_away", "1 while the platform doesn't answer.")
	breachesDesc = description("invariant_breaches_total", "Breaches of what must always hold, by invariant.", "invariant")
	suspectsDesc = description("suspects", "Contents of requests at which targets died, by state.", "state")
	namedDesc    = description("named", "Entry VMs that callers of the zone are sent to, of other zones if nobody of it serves.")
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		answersDesc, elapsedDesc, lateDesc, sentDesc, probesDesc, queuedDesc, targetsDesc, revisionDesc, awayDesc, namedDesc, suspectsDesc, breachesDesc,
	} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	state := c.daemon.gateway.State()
	counter := func(d *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	counts := state.Counts
	counter(answersDesc, counts.Delivered-counts.Failures, "served")
	counter(answersDesc, counts.Failures, "target_failure")
	counter(answersDesc, counts.Refused, "refused")
	counter(answersDesc, counts.Unknown, "unknown")
	counter(answersDesc, counts.Gone, "caller_gone")
	counter(lateDesc, counts.Late)
	counter(sentDesc, counts.Sent)
	counter(probesDesc, counts.Probes-counts.ProbesLost, "answered")
	counter(probesDesc, counts.ProbesLost, "lost")
	metrics <- prometheus.MustNewConstHistogram(elapsedDesc, counts.Delivered, counts.ElapsedSum.Seconds(), elapsedBuckets(counts))
	gauge(revisionDesc, float64(state.Revision))
	gauge(namedDesc, float64(len(c.daemon.node.Named())))
	away := 0.0
	if c.daemon.monitor.Away() {
		away = 1
	}
	gauge(awayDesc, away)
	c.collectSuspects(gauge)
	for name, breaches := range invariant.Breaches() {
		counter(breachesDesc, breaches, string(name))
	}
	for _, service := range state.Services {
		gauge(queuedDesc, float64(service.Queued), service.Name)
		states := map[string]int{}
		for _, target := range service.Targets {
			states[target.State]++
		}
		for name, count := range states {
			gauge(targetsDesc, float64(count), service.Name, name)
		}
	}
}

// collectSuspects shows the contents that crash targets, or may.
func (c *collector) collectSuspects(gauge func(d *prometheus.Desc, value float64, labels ...string)) {
	suspects := c.daemon.quarantine.Suspects(time.Now())
	quarantined := 0
	for _, suspect := range suspects {
		if suspect.Quarantined {
			quarantined++
		}
	}
	gauge(suspectsDesc, float64(quarantined), "quarantined")
	gauge(suspectsDesc, float64(len(suspects)-quarantined), "suspected")
}

// elapsedBuckets returns the cumulative counts that Prometheus expects.
func elapsedBuckets(counts gateway.Counts) map[float64]uint64 {
	buckets := map[float64]uint64{}
	total := uint64(0)
	for i, bound := range gateway.ElapsedBounds {
		total += counts.Elapsed[i]
		buckets[bound.Seconds()] = total
	}
	return buckets
}
