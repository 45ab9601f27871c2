package relay

import (
	"math/rand/v2"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
)

const (
	// readerMaxAge and maxAge are the ages at which the replicas of the zone's reader and of the
	// other daemons are in doubt. The reader's reports reach the others in between. The others
	// add up to ageSpread, so that the first of them to read again can tell the rest.
	readerMaxAge = 2400 * time.Millisecond
	maxAge       = 2800 * time.Millisecond
	ageSpread    = 100 * time.Millisecond
	// behindGrace is how long a replica may lack a change that another daemon has reported. The
	// change may be on its way.
	behindGrace = 700 * time.Millisecond
)

// doubt is a reason to doubt that a watch still returns changes.
type doubt string

const (
	noDoubt doubt = ""
	// tooOld means that nothing has shown lately that there are no changes.
	tooOld doubt = "too_old"
	// behind means that another daemon has a change for which the watch still waits.
	behind doubt = "behind"
	// storeLost means that the external store was found not to answer.
	storeLost doubt = "store_lost"
)

// currency is what is known of how current a replica is. It is guarded by the replica's lock.
type currency struct {
	// changed is the position of the last change in the replica.
	changed feed.Position
	// currentAt is a time at which the replica had all changes.
	currentAt time.Time
	// reported is the latest change that other daemons have reported, if the replica lacks it,
	// and behindSince when the first such report came.
	reported    feed.Position
	behindSince time.Time
	// storeLost is set if the external store was lost during the current watch.
	storeLost bool
}

// recordChange records a change that was seen at a position. The object's own revision is that of the
// change unless it is 0 or, as it may be after a deletion, that of an earlier one.
func (c *currency) recordChange(seenAt feed.Position, revision uint64) {
	if revision > c.changed.Revision && c.changed.Epoch == seenAt.Epoch {
		seenAt.Revision = min(seenAt.Revision, revision)
	}
	if c.changed.Before(seenAt) {
		c.changed = seenAt
	}
}

// newest returns the position of the last change of the objects that were listed at a position. An odd
// object may name a later one.
func newest(listedAt feed.Position, objects []feed.Object) feed.Position {
	last := feed.Position{Epoch: listedAt.Epoch}
	for _, object := range objects {
		last.Revision = max(last.Revision, min(object.Revision, listedAt.Revision))
	}
	return last
}

// currentAt returns the time at which the replica of another daemon had all changes, by the age in
// its response.
func currentAt(ageMillis int64) time.Time {
	return time.Now().Add(-time.Duration(ageMillis) * time.Millisecond)
}

// ageLimit returns the age at which a replica is in doubt.
func (s *Store) ageLimit() time.Duration {
	if s.options.IsReader() {
		return readerMaxAge
	}
	return maxAge + rand.N(ageSpread)
}

// Reports implements heartbeat.FeedReporter.
func (s *Store) Reports() []heartbeat.FeedReport {
	var reports []heartbeat.FeedReport
	for _, kind := range s.options.Kinds {
		if report, ok := s.replicas[kind.Name].report(time.Now()); ok {
			report.Kind = kind.Name
			reports = append(reports, report)
		}
	}
	return reports
}

// HandleReports implements heartbeat.FeedReporter.
func (s *Store) HandleReports(reports []heartbeat.FeedReport) {
	for _, report := range reports {
		if local := s.replicas[report.Kind]; local != nil {
			local.handleReport(time.Now(), report)
		}
	}
}

// report returns a report on the replica, or false if the replica is empty.
func (r *replica) report(now time.Time) (heartbeat.FeedReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return heartbeat.FeedReport{
		Epoch:     r.currency.changed.Epoch,
		Revision:  r.currency.changed.Revision,
		AgeMillis: now.Sub(r.currency.currentAt).Milliseconds(),
	}, r.at.Revision > 0
}

// handleReport handles the report of another daemon. If the replica has all changes that the daemon
// has, it is as current as that daemon's.
func (r *replica) handleReport(now time.Time, report heartbeat.FeedReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := feed.Position{Epoch: report.Epoch, Revision: report.Revision}
	if r.at.Revision == 0 || changed.Epoch < r.at.Epoch {
		return
	}
	if !r.at.Before(changed) {
		r.confirmLocked(now.Add(-time.Duration(report.AgeMillis) * time.Millisecond))
		return
	}
	if r.currency.reported.Before(changed) {
		r.currency.reported = changed
	}
	if r.currency.behindSince.IsZero() {
		r.currency.behindSince = now
		r.wakeWatch()
	}
}

// confirm records that the replica had all changes at a time.
func (r *replica) confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmLocked(at)
}

func (r *replica) confirmLocked(at time.Time) {
	if r.currency.currentAt.Before(at) {
		r.currency.currentAt = at
	}
}

// neverConfirmed reports whether nothing has shown yet that the replica is current.
func (r *replica) neverConfirmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currency.currentAt.IsZero()
}

// age returns for how long nothing has shown that the replica has all changes.
func (r *replica) age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.currency.currentAt)
}

// beginWatch records that a watch begins.
func (r *replica) beginWatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currency.storeLost = false
}

// markStoreLost puts the current watch in doubt, since the external store doesn't answer.
func (r *replica) markStoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currency.storeLost = true
	r.wakeWatch()
}

// forgetReports forgets the changes that other daemons have reported. The external store was read
// since.
func (r *replica) forgetReports() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currency.reported, r.currency.behindSince = feed.Position{}, time.Time{}
}

// doubt returns why the current watch is in doubt, if the replica may have a certain age. Without a
// doubt, it returns when to ask again.
func (r *replica) doubt(now time.Time, ageLimit time.Duration) (doubt, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := now.Sub(r.currency.currentAt)
	checkAfter := ageLimit - age
	switch {
	case r.currency.currentAt.IsZero():
		return noDoubt, ageLimit
	case r.currency.storeLost:
		return storeLost, 0
	case checkAfter <= 0:
		return tooOld, 0
	case r.currency.behindSince.IsZero():
		return noDoubt, untilCheck(age, checkAfter)
	}
	grace := behindGrace - now.Sub(r.currency.behindSince)
	if grace <= 0 {
		return behind, 0
	}
	return noDoubt, min(untilCheck(age, checkAfter), grace)
}

// untilCheck returns when to ask for doubts again about a replica that is in doubt after some time:
// also at the reader's age limit, since the daemon may have become the reader.
func untilCheck(age, inDoubtAfter time.Duration) time.Duration {
	if age < readerMaxAge {
		return min(inDoubtAfter, readerMaxAge-age)
	}
	return inDoubtAfter
}

// wakeWatch makes the current watch look for doubts. The caller holds the lock.
func (r *replica) wakeWatch() {
	select {
	case r.doubted <- struct{}{}:
	default:
	}
}
