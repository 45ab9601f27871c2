package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/placement"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// configureService applies the configuration of a service.
func (g *Gateway) configureService(configured *route.Service) {
	s := g.service(configured.Name)
	s.healthPath = configured.HealthPath
	s.coldStart, s.coldRate = configured.ColdStart, configured.ColdRate
	g.applyColdLimit(time.Now(), s)
}

// applyColdLimit passes the limit for cold targets to the pool of a service.
func (g *Gateway) applyColdLimit(now time.Time, s *service) {
	s.pool.SetColdLimit(now, placement.ColdLimit{Rate: s.coldRate, Share: g.shares.Cold, Start: s.coldStart})
}

// renewColdLimits passes the daemon's share to the pools that limit the requests to cold targets.
func (g *Gateway) renewColdLimits(now time.Time) {
	for _, s := range g.services {
		if s.coldRate > 0 {
			g.applyColdLimit(now, s)
		}
	}
}

// recordColdTime passes what the response to a health check says of the target's cold time to the
// target's pool.
func (g *Gateway) recordColdTime(now time.Time, s *service, target *placement.Target, info ProbeInfo) {
	if s.coldRate <= 0 {
		return
	}
	wasCold := target.Cold(now)
	s.pool.RecordColdTime(now, target, info.ColdFor, info.TellsCold)
	if target.Cold(now) && !wasCold {
		g.log.cold(now, s, target, info.ColdFor)
	}
}

// coldTargets returns the number of targets to which requests are limited because they are cold.
func (s *service) coldTargets(now time.Time) int {
	if s.coldRate <= 0 {
		return 0
	}
	count := 0
	for _, target := range s.pool.Targets() {
		if target.Cold(now) {
			count++
		}
	}
	return count
}

// recordRefused counts a refused request.
func (c *Counts) recordRefused(reason placement.Reason) {
	c.Refused++
	switch reason {
	case placement.ReasonCold:
		c.RefusedCold++
	case placement.ReasonEvacuated:
		c.RefusedEvacuated++
	}
}

// cold logs that a target has become cold.
func (l *eventLog) cold(now time.Time, s *service, target *placement.Target, remaining time.Duration) {
	if l.allow() {
		l.ofTarget(now, s, target).WithField("cold_ms", remaining.Milliseconds()).Info("target is cold")
	}
}

// moreCold logs that targets of a service are cold by a list.
func (l *eventLog) moreCold(s *service, before, after int) {
	if after > before && l.allow() {
		l.log.WithFields(logrus.Fields{"service": s.name, "cold": after, "before": before}).Info("targets are cold")
	}
}
