package gatewayd

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/poplarwheel/poplarwheel/internal/gateway"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
	"github.com/poplarwheel/poplarwheel/internal/placement"
)

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
	heldDesc                = newDesc("held_bytes", "Bytes held for callers and targets, by kind.", "kind")
	heldLimitDesc           = newDesc("held_bytes_limit", "Maximum of all bytes held for callers and targets, 0 for none.")
	memoryClosesDesc        = newDesc("memory_closes_total", "Connections of callers that were closed to free memory, by reason.", "reason")
	callerConnectionsDesc   = newDesc("caller_connections", "Open connections of callers.")
	probesDesc              = newDesc("probes_total", "Questions to targets for their load, by result.", "result")
	coldTargetsDesc         = newDesc("cold_targets", "Targets to which requests are limited because they are cold, by service.", "service")
	refusalsDesc            = newDesc("target_refusals_total", "Requests that were refused because all targets are cold or evacuated, by reason.", "reason")
	evacuatedDesc           = newDesc("evacuated_zones", "Availability zones whose targets get no requests.")
	queuedDesc              = newDesc("queued", "Requests that wait for a target, by service.", "service")
	targetsDesc             = newDesc("targets", "Targets, by service and state.", "service", "state")
	rejectionsDesc          = newDesc("rejections_total", "Requests that were refused because they can't be parsed or have no route or no known key, by reason.", "reason")
	rejectedConfigsDesc     = newDesc("rejected_configurations_total", "Configurations that were invalid and were not put in force.")
	revisionDesc            = newDesc("revision", "Revision of the configuration in force.")
	platformUnavailableDesc = newDesc("platform_away", "1 while the platform doesn't answer.")
	storeEpochDesc          = newDesc("store_epoch", "Number of the history of the platform's store; it rises when the store is restored from an older copy.")
	feedAgeDesc             = newDesc("feed_age_seconds", "Time since the daemon was last shown to know all changes, by kind of objects.", "kind")
	violationsDesc          = newDesc("invariant_breaches_total", "Breaches of what must always hold, by invariant.", "invariant")
	suspectsDesc            = newDesc("suspects", "Contents of requests at which targets died, by state.", "state")
	hedgesDesc              = newDesc("hedges_total", "Second sends of requests whose first attempt was slow, by service and result: sent, or won, if answered before the first.", "service", "result")
	suppressedHedgesDesc    = newDesc("suppressed_hedges_total", "Slow attempts that were not hedged, by service and reason.", "service", "reason")
	advertisedDesc          = newDesc("named", "Entry VMs that callers of the zone are sent to, of other zones if nobody of it serves.")
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		answersDesc, elapsedDesc, lateDesc, sentDesc, givenUpDesc, answerBytesDesc,
		heldDesc, heldLimitDesc, memoryClosesDesc, callerConnectionsDesc,
		probesDesc, queuedDesc, targetsDesc, coldTargetsDesc, refusalsDesc, evacuatedDesc,
		rejectionsDesc, rejectedConfigsDesc, revisionDesc,
		platformUnavailableDesc, storeEpochDesc, feedAgeDesc, advertisedDesc,
		suspectsDesc, violationsDesc, hedgesDesc, suppressedHedgesDesc,
		quotaRequestsDesc, quotaPermitsDesc, quotaMessagesDesc, quotaOwnerDesc,
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
	for reason, count := range counts.Unauthenticated {
		counter(rejectionsDesc, count, reason)
	}
	for reason, count := range c.daemon.server.Rejections() {
		counter(rejectionsDesc, count, reason)
	}
	counter(rejectedConfigsDesc, c.daemon.rejectedConfigs.Load())
	counter(lateDesc, counts.Late)
	counter(refusalsDesc, counts.RefusedCold, string(placement.ReasonCold))
	counter(refusalsDesc, counts.RefusedEvacuated, string(placement.ReasonEvacuated))
	gauge(evacuatedDesc, float64(len(state.Evacuated)))
	counter(sentDesc, counts.Sent)
	for violation, count := range counts.Violations {
		counter(givenUpDesc, count, string(violation))
	}
	gauge(answerBytesDesc, float64(state.ResponseBytes))
	for kind, bytes := range c.daemon.budget.Held() {
		gauge(heldDesc, float64(bytes), kind)
	}
	gauge(heldLimitDesc, float64(c.daemon.budget.Limit()))
	for reason, count := range c.daemon.server.Closes() {
		counter(memoryClosesDesc, count, reason)
	}
	gauge(callerConnectionsDesc, float64(c.daemon.server.Connections()))
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
	for _, report := range c.daemon.feeds.Reports() {
		gauge(feedAgeDesc, (time.Duration(report.AgeMillis) * time.Millisecond).Seconds(), report.Kind)
	}
	c.collectSuspects(gauge)
	c.collectQuotas(counter, gauge)
	for name, violations := range invariant.Breaches() {
		counter(violationsDesc, violations, string(name))
	}
	for _, service := range state.Services {
		gauge(queuedDesc, float64(service.Queued), service.Name)
		collectHedges(counter, service)
		states := map[string]int{}
		cold := 0
		for _, target := range service.Targets {
			states[target.State]++
			if target.ColdMs > 0 {
				cold++
			}
		}
		gauge(coldTargetsDesc, float64(cold), service.Name)
		for name, count := range states {
			gauge(targetsDesc, float64(count), service.Name, name)
		}
	}
}

// collectHedges exports the counts of a service's hedges if they are limited.
func collectHedges(counter func(d *prometheus.Desc, value uint64, labels ...string), service gateway.ServiceState) {
	if service.Hedges == nil {
		return
	}
	counter(hedgesDesc, service.Hedges.Sent, service.Name, "sent")
	counter(hedgesDesc, service.Hedges.Won, service.Name, "won")
	for reason, count := range service.Hedges.Suppressed {
		counter(suppressedHedgesDesc, count, service.Name, string(reason))
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
