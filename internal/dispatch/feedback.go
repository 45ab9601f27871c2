package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

// muteFactor times the mean service time without an answer by the deadline is a
// failure of the target.
const muteFactor = 3

// learn takes over what the end of an attempt tells of its target.
func (s *Scheduler) learn(now time.Time, attempt *Attempt, result Result) {
	m := attempt.member
	m.Ended(now, attempt.sample(result))
	if result.Leaving {
		m.leave(signAnswer)
	}
	if result.Answer != nil {
		m.check.heardAt = now
	}
	if m.Leaving {
		return
	}
	s.judge(now, attempt, result)
}

// judge passes the end of an attempt on to the judgement of targets.
func (s *Scheduler) judge(now time.Time, attempt *Attempt, result Result) {
	took := now.Sub(attempt.Started)
	health := &attempt.member.health
	peers := attempt.member.group.live()
	switch {
	case result.Kind == Answered && !result.ServerError:
		s.service.observe(took)
		peers.Good(now, health, took)
	case result.Kind == Answered:
		peers.Failed(now, health, outlier.ServerError, s.service.mean)
	case result.Unreachable && !attempt.canceled:
		peers.Failed(now, health, outlier.NoConnection, s.service.mean)
	case result.Kind == NotRun && result.Answer != nil:
		health.Shed(now, s.service.mean)
	case result.Kind == Lost:
		s.judgeLost(now, attempt, peers, took)
	}
}

// judgeLost tells canceled attempts from those that the target lost.
func (s *Scheduler) judgeLost(now time.Time, attempt *Attempt, peers outlier.Group, took time.Duration) {
	health := &attempt.member.health
	switch {
	case !attempt.canceled, attempt.expired && took > s.service.mean*muteFactor:
		peers.Failed(now, health, outlier.NoAnswer, s.service.mean)
	default:
		peers.Overtaken(now, health, took)
	}
}
