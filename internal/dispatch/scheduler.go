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
	rng         *rand.Rand
	policy      balancer.Policy
	targets     targetSet
	queue       fairQueue
	serviceTime movingMean
	timers      timers
	retries     shareBudget
	hedges      shareBudget
	nextID      uint64
	// actions and scratch are reused between events to save allocations.
	actions []Action
	scratch candidates
	// changes are the state changes that Changes has not returned yet.
	changes []StateChange

	// calledAt is when the last call arrived.
	calledAt time.Time
	// checkCredit is the number of health checks available at checkedAt.
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
		retries: newShareBudget(maxCredit),
		hedges:  newShareBudget(0),
	}
}

// Configure applies the configuration of a service. The state of targets that
// remain configured is kept. The driver must call Expire afterwards. The error is a
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

// Targets returns the configured targets. The caller must not modify the slice.
func (s *Scheduler) Targets() []*balancer.Target { return s.targets.balancerTargets }

// Queued returns the number of queued calls.
func (s *Scheduler) Queued() int { return s.queue.length }

// Arrive handles a new call. It returns no actions if the call was abandoned before.
// The returned actions are valid until the next event.
func (s *Scheduler) Arrive(now time.Time, call *Call) []Action {
	s.actions = s.actions[:0]
	if call.state.done {
		return s.actions
	}
	call.state.arrived = now
	call.state.live = call.state.liveBuffer[:0]
	call.state.tried = call.state.triedBuffer[:0]
	s.calledAt = now
	call.state.allowance = newAllowance(max(call.attemptLimit()-1, 0))
	s.retries.earn()
	s.hedges.earn()
	if !call.Deadline.After(now) {
		s.failCall(call, ReasonDeadline)
		return s.actions
	}
	s.startQueued(now)
	s.admit(now, call)
	return s.actions
}

// admit starts, queues or refuses a new call.
func (s *Scheduler) admit(now time.Time, call *Call) {
	if !call.mayWait() || s.queue.length == 0 {
		if m := s.pick(now, call, call.mayWait()); m != nil {
			s.startFirst(now, call, m)
			return
		}
	}
	if !call.mayWait() || !s.targets.anyActive() {
		s.failCall(call, ReasonNoTarget)
		return
	}
	s.enqueue(now, call)
}

// startFirst starts the first attempt of a call and schedules its hedge.
func (s *Scheduler) startFirst(now time.Time, call *Call, m *member) {
	s.startAttempt(now, call, m, false)
	if after := call.Type.HedgeAfter(); after > 0 && call.Type.Idempotent {
		call.state.hedgeAt = now.Add(after)
	}
	s.scheduleTimer(call)
}

// Expire handles every timer that is due and starts queued calls for which a slot is
// free. The returned actions are valid until the next event.
func (s *Scheduler) Expire(now time.Time) []Action {
	s.actions = s.actions[:0]
	for len(s.timers) > 0 && !s.timers[0].state.timer.at.After(now) {
		s.handleTimer(now, s.timers[0])
	}
	s.startQueued(now)
	s.recordStates(now)
	return s.actions
}

// handleTimer handles the timer of a call: the queueing limit of a queued call, else
// the deadline or the time to hedge.
func (s *Scheduler) handleTimer(now time.Time, call *Call) {
	if call.state.waiting {
		s.failCall(call, ReasonOverload)
		return
	}
	if !call.Deadline.After(now) {
		call.expireAttempts()
		s.failCall(call, ReasonDeadline)
		return
	}
	call.state.hedgeAt = time.Time{}
	s.hedge(now, call)
	s.scheduleTimer(call)
}

// Abandon ends a call whose caller disconnected, possibly before Arrive. A
// non-idempotent call that may have run continues, so that its outcome becomes
// known. The returned actions are valid until the next event.
func (s *Scheduler) Abandon(_ time.Time, call *Call) []Action {
	s.actions = s.actions[:0]
	if call.state.done || (call.mayHaveRun() && !call.Type.Idempotent) {
		return s.actions
	}
	s.failCall(call, ReasonCallerGone)
	return s.actions
}

// NextWake returns when the next timer is due and Expire must be called; zero means
// never.
func (s *Scheduler) NextWake() time.Time {
	if len(s.timers) == 0 {
		return time.Time{}
	}
	return s.timers[0].state.timer.at
}

// startAttempt starts an attempt of the call at the target.
func (s *Scheduler) startAttempt(now time.Time, call *Call, m *member, hedge bool) {
	if m.Leaving {
		invariant.Breached(invariant.LeavingGetsNothing, "attempt started at leaving target %s", m.Name)
	}
	if !call.Type.Idempotent && call.mayHaveRun() {
		invariant.Breached(invariant.DispatchedOnce, "non-idempotent call %d sent again although it may have run", call.ID)
	}
	s.nextID++
	attempt := &Attempt{ID: s.nextID, Call: call, Target: m.Target, Started: now, Hedge: hedge, member: m}
	call.payFor(attempt)
	m.InFlight++
	m.RecordStart(now)
	call.state.started++
	call.state.live = append(call.state.live, attempt)
	call.state.tried = append(call.state.tried, m.Target)
	s.actions = append(s.actions, Action{Kind: Start, Call: call, Attempt: attempt})
}

// scheduleTimer sets the call's timer to its next hedge or its deadline.
func (s *Scheduler) scheduleTimer(call *Call) {
	at := call.Deadline
	if hedge := call.state.hedgeAt; !hedge.IsZero() && hedge.Before(at) {
		at = hedge
	}
	s.timers.set(call, at)
}
