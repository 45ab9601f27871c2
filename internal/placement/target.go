package placement

import (
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

const (
	// saturationShare is the share of a target's slots up to which it runs at its usual
	// speed. Beyond this saturation point its throughput falls.
	saturationShare = 0.75
	// reportFreshFor is how long a load report is used as it is.
	reportFreshFor = 4 * time.Millisecond
	// reportUsefulFor is how long the load of other daemons is taken from a report.
	reportUsefulFor = 150 * time.Millisecond
	// slownessDecay is the time constant with which a reported slowness decays to
	// defaultSlowness.
	slownessDecay = 150 * time.Millisecond
	// defaultSlowness is assumed for targets without a recent report.
	defaultSlowness = 1.6
	// slowStartFactor multiplies the slowness of a target that has just started.
	slowStartFactor = 2.0
)

// TargetInfo is a target as listed.
type TargetInfo struct {
	// ID identifies the target and is unique while it runs.
	ID string
	// Incarnation distinguishes successive starts of a target with the same ID.
	Incarnation int64
	// Sequence grows with each report of the target within an incarnation. 0 means unknown.
	Sequence int64
	// Address is the "ip:port" that serves requests.
	Address string
	Zone    string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining targets get no new requests.
	Draining bool
	// SlowStartFor is the remaining slow start time of the target.
	SlowStartFor time.Duration
	// EntryRevision changes with each change of the target's entry. 0 means unknown.
	EntryRevision uint64
}

// Report is the load that a target reports.
type Report struct {
	// Running and Waiting count the requests of all daemons at the target.
	Running, Waiting int
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Slowness is the current execution time relative to the usual; 1 is usual.
	Slowness float64
}

// Target is the state of one target as known to this daemon.
type Target struct {
	TargetInfo

	// running holds this daemon's attempts at the target.
	running        []*Attempt
	slowStartUntil time.Time
	// cold is nil if requests to cold targets are not limited.
	cold *coldState
	// evacuated is set if the target's zone is evacuated. rampFrom is when that ended.
	evacuated bool
	rampFrom  time.Time
	gone      bool
	probing   bool
	// probedAt is when the target was last probed.
	probedAt time.Time

	hasReport  bool
	report     Report
	reportedAt time.Time
	// otherLoad is the number of requests of other daemons in the last report.
	otherLoad int

	health outlier.Target
	// announced is never nil.
	announced *announced

	// noReports is set if the target does not report its load; speedEstimate is used
	// instead.
	noReports     bool
	speedEstimate speedEstimate
	// permits is the number of requests that this daemon may have at the target while
	// it does not report its load.
	permits int
}

// isLeaving reports whether the target is draining or gone or has announced that it is
// leaving.
func (t *Target) isLeaving() bool { return t.isDelisted() || t.announced.leaving() }

// isDelisted reports whether the target is draining or gone and gets no new requests.
func (t *Target) isDelisted() bool { return t.Draining || t.gone }

// Paused reports whether the target has asked for a pause that has not ended.
func (t *Target) Paused(now time.Time) bool { return t.announced.paused(now) }

// Leaving reports whether the target has announced that it is leaving.
func (t *Target) Leaving() bool { return t.announced.leaving() }

// ownLoad returns the number of this daemon's attempts at the target.
func (t *Target) ownLoad() int { return len(t.running) }

// release removes an attempt.
func (t *Target) release(a *Attempt) {
	t.running = remove(t.running, a)
}

// remove deletes an item from a list, if it is there.
func remove[T comparable](list []T, item T) []T {
	if i := slices.Index(list, item); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// requestLimit returns the number of requests up to which the target gets more: those
// of all daemons, or of this one alone if the target does not report its load.
func (t *Target) requestLimit(now time.Time) int {
	limit := t.concurrencyLimit()
	if t.noReports {
		limit = max(t.permits, sparePermits)
	}
	return t.rampLimit(now, limit)
}

// concurrencyLimit returns the number of requests up to the saturation point of the
// target.
func (t *Target) concurrencyLimit() int {
	slots := t.Slots
	if t.hasReport && t.report.Slots > 0 {
		slots = t.report.Slots
	}
	return max(1, int(float64(slots)*saturationShare))
}

// Load estimates the number of requests at the target.
func (t *Target) Load(now time.Time) int {
	if now.Sub(t.reportedAt) > reportUsefulFor {
		return t.ownLoad()
	}
	return t.ownLoad() + t.otherLoad
}

// hasRoom reports whether the target can take another request.
func (t *Target) hasRoom(now time.Time) bool { return t.Load(now) < t.requestLimit(now) }

// hasFreshReport reports whether the last load report is still fresh.
func (t *Target) hasFreshReport(now time.Time) bool {
	return t.hasReport && now.Sub(t.reportedAt) <= reportFreshFor
}

// observe records a load report. finished is the number of this daemon's requests that
// have ended but are still counted in the report.
func (t *Target) observe(now time.Time, report Report, finished int) {
	t.hasReport = true
	t.report = report
	t.reportedAt = now
	t.otherLoad = max(report.Running+report.Waiting-t.ownLoad()-finished, 0)
}

// Slowness estimates the current execution time relative to the usual.
func (t *Target) Slowness(now time.Time) float64 {
	slowness := defaultSlowness
	switch {
	case t.noReports:
		slowness = t.estimatedSlowness(now)
	case t.hasFreshReport(now):
		slowness = t.report.Slowness
	case t.hasReport:
		slowness = decay(t.report.Slowness, defaultSlowness, now.Sub(t.reportedAt), slownessDecay)
	}
	if t.isStarting(now) {
		slowness = t.startingSlowness(slowness)
	}
	return slowness
}

// cost ranks targets for a request at a daemon in the given availability zone, lowest
// first.
func (t *Target) cost(now time.Time, r *Request, zone string) float64 {
	cost := t.Slowness(now) * (1 + 0.05*float64(t.Load(now)))
	if t.Zone != zone {
		cost *= r.crossZoneCost()
	}
	return cost
}

// TargetState is the state of a target in a dump.
type TargetState struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is one of in, out, paused, evacuated, draining, leaving and gone. Targets that are out
	// are ejected, backing off or unhealthy; those that are paused or leaving have
	// announced it.
	State string `json:"state"`
	// PausedMs is the remaining time for which the target wants no requests.
	PausedMs int64 `json:"paused_ms,omitempty"`
	// Own is the number of this daemon's requests at the target, Others the estimated
	// number of the other daemons' requests.
	Own    int `json:"own"`
	Others int `json:"others"`
	// Slowness is the last value reported by the target, ReportAgeMs the age of that
	// report.
	Slowness    float64 `json:"slowness"`
	ReportAgeMs int64   `json:"report_age_ms"`
	// ColdMs is the remaining time for which requests to the target are limited.
	ColdMs int64 `json:"cold_ms,omitempty"`
}

// State returns the state of the target for a dump.
func (t *Target) State(now time.Time) TargetState {
	state := TargetState{
		ID:      t.ID,
		Address: t.Address,
		Zone:    t.Zone,
		State:   t.stateName(now),
		Own:     t.ownLoad(),
		Others:  t.Load(now) - t.ownLoad(),
	}
	if t.announced.paused(now) {
		state.PausedMs = t.announced.pausedUntil.Sub(now).Milliseconds()
	}
	if t.cold.isCold(now) {
		state.ColdMs = t.cold.until.Sub(now).Milliseconds()
	}
	if t.hasReport {
		state.Slowness = t.report.Slowness
		state.ReportAgeMs = now.Sub(t.reportedAt).Milliseconds()
	}
	return state
}

func (t *Target) stateName(now time.Time) string {
	switch {
	case t.gone:
		return "gone"
	case t.Draining:
		return "draining"
	case t.announced.leaving():
		return "leaving"
	case t.evacuated:
		return "evacuated"
	case t.announced.paused(now):
		return "paused"
	case t.health.Excluded(now):
		return "out"
	}
	return "in"
}
