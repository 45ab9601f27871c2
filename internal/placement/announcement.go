package placement

import "time"

// A target may announce in a response that it is leaving, or that it wants no requests for
// some time. An announcement holds for the process that made it, whatever the list of targets
// says, until a later incarnation of the target is listed.

const (
	// lastResortPeriod is how long a target that has announced that it is leaving still gets
	// requests if no other target may get any. It is shorter than the shortest shutdown.
	lastResortPeriod = time.Second
	// maxPause limits the time for which a target gets no requests because it asked for that.
	maxPause = 10 * time.Minute
	// announcementMemory is how long the announcements of an unlisted target are kept. An
	// entry may be listed again after an outage.
	announcementMemory = time.Hour
)

// Announcement is what a target says in a response about the requests that it wants.
type Announcement struct {
	// Leaving is set if the target is shutting down.
	Leaving bool
	// RetryAfter is the time, from the response on, for which the target wants no requests; 0
	// if it does not ask for that.
	RetryAfter time.Duration
}

// announced holds the announcements of one incarnation of a target. It is shared by the
// successive Target values of that incarnation.
type announced struct {
	incarnation int64
	// leavingSince is when the target first announced that it is leaving; zero if it has not.
	leavingSince time.Time
	// pausedUntil is the end of the time for which the target wants no requests.
	pausedUntil time.Time
	// listedAt is when the target was last listed.
	listedAt time.Time
}

// record adds an announcement.
func (a *announced) record(now time.Time, announcement Announcement) {
	if announcement.Leaving && a.leavingSince.IsZero() {
		a.leavingSince = now
	}
	if until := now.Add(min(announcement.RetryAfter, maxPause)); until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
}

// paused reports whether the target wants no requests now.
func (a *announced) paused(now time.Time) bool { return now.Before(a.pausedUntil) }

// leaving reports whether the target has announced that it is leaving.
func (a *announced) leaving() bool { return !a.leavingSince.IsZero() }

// leavingRecently reports whether the target is leaving, but may still be a last resort.
func (a *announced) leavingRecently(now time.Time) bool {
	return a.leaving() && now.Sub(a.leavingSince) < lastResortPeriod
}

// announcements holds the announcements of all targets by target ID.
type announcements map[string]*announced

// of returns the announcements of a listed target. A list may be outdated, so an incarnation
// earlier than a known one is taken for the latter.
func (as announcements) of(now time.Time, info TargetInfo) *announced {
	a := as[info.ID]
	if a == nil || info.Incarnation > a.incarnation {
		a = &announced{incarnation: info.Incarnation}
		as[info.ID] = a
	}
	a.listedAt = now
	return a
}

// forgetUnlisted drops the targets that have not been listed for long.
func (as announcements) forgetUnlisted(now time.Time) {
	for id, a := range as {
		if now.Sub(a.listedAt) > announcementMemory {
			delete(as, id)
		}
	}
}

// RecordAnnouncement handles an announcement in the response to a probe. Those in responses
// to requests are part of Result. The returned actions are valid until the next event.
func (p *Pool) RecordAnnouncement(now time.Time, t *Target, announcement Announcement) []Action {
	p.resetActions()
	p.recordAnnouncement(now, t, announcement)
	p.assign(now)
	return p.actions
}

// recordAnnouncement adds an announcement of a target.
func (p *Pool) recordAnnouncement(now time.Time, t *Target, announcement Announcement) {
	wasLeaving := t.isLeaving()
	t.announced.record(now, announcement)
	if t.isLeaving() != wasLeaving {
		p.rebuildGroup()
	}
}

// pauseLeft returns the time until the first target resumes, and false if a target accepts
// requests now or none has asked for a pause.
func (p *Pool) pauseLeft(now time.Time) (time.Duration, bool) {
	filter := p.targetFilter(now)
	var first *Target
	for _, t := range p.list {
		if filter.accepts(now, t) {
			return 0, false
		}
		if t.isLeaving() || t.evacuated || !t.announced.paused(now) {
			continue
		}
		if first == nil || t.announced.pausedUntil.Before(first.announced.pausedUntil) {
			first = t
		}
	}
	if first == nil {
		return 0, false
	}
	return first.announced.pausedUntil.Sub(now), true
}

// unavailableReason returns the reason why no target can take a request.
func (p *Pool) unavailableReason(now time.Time) Reason {
	if _, paused := p.pauseLeft(now); paused {
		return ReasonPaused
	}
	if p.allEvacuated() {
		return ReasonEvacuated
	}
	return ReasonNoTarget
}
