package dispatch

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/outlier"
)

// noResponseFactor is the multiple of the mean service time after which an attempt
// without a response by the deadline counts as a failure of the target.
const noResponseFactor = 3

// recordFeedback updates the state of the target with the result of an attempt.
func (s *Scheduler) recordFeedback(now time.Time, attempt *Attempt, result Result) {
	m := attempt.member
	m.RecordEnd(now, attempt.sample(result))
	if result.Leaving {
		m.markLeaving(sourceTarget)
	}
	if result.Answer != nil {
		m.check.respondedAt = now
	}
	if m.Leaving {
		return
	}
	s.updateHealth(now, attempt, result)
}

// updateHealth passes the result of an attempt to outlier detection.
func (s *Scheduler) updateHealth(now time.Time, attempt *Attempt, result Result) {
	took := now.Sub(attempt.Started)
	health := &attempt.member.health
	peers := attempt.member.group.activeHealth()
	switch {
	case result.Kind == Answered && !result.ServerError:
		s.serviceTime.observe(took)
		peers.RecordSuccess(now, health, took)
	case result.Kind == Answered:
		peers.RecordFailure(now, health, outlier.ServerError, s.serviceTime.mean)
	case result.Unreachable && !attempt.canceled:
		peers.RecordFailure(now, health, outlier.NoConnection, s.serviceTime.mean)
	case result.Kind == NotRun && result.Answer != nil:
		health.RecordOverload(now, s.serviceTime.mean)
	case result.Kind == Lost:
		s.updateHealthOnLoss(now, attempt, peers, took)
	}
}

// updateHealthOnLoss records an attempt without a response as a failure of the
// target, unless this daemon canceled it early.
func (s *Scheduler) updateHealthOnLoss(now time.Time, attempt *Attempt, peers outlier.Group, took time.Duration) {
	health := &attempt.member.health
	switch {
	case !attempt.canceled, attempt.expired && took > s.serviceTime.mean*noResponseFactor:
		peers.RecordFailure(now, health, outlier.NoResponse, s.serviceTime.mean)
	default:
		peers.RecordCanceled(now, health, took)
	}
}
