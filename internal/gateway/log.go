package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/route"
	"github.com/poplarwheel/poplarwheel/internal/targetclient"
)

const (
	// logLinesPerSecond limits the log lines about requests.
	logLinesPerSecond = 20
	// logBurst is the number of such lines that may be written at once.
	logBurst = 60
	// unauthenticatedLinesPerSecond and unauthenticatedBurst limit the log lines about requests
	// without a known key. They have a limit of their own: callers without a key could
	// otherwise suppress the other lines.
	unauthenticatedLinesPerSecond = 5
	unauthenticatedBurst          = 20
	// hedgeLinesPerSecond and hedgeBurst limit the log lines about hedges, so that they leave
	// room for those about requests that are not served.
	hedgeLinesPerSecond = 2
	hedgeBurst          = 10
)

// eventLog writes a rate-limited log line for each request that is refused, late or of
// unknown outcome, and for each failed attempt. Lines above the limit are dropped and
// counted.
type eventLog struct {
	log     logrus.FieldLogger
	limiter *rate.Limiter
	// unauthenticatedLimiter limits the lines about requests without a known key.
	unauthenticatedLimiter *rate.Limiter

	dropped int
	// hedges limits the lines about hedges. Those above the limit are not counted.
	hedges *rate.Limiter
}

func newEventLog(log logrus.FieldLogger) *eventLog {
	return &eventLog{
		log:                    log,
		limiter:                rate.NewLimiter(logLinesPerSecond, logBurst),
		unauthenticatedLimiter: rate.NewLimiter(unauthenticatedLinesPerSecond, unauthenticatedBurst),
		hedges:                 rate.NewLimiter(hedgeLinesPerSecond, hedgeBurst),
	}
}

// allow reports whether another line may be written, and counts a dropped line if not.
func (l *eventLog) allow() bool { return l.allowBy(l.limiter) }

func (l *eventLog) allowBy(limiter *rate.Limiter) bool {
	if limiter.Allow() {
		return true
	}
	l.dropped++
	return false
}

// reportDropped logs the number of lines that were dropped since the last report.
func (l *eventLog) reportDropped() {
	if l.dropped == 0 {
		return
	}
	l.log.WithField("dropped", l.dropped).Warn("log lines left out")
	l.dropped = 0
}

// configured logs that a configuration has become active.
func (l *eventLog) configured(table *route.Table) {
	l.log.WithFields(logrus.Fields{
		"revision": table.Revision(),
		"routes":   len(table.Routes()),
		"services": len(table.Services()),

		"requires_keys": table.RequiresKeys(),
		"workspaces":    len(table.Workspaces()),

		"header_bytes_limit": table.Limits().HeaderBytes,
		"body_bytes_limit":   table.Limits().BodyBytes,
	}).Info("configuration in force")
}

// configurationIgnored logs that a configuration older than the active one was received.
func (l *eventLog) configurationIgnored(received, active uint64) {
	if received < active {
		l.log.WithField("received", received).WithField("revision", active).Info("older configuration ignored")
	}
}

// notServed logs a request that the daemon answers itself, without a target's response.
func (l *eventLog) notServed(c *call, status int, reason placement.Reason) {
	if !l.allow() {
		return
	}
	now := time.Now()
	log := l.log
	if c.workspace != nil {
		log = log.WithField("workspace", c.workspace.Name)
	}
	log.WithFields(logrus.Fields{
		"request":  string(c.gateway.options.Dialect.RequestID(c.request)),
		"route":    c.route.Name,
		"service":  c.service.name,
		"status":   status,
		"reason":   string(reason),
		"attempts": c.placed.Attempts(),
		"held_ms":  now.Sub(c.started).Milliseconds(),
		"due_ms":   c.placed.SoftDeadline.Sub(now).Milliseconds(),
		"left_ms":  c.placed.Deadline.Sub(now).Milliseconds(),
		"queued":   c.service.pool.Queued(),
		"revision": c.gateway.table.Revision(),
	}).Warn("request not served")
}

// late logs a target's response that came after the latency objective.
func (l *eventLog) late(a *attempt) {
	if !l.allow() {
		return
	}
	c := a.call
	now := time.Now()
	l.log.WithFields(logrus.Fields{
		"request":      string(c.gateway.options.Dialect.RequestID(c.request)),
		"route":        c.route.Name,
		"service":      c.service.name,
		"target":       a.placed.Target.ID,
		"attempts":     c.placed.Attempts(),
		"placed_ms":    a.sentAt.Sub(c.started).Milliseconds(),
		"took_ms":      now.Sub(a.sentAt).Milliseconds(),
		"late_ms":      now.Sub(c.placed.SoftDeadline).Milliseconds(),
		"work_ms":      c.placed.ServiceTime.Milliseconds(),
		"slowness":     a.placed.Slowness,
		"slowness_end": a.placed.Target.Slowness(now),
		"at_target":    a.placed.Target.Load(now),
	}).Info("answer late")
}

// hedged logs a request that is sent to a second target because the first is slow.
func (l *eventLog) hedged(now time.Time, a *attempt) {
	if !l.hedges.Allow() {
		return
	}
	c := a.call
	l.log.WithFields(logrus.Fields{
		"request":  string(c.gateway.options.Dialect.RequestID(c.request)),
		"route":    c.route.Name,
		"service":  c.service.name,
		"target":   a.placed.Target.ID,
		"held_ms":  now.Sub(c.started).Milliseconds(),
		"due_ms":   c.placed.SoftDeadline.Sub(now).Milliseconds(),
		"left_ms":  c.placed.Deadline.Sub(now).Milliseconds(),
		"work_ms":  c.placed.ServiceTime.Milliseconds(),
		"slowness": a.placed.Slowness,
	}).Info("request hedged")
}

// attemptFailed logs an attempt without a successful response.
func (l *eventLog) attemptFailed(a *attempt, result placement.Result, err error) {
	if !l.allow() {
		return
	}
	entry := l.log.WithFields(logrus.Fields{
		"request": string(a.call.gateway.options.Dialect.RequestID(a.call.request)),
		"route":   a.call.route.Name,
		"target":  a.placed.Target.ID,
		"outcome": result.Outcome.String(),
		"took_ms": time.Since(a.sentAt).Milliseconds(),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	if violation, ok := targetclient.ViolationOf(err); ok {
		entry = entry.WithField("violation", string(violation))
	}
	entry.Warn("attempt failed")
}

// announcement logs that a target has begun to leave or to pause. It must be called before the
// pool gets the announcement.
func (l *eventLog) announcement(now time.Time, s *service, target *placement.Target, announcement placement.Announcement) {
	if announcement.Leaving && !target.Leaving() && l.allow() {
		l.ofTarget(now, s, target).Info("target announced that it is leaving")
	}
	if announcement.RetryAfter > 0 && !target.Paused(now) && l.allow() {
		l.ofTarget(now, s, target).WithField("retry_after_ms", announcement.RetryAfter.Milliseconds()).Info("target asked for a pause")
	}
}

// targetDied logs that a target died while it ran a request.
func (l *eventLog) targetDied(a *attempt, id quarantine.Identity) {
	if !l.allow() {
		return
	}
	l.log.WithFields(logrus.Fields{
		"request":   string(a.call.gateway.options.Dialect.RequestID(a.call.request)),
		"route":     a.call.route.Name,
		"target":    a.placed.Target.ID,
		"content":   uint64(id.Content),
		"by_caller": uint64(id.ByCaller),
	}).Warn("target died under a request")
}

// ofTarget returns a log entry with the identity of a target.
func (l *eventLog) ofTarget(now time.Time, s *service, target *placement.Target) *logrus.Entry {
	return l.log.WithFields(logrus.Fields{
		"service":     s.name,
		"target":      target.ID,
		"incarnation": target.Incarnation,
		"address":     target.Address,
		"in_flight":   target.State(now).Own,
	})
}

// notPlaced logs a request that was refused before it was passed to a pool.
func (l *eventLog) notPlaced(g *Gateway, request *fasthttp.Request, status int, reason string) {
	if l.allow() {
		l.writeNotPlaced(g, request, status, reason)
	}
}

// unauthenticated logs a request that was refused because of its key. The key is not logged.
func (l *eventLog) unauthenticated(g *Gateway, request *fasthttp.Request, reason string) {
	if l.allowBy(l.unauthenticatedLimiter) {
		l.writeNotPlaced(g, request, fasthttp.StatusUnauthorized, reason)
	}
}

func (l *eventLog) writeNotPlaced(g *Gateway, request *fasthttp.Request, status int, reason string) {
	l.log.WithFields(logrus.Fields{
		"request":  string(g.options.Dialect.RequestID(request)),
		"host":     string(request.Header.Host()),
		"path":     string(rawPath(request)),
		"status":   status,
		"reason":   reason,
		"revision": g.Revision(),
	}).Warn("request not placed")
}
