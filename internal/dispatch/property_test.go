package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poplarwheel/poplarwheel/internal/balancer"
	"github.com/poplarwheel/poplarwheel/internal/config"
)

// record is the model's state of one call.
type record struct {
	call     *Call
	answered bool
	// mayHaveRun is the number of attempts that are in flight or have ended
	// otherwise than as NotRun.
	mayHaveRun int
	// live is the number of attempts in flight.
	live int
}

// model drives a scheduler through random events and checks each action.
type model struct {
	scheduler *Scheduler
	now       time.Time
	calls     []*record
	byCall    map[*Call]*record
	// live holds the attempts in flight.
	live     []*Attempt
	inFlight map[*balancer.Target]int
	// extra and hedges are the numbers of retries and hedges.
	extra  int
	hedges int
}

var modelTypes = []*config.RequestType{
	{Name: "read", DeadlineMs: 100, Idempotent: true, MaxAttempts: 3},
	{Name: "hedged", DeadlineMs: 100, Idempotent: true, MaxAttempts: 4, HedgeAfterMs: 10, QueueMs: 40},
	{Name: "book", DeadlineMs: 60, MaxAttempts: 3, QueueMs: 30},
	{Name: "pay", DeadlineMs: 200, MaxAttempts: 2},
}

const (
	modelRetryShare = 0.01
	modelHedgeShare = 0.05
	modelTargets    = 5
)

// modelService returns a service with a random number of targets.
func modelService(t *rapid.T) *config.Service {
	service := testService(rapid.IntRange(1, modelTargets).Draw(t, "targets"))
	service.RetryShare = modelRetryShare
	service.HedgeShare = modelHedgeShare
	service.Groups[0].Slots = 1
	return service
}

func newModel(t *rapid.T) *model {
	m := &model{
		scheduler: NewScheduler(rand.New(rand.NewPCG(1, 1))),
		now:       start,
		byCall:    map[*Call]*record{},
		inFlight:  map[*balancer.Target]int{},
	}
	require.NoError(t, m.scheduler.Configure(modelService(t)))
	return m
}

func (m *model) arrive(t *rapid.T) {
	requestType := rapid.SampledFrom(modelTypes).Draw(t, "type")
	call := &Call{
		ID:       uint64(len(m.calls)),
		Type:     requestType,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, requestType.DeadlineMs).Draw(t, "left")) * time.Millisecond),
		Attempts: rapid.IntRange(1, 5).Draw(t, "attempts"),
		Caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
	}
	r := &record{call: call}
	m.calls = append(m.calls, r)
	m.byCall[call] = r
	if rapid.IntRange(0, 19).Draw(t, "gone") == 0 {
		m.checkActions(t, m.scheduler.Abandon(m.now, call))
	}
	m.checkActions(t, m.scheduler.Arrive(m.now, call))
}

// modelResults are the results of attempts. Repeated ones are drawn more often.
var modelResults = []Result{
	{Kind: Answered, Answer: "good"},
	{Kind: Answered, Answer: "good"},
	{Kind: Answered, Answer: "good", DownstreamSpentKnown: true},
	{Kind: Answered, Answer: "failed", ServerError: true, DownstreamSpentKnown: true, DownstreamSpent: 9},
	{Kind: Answered, Answer: "failed", ServerError: true, DownstreamSpentKnown: true},
	{Kind: Answered, Answer: "failed", ServerError: true, DownstreamSpentKnown: true},
	{Kind: NotRun, Answer: "shed"},
	{Kind: NotRun, Answer: "shed"},
	{Kind: NotRun, Answer: "shed"},
	{Kind: NotRun, Answer: "leaving", Leaving: true},
	{Kind: NotRun, Unreachable: true},
	{Kind: Lost},
}

func (m *model) finish(t *rapid.T) {
	if len(m.live) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.live)-1).Draw(t, "attempt")
	m.endAttempt(t, i, rapid.SampledFrom(modelResults).Draw(t, "result"))
}

// endAttempt ends the attempt at index i of those in flight.
func (m *model) endAttempt(t *rapid.T, i int, result Result) {
	attempt := m.live[i]
	m.live = append(m.live[:i], m.live[i+1:]...)
	m.inFlight[attempt.Target]--
	r := m.byCall[attempt.Call]
	r.live--
	if result.Kind == NotRun {
		r.mayHaveRun--
	}
	m.checkActions(t, m.scheduler.FinishAttempt(m.now, attempt, result))
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
	m.checkActions(t, m.scheduler.Expire(m.now))
}

func (m *model) abandon(t *rapid.T) {
	if len(m.calls) == 0 {
		return
	}
	r := rapid.SampledFrom(m.calls).Draw(t, "call")
	m.checkActions(t, m.scheduler.Abandon(m.now, r.call))
}

func (m *model) configure(t *rapid.T) {
	require.NoError(t, m.scheduler.Configure(modelService(t)))
	m.checkActions(t, m.scheduler.Expire(m.now))
}

// signal reports a random target as leaving or passes in a health check of it.
func (m *model) signal(t *rapid.T) {
	target := rapid.SampledFrom(m.scheduler.Targets()).Draw(t, "target")
	switch rapid.IntRange(0, 6).Draw(t, "sign") {
	case 0:
		m.scheduler.SetLeaving(target.Name, true)
	case 1:
		m.scheduler.SetLeavingByPeer(target.Name)
	case 2, 3:
		m.scheduler.SetLeaving(target.Name, true)
		m.scheduler.SetLeaving(target.Name, false)
	default:
		result := HealthCheckResult(rapid.IntRange(int(CheckHealthy), int(CheckSkipped)).Draw(t, "check"))
		m.scheduler.RecordHealthCheck(m.now, HealthCheck{Name: target.Name, Target: target}, result)
	}
	m.checkActions(t, m.scheduler.Expire(m.now))
}

// checkActions checks the actions of one event and updates the model with them.
func (m *model) checkActions(t *rapid.T, actions []Action) {
	for _, action := range actions {
		r := m.byCall[action.Call]
		switch action.Kind {
		case Start:
			m.started(t, r, action.Attempt)
		case Cancel:
			require.True(t, r.call.Type.Idempotent, "only idempotent attempts are canceled")
		case LateResponse:
			require.True(t, r.answered, "a late response is reported after the caller's reply")
		default:
			m.answered(t, r, action)
		}
	}
}

func (m *model) started(t *rapid.T, r *record, attempt *Attempt) {
	require.False(t, r.answered, "no attempt starts after the caller's reply")
	require.False(t, attempt.Target.Leaving, "no attempt starts at a leaving target")
	require.True(t, r.call.Type.Idempotent || r.mayHaveRun == 0, "a non-idempotent call that may have run is not sent again")
	require.True(t, m.now.Before(r.call.Deadline), "no attempt starts at or after the deadline")
	switch {
	case attempt.Hedge:
		m.hedges++
		require.True(t, r.call.Type.Idempotent)
	case r.call.state.started > 1:
		m.extra++
	}
	require.LessOrEqual(t, r.call.state.started, min(r.call.Attempts, r.call.Type.MaxAttempts))
	r.mayHaveRun++
	r.live++
	m.live = append(m.live, attempt)
	m.inFlight[attempt.Target]++
}

func (m *model) answered(t *rapid.T, r *record, action Action) {
	require.False(t, r.answered, "a caller gets one reply")
	r.answered = true
	if action.Kind == Refuse {
		require.Zero(t, r.mayHaveRun, "a call is refused as not run only if no attempt may have run")
	}
	if action.Kind == ReplyUnknown {
		require.Positive(t, r.mayHaveRun)
	}
	require.LessOrEqual(t, action.Spent, max(min(r.call.Attempts, r.call.Type.MaxAttempts)-1, 0))
}

// checkState checks the invariants that hold between any two events.
func (m *model) checkState(t *rapid.T) {
	byKey := map[targetKey]int{}
	for target, count := range m.inFlight {
		require.Equal(t, count, target.InFlight, "attempts in flight at %s", target.Name)
		byKey[targetKey{name: target.Name, address: target.Address}] += count
	}
	for _, member := range m.scheduler.targets.members {
		require.Equal(t, byKey[member.key()], member.InFlight, "attempts in flight at %s", member.Name)
	}
	waiting := 0
	for _, r := range m.calls {
		if r.answered {
			continue
		}
		require.True(t, r.live > 0 || r.call.state.waiting, "call %d is neither in flight nor queued", r.call.ID)
		if r.call.state.waiting {
			waiting++
		}
	}
	require.Equal(t, waiting, m.scheduler.Queued())
	require.LessOrEqual(t, waiting, maxQueued)
	if waiting > 0 {
		require.Nil(t, m.scheduler.pick(m.now, m.scheduler.queue.next(), true), "no call is queued while a target has a free slot")
	}
	calls := float64(len(m.calls))
	require.LessOrEqual(t, float64(m.extra), maxCredit+calls*modelRetryShare+creditTolerance)
	require.LessOrEqual(t, float64(m.hedges), calls*modelHedgeShare+creditTolerance)
}

// endAndCheck ends all calls and attempts and checks that the scheduler holds none.
func (m *model) endAndCheck(t *rapid.T) {
	m.now = m.now.Add(time.Minute)
	m.checkActions(t, m.scheduler.Expire(m.now))
	for len(m.live) > 0 {
		m.endAttempt(t, 0, Result{Kind: Lost})
	}
	for _, r := range m.calls {
		require.True(t, r.answered, "call %d got no reply", r.call.ID)
	}
	m.checkState(t)
	require.Zero(t, m.scheduler.NextWake())
	require.Empty(t, m.scheduler.targets.retired)
}

// The suffixes " too" and " again" repeat an event so that it is drawn more often.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":       m.arrive,
			"arrive too":   m.arrive,
			"arrive again": m.arrive,
			"finish":       m.finish,
			"finish too":   m.finish,
			"advance":      m.advance,
			"abandon":      m.abandon,
			"configure":    m.configure,
			"signal":       m.signal,
			"finish again": m.finish,
			"":             m.checkState,
		})
		m.endAndCheck(t)
	})
}

// The queue must serve each call once, the calls of one caller by deadline, and
// callers in turn.
func TestQueueServesCallersRoundRobin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := newFairQueue()
		waiting := map[*Call]bool{}
		perCaller := map[string]int{}
		push := func(t *rapid.T) {
			call := &Call{
				Caller:   rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "caller"),
				Deadline: start.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "deadline")) * time.Millisecond),
			}
			queue.push(call)
			waiting[call] = true
			perCaller[call.Caller]++
		}
		removed := func(call *Call) {
			require.True(t, waiting[call])
			delete(waiting, call)
			perCaller[call.Caller]--
		}
		t.Repeat(map[string]func(*rapid.T){
			"push":     push,
			"push too": push,
			"pop": func(t *rapid.T) {
				if queue.length == 0 {
					return
				}
				call := queue.pop()
				for other := range waiting {
					require.False(t, other.Caller == call.Caller && other.Deadline.Before(call.Deadline))
				}
				removed(call)
			},
			"remove": func(t *rapid.T) {
				for call := range waiting {
					queue.remove(call)
					removed(call)
					return
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(waiting), queue.length)
				low, high := ^uint64(0), uint64(0)
				for caller, queued := range queue.callers {
					require.Len(t, queued.calls, perCaller[caller])
					low, high = min(low, queued.turn), max(high, queued.turn)
				}
				if len(queue.callers) > 1 {
					require.LessOrEqual(t, high-low, uint64(1), "the turns of callers differ by at most one")
				}
			},
		})
	})
}
