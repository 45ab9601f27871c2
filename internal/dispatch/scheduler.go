package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/entryset"
)

// Scheduler schedules the calls of one service. It is not safe for concurrent
// use.
type Scheduler struct {
	rng     *rand.Rand
	policy  balancer.Policy
	targets []*balancer.Target
	byName  map[string]*balancer.Target
	wakes   wakeHeap
	retries shareBudget
	hedges  shareBudget
	nextID  uint64
	actions []Action
	scratch []*balancer.Target
}

// NewScheduler returns a scheduler without targets.
func NewScheduler(rng *rand.Rand) *Scheduler {
	return &Scheduler{rng: rng, policy: balancer.LeastInFlight{}, byName: map[string]*balancer.Target{}}
}

// Configure applies the rules and targets of a service. What is known of
// targets that stay is kept. The error is a *balancer.UnknownPolicyError.
func (s *Scheduler) Configure(service *config.Service) error {
	policy, err := balancer.New(service.Policy)
	if err != nil {
		return err
	}
	s.policy = policy
	s.retries.share = service.RetryShare
	s.hedges.share = service.HedgeShare
	s.setTargets(service)
	return nil
}

func (s *Scheduler) setTargets(service *config.Service) {
	previous := s.byName
	s.byName = map[string]*balancer.Target{}
	s.targets = nil
	for _, group := range service.Groups {
		for _, configured := range group.Targets {
			target := previous[configured.Name]
			if target == nil || target.Address != configured.Address {
				target = &balancer.Target{Name: configured.Name, Address: configured.Address, Zone: configured.Zone}
			}
			target.Slots = group.Slots
			target.MaxConnections = entryset.ConnectionShare(group.MaxConnections, service.EntryVMs())
			s.byName[target.Name] = target
			s.targets = append(s.targets, target)
		}
	}
}

// Targets returns the targets for inspection.
func (s *Scheduler) Targets() []*balancer.Target { return s.targets }

// SetLeaving marks a target as leaving or back.
func (s *Scheduler) SetLeaving(name string, leaving bool) {
	if target := s.byName[name]; target != nil {
		target.Leaving = leaving
	}
}

// Arrive starts a call. The returned actions are valid until the next event.
func (s *Scheduler) Arrive(now time.Time, call *Call) []Action {
	s.actions = s.actions[:0]
	call.state.arrived = now
	s.retries.earn()
	s.hedges.earn()
	if !call.Deadline.After(now) {
		s.finish(call, Refuse, nil, ReasonDeadline)
		return s.actions
	}
	if !s.start(now, call, false) {
		s.finish(call, Refuse, nil, ReasonNoTarget)
		return s.actions
	}
	if after := call.Type.HedgeAfter(); after > 0 {
		call.state.hedgeAt = now.Add(after)
	}
	s.schedule(call)
	return s.actions
}

// Finished takes the end of an attempt. The returned actions are valid until the
// next event.
func (s *Scheduler) Finished(now time.Time, attempt *Attempt, result Result) []Action {
	s.actions = s.actions[:0]
	attempt.Target.Ended(now, attempt.sample(result))
	attempt.Target.InFlight--
	if result.Leaving {
		attempt.Target.Leaving = true
	}
	call := attempt.Call
	call.removeAttempt(attempt)
	if call.state.done {
		s.late(call, result)
		return s.actions
	}
	if result.Kind == Lost {
		call.state.sent = true
	}
	if result.Kind == Answered && !s.shouldReplace(call, result) {
		s.finish(call, Reply, result.Answer, "")
		return s.actions
	}
	s.afterFailure(now, call, result)
	return s.actions
}

func (s *Scheduler) late(call *Call, result Result) {
	if result.Kind == Answered {
		s.actions = append(s.actions, Action{Kind: Late, Call: call, Answer: result.Answer})
	}
}

// shouldReplace reports whether a failure answer is worth another attempt.
func (s *Scheduler) shouldReplace(call *Call, result Result) bool {
	return result.ServerError && call.Type.Idempotent
}

func (s *Scheduler) afterFailure(now time.Time, call *Call, result Result) {
	if len(call.state.live) > 0 {
		return
	}
	if s.mayRetry(now, call) && s.start(now, call, false) {
		s.schedule(call)
		return
	}
	switch {
	case result.Kind == Answered:
		s.finish(call, Reply, result.Answer, "")
	case call.state.sent:
		s.finish(call, Unknown, nil, ReasonTargetLost)
	default:
		s.finish(call, Refuse, nil, ReasonUnavailable)
	}
}

func (s *Scheduler) mayRetry(now time.Time, call *Call) bool {
	if call.state.sent && !call.Type.Idempotent {
		return false
	}
	if call.state.started >= call.limit() || !call.Deadline.After(now) {
		return false
	}
	return s.retries.spend()
}

// Expire handles every deadline and hedge that is due. The returned actions are
// valid until the next event.
func (s *Scheduler) Expire(now time.Time) []Action {
	s.actions = s.actions[:0]
	for len(s.wakes) > 0 && !s.wakes[0].state.wakeAt.After(now) {
		call := s.wakes[0]
		s.wake(now, call)
	}
	return s.actions
}

func (s *Scheduler) wake(now time.Time, call *Call) {
	if !call.Deadline.After(now) {
		s.finish(call, Unknown, nil, ReasonDeadline)
		return
	}
	call.state.hedgeAt = time.Time{}
	if call.state.started < call.limit() && s.hedges.spend() {
		s.start(now, call, true)
	}
	s.schedule(call)
}

// Abandon ends a call whose caller is gone. Non-idempotent attempts go on, so
// that their outcome becomes known. The returned actions are valid until the
// next event.
func (s *Scheduler) Abandon(_ time.Time, call *Call) []Action {
	s.actions = s.actions[:0]
	if call.state.done || !call.Type.Idempotent {
		return s.actions
	}
	s.finish(call, Unknown, nil, ReasonCallerGone)
	return s.actions
}

// NextWake returns when Expire has to be called next; zero means never.
func (s *Scheduler) NextWake() time.Time {
	if len(s.wakes) == 0 {
		return time.Time{}
	}
	return s.wakes[0].state.wakeAt
}

func (s *Scheduler) start(now time.Time, call *Call, hedge bool) bool {
	target := s.pick(now, call)
	if target == nil {
		return false
	}
	s.nextID++
	attempt := &Attempt{ID: s.nextID, Call: call, Target: target, Started: now, Hedge: hedge}
	target.InFlight++
	target.Began(now)
	call.state.started++
	call.state.live = append(call.state.live, attempt)
	call.state.tried = append(call.state.tried, target)
	s.actions = append(s.actions, Action{Kind: Start, Call: call, Attempt: attempt})
	return true
}

func (s *Scheduler) pick(now time.Time, call *Call) *balancer.Target {
	s.scratch = s.scratch[:0]
	for _, target := range s.targets {
		if !target.Leaving && target.HasConnection() && !call.hasTried(target) {
			s.scratch = append(s.scratch, target)
		}
	}
	if len(s.scratch) == 0 {
		return nil
	}
	return s.policy.Pick(now, s.rng, s.scratch)
}

// finish answers the call and cancels its idempotent attempts. Others go on, so
// that their outcome becomes known.
func (s *Scheduler) finish(call *Call, kind ActionKind, answer any, reason Reason) {
	call.state.done = true
	s.unschedule(call)
	if call.Type.Idempotent {
		for _, attempt := range call.state.live {
			attempt.stopped = true
			s.actions = append(s.actions, Action{Kind: Cancel, Call: call, Attempt: attempt})
		}
	}
	s.actions = append(s.actions, Action{Kind: kind, Call: call, Answer: answer, Reason: reason})
}

func (s *Scheduler) schedule(call *Call) {
	call.state.wakeAt = call.Deadline
	if hedge := call.state.hedgeAt; !hedge.IsZero() && hedge.Before(call.Deadline) {
		call.state.wakeAt = hedge
	}
	if call.state.queued {
		heap.Fix(&s.wakes, call.state.heapIndex)
		return
	}
	heap.Push(&s.wakes, call)
}

func (s *Scheduler) unschedule(call *Call) {
	if call.state.queued {
		heap.Remove(&s.wakes, call.state.heapIndex)
	}
}

// limit is the number of attempts that the call may make here.
func (c *Call) limit() int { return min(c.Attempts, c.Type.MaxAttempts) }

func (c *Call) hasTried(target *balancer.Target) bool {
	for _, tried := range c.state.tried {
		if tried == target {
			return true
		}
	}
	return false
}

func (c *Call) removeAttempt(attempt *Attempt) {
	for i, live := range c.state.live {
		if live == attempt {
			c.state.live = append(c.state.live[:i], c.state.live[i+1:]...)
			return
		}
	}
}
