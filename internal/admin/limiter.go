package admin

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstShare is the part of a team's requests a minute that may come at once.
	burstShare = 6
	// maxRequestsUnderWay bounds a team's requests under way at one daemon, so that
	// no team holds all of the server's connections or bodies.
	maxRequestsUnderWay = 4
	// underWayRetry is what a team with too many requests under way is told to wait.
	underWayRetry = time.Second
)

// limiter bounds the requests of each team. It is safe for concurrent use.
type limiter struct {
	mu    sync.Mutex
	teams map[string]*teamLimit
}

// teamLimit is the state of one team.
type teamLimit struct {
	perMinute int
	rate      *rate.Limiter
	underWay  int
}

func newLimiter() *limiter { return &limiter{teams: map[string]*teamLimit{}} }

// begin counts a request of a team. If it is refused, the result is the time after
// which the team may try again, and otherwise 0; then end must follow.
func (l *limiter) begin(now time.Time, team string, perMinute int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.teams[team]
	if limit == nil {
		limit = &teamLimit{}
		l.teams[team] = limit
	}
	limit.configure(now, perMinute)
	if limit.underWay >= maxRequestsUnderWay {
		return underWayRetry
	}
	if wait := limit.take(now); wait > 0 {
		return wait
	}
	limit.underWay++
	return 0
}

// end counts the end of a request that begin has let pass.
func (l *limiter) end(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.teams[team].underWay--
}

// configure sets the rate, if it has changed.
func (t *teamLimit) configure(now time.Time, perMinute int) {
	if t.perMinute == perMinute {
		return
	}
	limit := rate.Limit(float64(perMinute) / time.Minute.Seconds())
	burst := max(perMinute/burstShare, 1)
	t.perMinute = perMinute
	if t.rate == nil {
		t.rate = rate.NewLimiter(limit, burst)
		return
	}
	t.rate.SetLimitAt(now, limit)
	t.rate.SetBurstAt(now, burst)
}

// take returns 0 if a request may pass, and otherwise the time until the next may.
func (t *teamLimit) take(now time.Time) time.Duration {
	reservation := t.rate.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// prune forgets teams that no longer exist and have nothing under way, if there are
// more than the number of teams that exist.
func (l *limiter) prune(teams int, exists func(team string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.teams) <= teams {
		return
	}
	for name, limit := range l.teams {
		if limit.underWay == 0 && !exists(name) {
			delete(l.teams, name)
		}
	}
}

// retrySeconds rounds a time up to the seconds of adminapi.HeaderRetryAfter.
func retrySeconds(wait time.Duration) int { return max(1, int(math.Ceil(wait.Seconds()))) }
