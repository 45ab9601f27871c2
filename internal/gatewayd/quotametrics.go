package gatewayd

import "github.com/prometheus/client_golang/prometheus"

// Descriptions of the metrics of quotas.
var (
	quotaRequestsDesc = newDesc("quota_requests_total", "Requests of workspaces with a quota, by decision.", "decision")
	quotaPermitsDesc  = newDesc("quota_permits_granted_total", "Permits that this daemon has granted as the owner of the quotas.")
	quotaMessagesDesc = newDesc("quota_messages_total", "Messages about quotas that were sent, by kind.", "kind")
	quotaOwnerDesc    = newDesc("quota_owner", "1 while this daemon is the owner of the quotas.")
)

// collectQuotas exports the metrics of quotas, if quotas are enforced.
func (c *collector) collectQuotas(counter func(d *prometheus.Desc, value uint64, labels ...string), gauge func(d *prometheus.Desc, value float64, labels ...string)) {
	if c.daemon.quotas == nil {
		return
	}
	state := c.daemon.quotas.state()
	counts := state.Counts
	counter(quotaRequestsDesc, counts.Admitted-counts.Fallback-counts.Startup, "granted")
	counter(quotaRequestsDesc, counts.Startup, "startup")
	counter(quotaRequestsDesc, counts.Fallback, "fallback")
	counter(quotaRequestsDesc, counts.Rejected, "rejected")
	counter(quotaPermitsDesc, counts.Granted)
	counter(quotaMessagesDesc, counts.Asks, "ask")
	counter(quotaMessagesDesc, counts.Votes, "vote")
	counter(quotaMessagesDesc, counts.Releases, "release")
	owner := 0.0
	if state.Owner {
		owner = 1
	}
	gauge(quotaOwnerDesc, owner)
}
