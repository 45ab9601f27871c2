package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/invariant"
)

// Scheduler schedules the calls of one service. It is not safe for concurrent
// use.
type Scheduler struct {
	rng     *rand.Rand
	policy  balancer.Policy
	targets targetSet
	queue   fairQueue
	service serviceTime
	timers  timers
	retries shareBudget
	hedges  shareBudget
	nextID  uint64
	actions []Action
	scratch candidates
	changes []Change

	calledAt    time.Time
	checkedAt   time.Time
	checkCredit float64
}

// NewScheduler returns a scheduler without targets.
func NewScheduler(rng *rand.Rand) *Scheduler {
	return &Scheduler{
		rng:     rng,
		policy:  balancer.LeastInFlight{},
		targets: newTargetSet(),
		queue:   newFairQueue(),
		retries: newShareBudget(budgetCap),
		hedges:  newShareBudget(0),
	}
}

// Configure applies the rules and targets of a service. What is known of
// targets that stay is kept. The driver calls Expire afterwards. The error is a
// *balancer.UnknownPolicyError.
func (s *Scheduler) Configure(service *config.Service) error {
	policy, err := balancer.New(service.Policy)
	if err != nil {
		return err
	}
	s.policy = policy
	s.retries.setShare(service.RetryShare)
	s.hedges.setShare(service.HedgeShare)
	s.targets.configure(service)
	return nil
}

// Targets returns the targets for inspection.
func (s *Scheduler) Targets() []*balancer.Target { return s.targets.list }

// Queued returns the number of calls that wait for a free slot.
func (s *Scheduler) Queued() int { return s.queue.length }

// Arrive starts a call. A call that was abandoned before gets no actions. The
// returned actions are valid until the next event.
func (s *Scheduler) Arrive(now time.Time, call *Call) []Action {
	s.actions = s.actions[:0]
	if call.state.done {
		return s.actions
	}
	call.state.arrived = now
	call.state.live = call.state.liveBuffer[:0]
	call.state.tried = call.state.triedBuffer[:0]
	s.calledAt = now
	call.state.allowance = newAllowance(max(call.limit()-1, 0))
	s.retries.earn()
	s.hedges.earn()
	if !call.Deadline.After(now) {
		s.giveUp(call, ReasonDeadline)
		return s.actions
	}
	s.drain(now)
	s.admit(now, call)
	return s.actions
}

// admit starts a new call, queues it or refuses it.
func (s *Scheduler) admit(now time.Time, call *Call) {
	if !call.mayWait() || s.queue.length == 0 {
		if m := s.pick(now, call, call.mayWait()); m != nil {
			s.begin(now, call, m)
			return
		}
	}
	if !call.mayWait() || !s.targets.anyLive() {
		s.giveUp(call, ReasonNoTarget)
		return
	}
	s.enqueue(now, call)
}

// begin starts the first attempt of a call.
func (s *Scheduler) begin(now time.Time, call *Call, m *member) {
	s.start(now, call, m, false)
	if after := call.Type.HedgeAfter(); after > 0 && call.Type.Idempotent {
		call.state.hedgeAt = now.Add(after)
	}
	s.schedule(call)
}

// Finished takes the end of an attempt. The returned actions are valid until the
// next event.
func (s *Scheduler) Finished(now time.Time, attempt *Attempt, result Result) []Action {
	s.actions = s.actions[:0]
	s.learn(now, attempt, result)
	s.note(now, attempt.member)
	s.targets.release(attempt.member)
	call := attempt.Call
	call.removeAttempt(attempt)
	call.settleAllowance(attempt, result)
	s.conclude(now, call, result)
	s.drain(now)
	return s.actions
}

// conclude goes on with a call after the end of an attempt.
func (s *Scheduler) conclude(now time.Time, call *Call, result Result) {
	if call.state.done {
		s.late(call, result)
		return
	}
	if result.Kind != Answered {
		s.afterFailure(now, call, result.NoRetry)
		return
	}
	if result.ServerError && call.Type.Idempotent {
		call.state.failure = result.Answer
		s.afterFailure(now, call, result.NoRetry)
		return
	}
	s.finish(call, Reply, result.Answer, "")
}

func (s *Scheduler) late(call *Call, result Result) {
	if result.Kind == Answered {
		s.actions = append(s.actions, Action{Kind: Late, Call: call, Answer: result.Answer})
	}
}

// afterFailure goes on after an attempt without a good answer.
func (s *Scheduler) afterFailure(now time.Time, call *Call, noRetry bool) {
	if len(call.state.live) > 0 {
		return
	}
	if !noRetry && s.retry(now, call) {
		return
	}
	reason := ReasonUnavailable
	if call.mayHaveRun() {
		reason = ReasonTargetLost
	}
	s.giveUp(call, reason)
}

// retry starts another attempt if the rules and budgets allow it. Retries don't
// wait for a free slot: their budget bounds them.
func (s *Scheduler) retry(now time.Time, call *Call) bool {
	if call.mayHaveRun() && !call.Type.Idempotent {
		return false
	}
	if !call.mayStart() || !call.Deadline.After(now) || !s.retries.available() {
		return false
	}
	m := s.pick(now, call, true)
	if m == nil {
		m = s.pick(now, call, false)
	}
	if m == nil {
		return false
	}
	s.retries.spend()
	s.start(now, call, m, false)
	s.schedule(call)
	return true
}

// Expire handles every deadline and hedge that is due and starts the calls that
// can stop waiting. The returned actions are valid until the next event.
func (s *Scheduler) Expire(now time.Time) []Action {
	s.actions = s.actions[:0]
	for len(s.timers) > 0 && !s.timers[0].state.timer.at.After(now) {
		s.wake(now, s.timers[0])
	}
	s.drain(now)
	s.noteAll(now)
	return s.actions
}

func (s *Scheduler) wake(now time.Time, call *Call) {
	if call.state.waiting {
		s.giveUp(call, ReasonOverload)
		return
	}
	if !call.Deadline.After(now) {
		call.expireAttempts()
		s.giveUp(call, ReasonDeadline)
		return
	}
	call.state.hedgeAt = time.Time{}
	s.hedge(now, call)
	s.schedule(call)
}

// hedge starts an attempt beside the live one if the budgets allow it. A call
// that could have waited is hedged only at a target with a free slot.
func (s *Scheduler) hedge(now time.Time, call *Call) {
	if !call.mayStart() || !s.hedges.available() {
		return
	}
	if m := s.pick(now, call, call.mayWait()); m != nil {
		s.hedges.spend()
		s.start(now, call, m, true)
	}
}

// StopHedging keeps a call from being hedged while the driver looks into the end
// of one of its attempts. The returned actions are valid until the next event.
func (s *Scheduler) StopHedging(_ time.Time, call *Call) []Action {
	s.actions = s.actions[:0]
	if call.state.done || call.state.hedgeAt.IsZero() {
		return s.actions
	}
	call.state.hedgeAt = time.Time{}
	s.schedule(call)
	return s.actions
}

// Abandon ends a call whose caller is gone, also before its arrival.
// Non-idempotent attempts go on, so that their outcome becomes known. The
// returned actions are valid until the next event.
func (s *Scheduler) Abandon(_ time.Time, call *Call) []Action {
	s.actions = s.actions[:0]
	if call.state.done || (call.mayHaveRun() && !call.Type.Idempotent) {
		return s.actions
	}
	s.giveUp(call, ReasonCallerGone)
	return s.actions
}

// NextWake returns when Expire has to be called next; zero means never.
func (s *Scheduler) NextWake() time.Time {
	if len(s.timers) == 0 {
		return time.Time{}
	}
	return s.timers[0].state.timer.at
}

func (s *Scheduler) start(now time.Time, call *Call, m *member, hedge bool) {
	if m.Leaving {
		invariant.Breached(invariant.LeavingGetsNothing, "attempt at %s", m.Name)
	}
	if !call.Type.Idempotent && call.mayHaveRun() {
		invariant.Breached(invariant.DispatchedOnce, "call %d", call.ID)
	}
	s.nextID++
	attempt := &Attempt{ID: s.nextID, Call: call, Target: m.Target, Started: now, Hedge: hedge, member: m}
	call.payFor(attempt)
	m.InFlight++
	m.Began(now)
	call.state.started++
	call.state.live = append(call.state.live, attempt)
	call.state.tried = append(call.state.tried, m.Target)
	s.actions = append(s.actions, Action{Kind: Start, Call: call, Attempt: attempt})
}

// giveUp ends a call without a good answer.
func (s *Scheduler) giveUp(call *Call, reason Reason) {
	switch {
	case call.state.failure != nil:
		s.finish(call, Reply, call.state.failure, "")
	case call.mayHaveRun():
		s.finish(call, Unknown, nil, reason)
	default:
		s.finish(call, Refuse, nil, reason)
	}
}

// finish answers the call and cancels its idempotent attempts. Others go on, so
// that their outcome becomes known.
func (s *Scheduler) finish(call *Call, kind ActionKind, answer any, reason Reason) {
	if kind == Refuse && call.mayHaveRun() {
		invariant.Breached(invariant.NotRunIsTrue, "call %d refused for %s", call.ID, reason)
	}
	call.state.done = true
	s.timers.stop(call)
	if call.state.waiting {
		s.queue.remove(call)
	}
	if call.Type.Idempotent {
		for _, attempt := range call.state.live {
			attempt.canceled = true
			s.actions = append(s.actions, Action{Kind: Cancel, Call: call, Attempt: attempt})
		}
	}
	s.actions = append(s.actions, Action{
		Kind:   kind,
		Call:   call,
		Answer: answer,
		Reason: reason,
		Spent:  call.state.allowance.spent(),
	})
}

// schedule sets the call's timer to its next hedge or its deadline.
func (s *Scheduler) schedule(call *Call) {
	at := call.Deadline
	if hedge := call.state.hedgeAt; !hedge.IsZero() && hedge.Before(at) {
		at = hedge
	}
	s.timers.set(call, at)
}
