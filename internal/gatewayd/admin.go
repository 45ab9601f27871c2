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
	// PathDump is the path of the state dump, a Dump as JSON.
	PathDump = "/v1/dump"
	// PathMetrics is the path of the metrics in Prometheus text format.
	PathMetrics = "/metrics"
)

// adminTimeout bounds the reading of a request and the writing of its response on the admin
// port.
const adminTimeout = 10 * time.Second

// Dump is a snapshot of a daemon's state.
type Dump struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	Started time.Time `json:"started"`
	// Serving is set while callers may be directed to this daemon.
	Serving  bool  `json:"serving"`
	InFlight int64 `json:"in_flight"`
	// PlatformUnavailable is set while the platform is unavailable.
	PlatformUnavailable bool `json:"platform_away"`
	// StoreEpoch is the number of the history of the platform's store. It rises when the
	// store is restored from an older copy.
	StoreEpoch uint64 `json:"store_epoch"`
	// AdvertisedAddresses are the advertised entry VMs: those of other zones while no daemon of the local
	// zone serves.
	AdvertisedAddresses []string           `json:"named"`
	Members             []heartbeat.Member `json:"members"`
	// Suspects are the contents of requests during which targets died.
	Suspects []quarantine.Suspect `json:"suspects"`
	Gateway  gateway.State        `json:"gateway"`
	// Rejections counts the requests of callers that could not be parsed, by reason.
	Rejections map[string]uint64 `json:"rejections"`
	// RejectedConfigs counts the configurations that were invalid.
	RejectedConfigs uint64 `json:"rejected_configurations"`
	// Breaches counts violations of invariants.
	Breaches map[invariant.Name]uint64 `json:"breaches"`
}

func (d *Daemon) dump() Dump {
	return Dump{
		Name:                d.settings.Name,
		Zone:                d.settings.Zone,
		Started:             d.started,
		Serving:             d.serving.Load(),
		InFlight:            d.server.InFlight(),
		PlatformUnavailable: d.monitor.Unavailable(),
		StoreEpoch:          d.platform.Feeds().Store.Epoch(),
		AdvertisedAddresses: d.node.AdvertisedAddresses(),
		Members:             d.node.Members(),
		Suspects:            d.quarantine.Suspects(time.Now()),
		Gateway:             d.gateway.State(),
		Rejections:          d.server.Rejections(),
		RejectedConfigs:     d.rejectedConfigs.Load(),
		Breaches:            invariant.Breaches(),
	}
}

// serveAdmin starts to serve the state dump and metrics. A failure, such as a port in use,
// is only logged, because serving callers is more important.
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
			d.log.WithError(err).Warn("failed to write the state dump")
		}
	})
	server := &http.Server{Addr: address, Handler: mux, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
	d.closers = append(d.closers, server)
	go func() {
		if err := server.ListenAndServe(); !d.stopping.Load() {
			d.log.WithError(err).WithField("address", address).Error("admin server failed")
		}
	}()
}

// collector exports the daemon's counters to Prometheus.
type collector struct{ daemon *Daemon }

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("poplarwheel_gateway_"+name, help, labels, nil)
}

// Descriptions of the metrics.
var (
	answersDesc             = newDesc("answers_total", "Answers to callers, by outcome.", "outcome")
	elapsedDesc             = newDesc("answer_seconds", "Time until an answer of a target was passed on.")
	lateDesc                = newDesc("late_answers_total", "Answers of targets that came after they were due.")
	sentDesc                = newDesc("sends_total", "Requests sent to targets.")
	givenUpDesc             = newDesc("given_up_answers_total", "Answers of targets that were given up, by what was wrong.", "violation")
	answerBytesDesc         = newDesc("incomplete_answer_bytes", "Bytes of answers of targets that are incomplete.")
	probesDesc              = newDesc("probes_total", "Questions to targets for their load, by result.", "result")
	queuedDesc              = newDesc("queued", "Requests that wait for a target, by service.", "service")
	targetsDesc             = newDesc("targets", "Targets, by service and state.", "service", "state")
	rejectionsDesc          = newDesc("rejections_total", "Requests that were refused because they can't be parsed or have no route, by reason.", "reason")
	rejectedConfigsDesc     = newDesc("rejected_configurations_total", "Configurations that were invalid and were not put in force.")
	revisionDesc            = newDesc("revision", "Revision of the configuration in force.")
	platformUnavailableDesc = newDesc("platform_away", "1 while the platform doesn't answer.")
	storeEpochDesc          = newDesc("store_epoch", "Number of the history of the platform's store; it rises when the store is restored from an older copy.")
	violationsDesc          = newDesc("invariant_breaches_total", "Breaches of what must always hold, by invariant.", "invariant")
	suspectsDesc            = newDesc("suspects", "Contents of requests at which targets died, by state.", "state")
	advertisedDesc          = newDesc("named", "Entry VMs that callers of the zone are sent to, of other zones if nobody of it serves.")
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		answersDesc, elapsedDesc, lateDesc, sentDesc, givenUpDesc, answerBytesDesc, probesDesc, queuedDesc, targetsDesc, revisionDesc, platformUnavailableDesc, storeEpochDesc, advertisedDesc, suspectsDesc, violationsDesc, rejectionsDesc, rejectedConfigsDesc,
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
	counter(answersDesc, counts.Disconnected, "caller_gone")
	counter(rejectionsDesc, counts.NoRoute, "no_route")
	for reason, count := range c.daemon.server.Rejections() {
		counter(rejectionsDesc, count, reason)
	}
	counter(rejectedConfigsDesc, c.daemon.rejectedConfigs.Load())
	counter(lateDesc, counts.Late)
	counter(sentDesc, counts.Sent)
	for violation, count := range counts.Violations {
		counter(givenUpDesc, count, string(violation))
	}
	gauge(answerBytesDesc, float64(state.ResponseBytes))
	counter(probesDesc, counts.Probes-counts.ProbesTimedOut, "answered")
	counter(probesDesc, counts.ProbesTimedOut, "lost")
	metrics <- prometheus.MustNewConstHistogram(elapsedDesc, counts.Delivered, counts.ElapsedSum.Seconds(), elapsedBuckets(counts))
	gauge(revisionDesc, float64(state.Revision))
	gauge(advertisedDesc, float64(len(c.daemon.node.AdvertisedAddresses())))
	unavailable := 0.0
	if c.daemon.monitor.Unavailable() {
		unavailable = 1
	}
	gauge(platformUnavailableDesc, unavailable)
	gauge(storeEpochDesc, float64(c.daemon.platform.Feeds().Store.Epoch()))
	c.collectSuspects(gauge)
	for name, violations := range invariant.Breaches() {
		counter(violationsDesc, violations, string(name))
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

// collectSuspects exports the numbers of quarantined and of suspected contents.
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

// elapsedBuckets converts the histogram to the cumulative buckets of Prometheus.
func elapsedBuckets(counts gateway.Counts) map[float64]uint64 {
	buckets := map[float64]uint64{}
	total := uint64(0)
	for i, bound := range gateway.ElapsedBounds {
		total += counts.Elapsed[i]
		buckets[bound.Seconds()] = total
	}
	return buckets
}
