package placement

import (
	"slices"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

const (
	// kneeShare is the share of a target's slots up to which work takes its usual
	// time. Beyond it a target does less in a second, not more.
	kneeShare = 0.75
	// reportFresh is how long a load report is taken as it stands.
	reportFresh = 4 * time.Millisecond
	// reportUseful is how long the load of other daemons in a report counts.
	reportUseful = 150 * time.Millisecond
	// slownessFades is the time in which what a report told of a target's speed fades to
	// a third.
	slownessFades = 150 * time.Millisecond
	// usualSlowness stands for targets of which no recent report is known.
	usualSlowness = 1.6
	// coldFactor is the slowness of a target that has just started.
	coldFactor = 2.0
)

// Entry is a target as listed.
type Entry struct {
	// ID names the target and is unique for as long as it runs.
	ID string
	// Born distinguishes starts of targets with the same ID.
	Born int64
	// Address is the "ip:port" that serves requests.
	Address string
	Zone    string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Draining targets get no new requests.
	Draining bool
	// ColdFor is how much longer the target is slow after its start.
	ColdFor time.Duration
}

// Report is a target's word on its load.
type Report struct {
	// Running and Waiting count the requests of all daemons at the target.
	Running, Waiting int
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Slowness is the time that work takes at this moment, 1 as usual.
	Slowness float64
}

// Target is what a daemon knows of one target.
type Target struct {
	Entry

	// running holds this daemon's attempts at the target.
	running   []*Attempt
	coldUntil time.Time
	leaving   bool
	probing   bool
	// probedAt is when the target was last asked.
	probedAt time.Time

	reported   bool
	report     Report
	reportedAt time.Time
	// others is the load of other daemons in the last report.
	others int

	health outlier.Target

	// mute is set while the target doesn't tell its load; guess stands for it.
	mute  bool
	guess guess
	// places is the number of requests below the knee that are this daemon's alone to
	// send while the target is mute.
	places int
}

// ends reports whether the target leaves or is gone: it gets no new requests.
func (t *Target) ends() bool { return t.Draining || t.leaving }

// own is the number of this daemon's attempts at the target.
func (t *Target) own() int { return len(t.running) }

// release takes an attempt away.
func (t *Target) release(a *Attempt) {
	t.running = remove(t.running, a)
}

// remove takes an item off a list, which may not have it.
func remove[T comparable](list []T, item T) []T {
	if i := slices.Index(list, item); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// limit is the number of requests that the target should have, of this daemon alone if
// it doesn't tell those of others.
func (t *Target) limit() int {
	if t.mute {
		return max(t.places, sparePlaces)
	}
	return t.below()
}

// below is the number of requests that the target has below its knee.
func (t *Target) below() int {
	slots := t.Slots
	if t.reported && t.report.Slots > 0 {
		slots = t.report.Slots
	}
	return max(1, int(float64(slots)*kneeShare))
}

// Load estimates the requests at the target.
func (t *Target) Load(now time.Time) int {
	if now.Sub(t.reportedAt) > reportUseful {
		return t.own()
	}
	return t.own() + t.others
}

// free reports whether another request fits below the knee.
func (t *Target) free(now time.Time) bool { return t.Load(now) < t.limit() }

// fresh reports whether the last report still stands.
func (t *Target) fresh(now time.Time) bool {
	return t.reported && now.Sub(t.reportedAt) <= reportFresh
}

// observe takes a report of the target. Finished is the number of this daemon's
// requests that the report still counts though they are over.
func (t *Target) observe(now time.Time, report Report, finished int) {
	t.reported = true
	t.report = report
	t.reportedAt = now
	t.others = max(report.Running+report.Waiting-t.own()-finished, 0)
}

// Slowness is the expected time of work in relation to the usual.
func (t *Target) Slowness(now time.Time) float64 {
	slowness := usualSlowness
	switch {
	case t.mute:
		slowness = t.guessed(now)
	case t.fresh(now):
		slowness = t.report.Slowness
	case t.reported:
		slowness = fade(t.report.Slowness, usualSlowness, now.Sub(t.reportedAt), slownessFades)
	}
	if now.Before(t.coldUntil) {
		slowness *= coldFactor
	}
	return slowness
}

// cost orders targets for a request at a daemon of the given availability zone.
func (t *Target) cost(now time.Time, r *Request, zone string) float64 {
	cost := t.Slowness(now) * (1 + 0.05*float64(t.Load(now)))
	if t.Zone != zone {
		cost *= r.farCost()
	}
	return cost
}

// TargetState is a target as a dump shows it.
type TargetState struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is one of in, out, draining and gone.
	State string `json:"state"`
	// Own counts this daemon's requests at the target, Others estimates those of the
	// other daemons.
	Own    int `json:"own"`
	Others int `json:"others"`
	// Slowness is what the target said last, ReportAgeMs how long ago.
	Slowness    float64 `json:"slowness"`
	ReportAgeMs int64   `json:"report_age_ms"`
}

// State returns the target as a dump shows it.
func (t *Target) State(now time.Time) TargetState {
	state := TargetState{
		ID:      t.ID,
		Address: t.Address,
		Zone:    t.Zone,
		State:   t.stateName(now),
		Own:     t.own(),
		Others:  t.Load(now) - t.own(),
	}
	if t.reported {
		state.Slowness = t.report.Slowness
		state.ReportAgeMs = now.Sub(t.reportedAt).Milliseconds()
	}
	return state
}

func (t *Target) stateName(now time.Time) string {
	switch {
	case t.leaving:
		return "gone"
	case t.Draining:
		return "draining"
	case t.health.Out(now):
		return "out"
	}
	return "in"
}
