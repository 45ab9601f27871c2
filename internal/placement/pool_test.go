package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const (
	serviceTime = 100 * time.Millisecond
	objective   = 300 * time.Millisecond
	timeout     = time.Second
)

// harness drives a pool step by step.
type harness struct {
	t    testing.TB
	pool *Pool
	now  time.Time
}

func newHarness(t testing.TB, infos ...TargetInfo) *harness {
	t.Helper()
	budget := NewBudget(10*time.Second, 0.2, 20)
	h := &harness{t: t, pool: NewPool(rand.New(rand.NewPCG(1, 2)), "a", budget), now: start}
	h.pool.UpdateTargets(h.now, infos)
	return h
}

func targetInfo(id, zone string) TargetInfo {
	return TargetInfo{ID: id, Address: id + ":80", Zone: zone, Slots: 3}
}

func (h *harness) request(idempotent bool) *Request {
	return &Request{
		Idempotent:   idempotent,
		MaxAttempts:  2,
		SoftDeadline: h.now.Add(objective),
		Deadline:     h.now.Add(timeout),
		ServiceTime:  serviceTime,
	}
}

func normalReport(running int) *Report { return &Report{Running: running, Slots: 3, Slowness: 1} }

func slowReport(running int) *Report { return &Report{Running: running, Slots: 3, Slowness: 4} }

// actionsOf returns the actions of a kind.
func actionsOf(actions []Action, kind ActionKind) []Action {
	var found []Action
	for _, action := range actions {
		if action.Kind == kind {
			found = append(found, action)
		}
	}
	return found
}

// singleAction returns the only action of a kind and fails if there is not exactly one.
func (h *harness) singleAction(actions []Action, kind ActionKind) Action {
	h.t.Helper()
	found := actionsOf(actions, kind)
	require.Len(h.t, found, 1, "actions: %+v", actions)
	return found[0]
}

// arriveAndSend passes a request to the pool and answers probes with the report until a
// request is sent.
func (h *harness) arriveAndSend(r *Request, report *Report) *Attempt {
	h.t.Helper()
	return h.runUntilSent(h.pool.Submit(h.now, r), report)
}

// runUntilSent answers probes with the report and advances time until a request is
// sent.
func (h *harness) runUntilSent(actions []Action, report *Report) *Attempt {
	h.t.Helper()
	var sent *Attempt
	for range 20 {
		probes := append([]Action(nil), actionsOf(actions, Probe)...)
		if found := actionsOf(actions, Send); len(found) > 0 {
			sent = found[0].Attempt
		}
		for _, probe := range probes {
			if found := actionsOf(h.pool.ProbeAnswered(h.now, probe.Target, report, true), Send); len(found) > 0 {
				sent = found[0].Attempt
			}
		}
		if sent != nil {
			return sent
		}
		h.now = h.now.Add(freeProbeInterval)
		actions = h.pool.Tick(h.now)
	}
	require.Fail(h.t, "no request was sent")
	return nil
}

func TestLocalTargetsAreProbedFirst(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"), targetInfo("a3", "a"), targetInfo("b1", "b"), targetInfo("b2", "b"))
	probes := actionsOf(h.pool.Submit(h.now, h.request(true)), Probe)
	require.Len(t, probes, probesPerRequest)
	for _, probe := range probes {
		require.Equal(t, "a", probe.Target.Zone)
	}
}

func TestFirstAcceptableReportSendsRequest(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"), targetInfo("a3", "a"))
	r := h.request(true)
	probes := append([]Action(nil), actionsOf(h.pool.Submit(h.now, r), Probe)...)
	require.Empty(t, actionsOf(h.pool.ProbeAnswered(h.now, probes[0].Target, slowReport(0), true), Send))
	sent := h.singleAction(h.pool.ProbeAnswered(h.now, probes[1].Target, normalReport(1), true), Send)
	require.Equal(t, probes[1].Target, sent.Attempt.Target)
	done := h.pool.AttemptFinished(h.now, sent.Attempt, Result{Outcome: Answered, Answer: "answer", Report: normalReport(1)})
	require.Equal(t, "answer", h.singleAction(done, Deliver).Answer)
}

func TestTargetsAreKeptBelowSaturation(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	h.arriveAndSend(h.request(true), normalReport(0))
	h.arriveAndSend(h.request(true), normalReport(1))
	actions := h.pool.Submit(h.now, h.request(true))
	require.Empty(t, actionsOf(actions, Send))
	require.Equal(t, 1, h.pool.Queued())
}

func TestFreedCapacityGoesToMostUrgentRequest(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	first := h.arriveAndSend(h.request(true), normalReport(0))
	h.arriveAndSend(h.request(true), normalReport(1))
	late, usual, urgent := h.request(true), h.request(true), h.request(true)
	late.SoftDeadline = h.now
	urgent.Priority = -1
	for _, r := range []*Request{late, usual, urgent} {
		h.pool.Submit(h.now, r)
	}
	sent := h.singleAction(h.pool.AttemptFinished(h.now, first, Result{Outcome: Answered, Report: normalReport(2)}), Send)
	require.Same(t, urgent, sent.Request)
}

func TestLongQueueRefusesImmediatelyWithRetryAfter(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	h.arriveAndSend(h.request(true), normalReport(0))
	h.arriveAndSend(h.request(true), normalReport(1))
	h.pool.Submit(h.now, h.request(true))
	h.now = h.now.Add(minBacklogAge + time.Millisecond)
	h.pool.Tick(h.now)
	var refused []Action
	for range 20 {
		h.now = h.now.Add(time.Millisecond)
		refused = append(refused, actionsOf(h.pool.Submit(h.now, h.request(true)), Refuse)...)
	}
	require.NotEmpty(t, refused)
	for _, action := range refused {
		require.Equal(t, ReasonOverload, action.Reason)
		require.GreaterOrEqual(t, action.RetryAfter, minRetryAfter)
	}
}

func TestRetryAfterIsShortWhileTargetsHaveRoom(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	r := h.request(false)
	r.MaxAttempts = 1
	a := h.arriveAndSend(r, normalReport(0))
	refused := h.singleAction(h.pool.AttemptFinished(h.now, a, Result{Outcome: NotRun, Report: normalReport(0)}), Refuse)
	require.Equal(t, ReasonAttemptsUsed, refused.Reason)
	require.Less(t, refused.RetryAfter, minRetryAfter)
}

func TestLateRequestsYieldOnlyUnderContention(t *testing.T) {
	for _, contended := range []bool{false, true} {
		h := newHarness(t, targetInfo("a1", "a"))
		first := h.arriveAndSend(h.request(true), normalReport(0))
		if contended {
			h.arriveAndSend(h.request(true), normalReport(1))
			h.pool.Submit(h.now, h.request(true))
			h.now = h.now.Add(contentionWait + time.Millisecond)
			h.pool.Tick(h.now)
			// The queued request takes the first freed slot; the second stays free.
			h.pool.AttemptFinished(h.now, first, Result{Outcome: Answered, Report: normalReport(2)})
			h.pool.AttemptFinished(h.now, h.pool.Targets()[0].running[0], Result{Outcome: Answered, Report: normalReport(2)})
		}
		late := h.request(true)
		late.SoftDeadline = h.now
		sent := actionsOf(h.pool.Submit(h.now, late), Send)
		require.Len(t, sent, map[bool]int{false: 1, true: 0}[contended])
	}
}

func TestShortQueueRefusesNoRequest(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	for range 5 {
		require.Empty(t, actionsOf(h.pool.Submit(h.now, h.request(true)), Refuse))
	}
}

func TestQueuedRequestIsRefusedOnceItWouldBeLate(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	h.arriveAndSend(h.request(true), normalReport(0))
	h.arriveAndSend(h.request(true), normalReport(1))
	r := h.request(false)
	h.pool.Submit(h.now, r)
	h.now = h.now.Add(objective - serviceTime)
	require.Same(t, r, h.singleAction(h.pool.Tick(h.now), Refuse).Request)
	require.Zero(t, h.pool.Queued())
}

func TestNonIdempotentRequestIsNotRetriedOnceItMayHaveRun(t *testing.T) {
	for outcome, kind := range map[Outcome]ActionKind{Lost: OutcomeUnknown, Failed: Deliver} {
		h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
		a := h.arriveAndSend(h.request(false), normalReport(0))
		actions := h.pool.AttemptFinished(h.now, a, Result{Outcome: outcome, Answer: "failure"})
		h.singleAction(actions, kind)
		require.Empty(t, actionsOf(actions, Send))
		require.Zero(t, h.pool.Queued())
	}
}

func TestRequestThatHasNotRunIsSentToAnotherTarget(t *testing.T) {
	for _, outcome := range []Outcome{NotRun, NotSent, WrongTarget} {
		h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
		r := h.request(false)
		first := h.arriveAndSend(r, normalReport(0))
		second := h.runUntilSent(h.pool.AttemptFinished(h.now, first, Result{Outcome: outcome}), normalReport(0))
		require.Same(t, r, second.Request)
		require.NotSame(t, first.Target, second.Target)
	}
}

func TestRequestIsRefusedOnlyIfNoTargetCanHaveStartedIt(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	r := h.request(true)
	a := h.arriveAndSend(r, normalReport(0))
	actions := h.pool.AttemptFinished(h.now, a, Result{Outcome: Lost})
	h.singleAction(actions, OutcomeUnknown)
	require.Empty(t, actionsOf(actions, Refuse))

	h = newHarness(t, targetInfo("a1", "a"))
	h.arriveAndSend(h.request(true), normalReport(0))
	h.arriveAndSend(h.request(true), normalReport(1))
	queued := h.request(false)
	require.Empty(t, actionsOf(h.pool.Submit(h.now, queued), Send))
	h.singleAction(h.pool.Timeout(h.now.Add(timeout), queued), Refuse)
}

func TestTimeoutCancelsAttemptsInFlight(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	r := h.request(false)
	a := h.arriveAndSend(r, normalReport(0))
	actions := h.pool.Timeout(h.now.Add(timeout), r)
	require.Same(t, a, h.singleAction(actions, Cancel).Attempt)
	require.Equal(t, ReasonTimeout, h.singleAction(actions, OutcomeUnknown).Reason)
	require.Empty(t, h.pool.Timeout(h.now.Add(timeout), r))
}

func TestCallerDisconnectCancelsOnlyIdempotentRequests(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t, targetInfo("a1", "a"))
		r := h.request(idempotent)
		a := h.arriveAndSend(r, normalReport(0))
		actions := h.pool.Abandon(h.now, r)
		if idempotent {
			h.singleAction(actions, Cancel)
			continue
		}
		require.Empty(t, actions)
		require.Empty(t, h.pool.AttemptFinished(h.now, a, Result{Outcome: Answered}), "the response is discarded")
		require.Zero(t, a.Target.ownLoad())
	}
}

func TestDrainingAndUnlistedTargetsGetNoRequests(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	draining := targetInfo("a1", "a")
	draining.Draining = true
	h.pool.UpdateTargets(h.now, []TargetInfo{draining})
	require.Len(t, actionsOf(h.pool.Submit(h.now, h.request(true)), Refuse), 1)
	h.pool.UpdateTargets(h.now, []TargetInfo{targetInfo("a3", "a")})
	probe := h.singleAction(h.pool.Submit(h.now, h.request(true)), Probe)
	require.Equal(t, "a3", probe.Target.ID)
}

func TestRestartedTargetWithSameIDIsNew(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	a := h.arriveAndSend(h.request(true), normalReport(0))
	restarted := targetInfo("a1", "a")
	restarted.Incarnation = 5
	h.pool.UpdateTargets(h.now, []TargetInfo{restarted})
	require.NotSame(t, a.Target, h.pool.Targets()[0])
	require.Zero(t, h.pool.Targets()[0].ownLoad())
}

func TestTargetWithReusedAddressGetsNoRequests(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	r := h.request(true)
	probe := h.singleAction(h.pool.Submit(h.now, r), Probe)
	require.Empty(t, actionsOf(h.pool.ProbeReachedOtherTarget(h.now, probe.Target), Send))
	require.NotEmpty(t, actionsOf(h.pool.Submit(h.now, h.request(true)), Refuse))
}

func TestRequestIsHedgedWhenItsTargetTurnsSlow(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	r := h.request(true)
	r.SoftDeadline = h.now.Add(2*serviceTime + serviceTime/4)
	first := h.arriveAndSend(r, normalReport(0))
	h.now = first.sentAt.Add(firstCheckDelay(serviceTime))
	probe := h.singleAction(h.pool.Tick(h.now), Probe)
	require.Same(t, first.Target, probe.Target)
	second := h.runUntilSent(h.pool.ProbeAnswered(h.now, probe.Target, slowReport(1), true), normalReport(0))
	require.NotSame(t, first.Target, second.Target)
	actions := h.pool.AttemptFinished(h.now, second, Result{Outcome: Answered, Answer: "second"})
	require.Equal(t, "second", h.singleAction(actions, Deliver).Answer)
	require.Same(t, first, h.singleAction(actions, Cancel).Attempt)
}

func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	a := h.arriveAndSend(h.request(false), normalReport(0))
	h.now = a.sentAt.Add(firstCheckDelay(serviceTime))
	require.Empty(t, actionsOf(h.pool.Tick(h.now), Probe))
	h.pool.observe(h.now, a.Target, *slowReport(1), 0)
	require.Zero(t, h.pool.Queued())
}

func TestTargetsWithoutReportsAreUsedWithoutProbes(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	a := h.arriveAndSend(h.request(true), nil)
	h.pool.AttemptFinished(h.now, a, Result{Outcome: Answered})
	actions := h.pool.Submit(h.now, h.request(true))
	h.singleAction(actions, Send)
	require.Empty(t, actionsOf(actions, Probe))
}

func TestUnansweredProbesDoNotBlockRequest(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	r := h.request(true)
	probes := append([]Action(nil), actionsOf(h.pool.Submit(h.now, r), Probe)...)
	for _, probe := range probes {
		h.now = h.now.Add(maxReportWait)
		if len(actionsOf(h.pool.ProbeFailed(h.now, probe.Target, false), Send)) > 0 {
			return
		}
	}
	h.now = h.now.Add(recheckInterval)
	h.singleAction(h.pool.Tick(h.now), Send)
}

func TestBudgetBoundsResends(t *testing.T) {
	budget := NewBudget(10*time.Second, 0.2, 10)
	taken := 0
	now := start
	for range 1000 {
		budget.RecordRequest(now)
		if budget.Take(now) {
			taken++
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, taken, 210)
	require.Greater(t, taken, 100)
	// After a window without requests, only the fixed allowance is left.
	now = now.Add(time.Minute)
	taken = 0
	for budget.Take(now) {
		taken++
	}
	require.LessOrEqual(t, taken, 10)
}

func TestProbesStayWithinRateLimit(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	const perTarget, seconds = 5, 60
	h.pool.SetProbeRate(h.now, perTarget)
	// Both targets are always full with requests of other daemons.
	probes := 0
	end := h.now.Add(seconds * time.Second)
	for ; h.now.Before(end); h.now = h.now.Add(recheckInterval) {
		actions := append([]Action(nil), h.pool.Submit(h.now, h.request(true))...)
		actions = append(actions, h.pool.Tick(h.now)...)
		for _, probe := range actionsOf(actions, Probe) {
			probes++
			h.pool.ProbeAnswered(h.now, probe.Target, normalReport(3), true)
		}
	}
	allowed := perTarget * 2 * (seconds + initialProbePeriod.Seconds())
	require.LessOrEqual(t, float64(probes), allowed)
	require.Greater(t, float64(probes), allowed/2)
}

// TestRandomEvents answers all actions of a pool with random events.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomEvents(t, rand.New(rand.NewPCG(seed, 9))) })
	}
}

// randomDriver answers a pool's actions at random.
type randomDriver struct {
	t        *testing.T
	rng      *rand.Rand
	pool     *Pool
	now      time.Time
	probes   []*Target
	attempts []*Attempt
	open     map[*Request]bool
	runs     map[*Request]int
}

func runRandomEvents(t *testing.T, rng *rand.Rand) {
	d := &randomDriver{
		t:    t,
		rng:  rng,
		pool: NewPool(rng, "a", NewBudget(time.Second, 0.2, 5)),
		now:  start,
		open: map[*Request]bool{},
		runs: map[*Request]int{},
	}
	d.perform(d.pool.UpdateTargets(d.now, d.listedTargets()))
	for range 400 {
		d.step()
		d.now = d.now.Add(time.Duration(rng.IntN(8)) * time.Millisecond)
	}
	for range 2000 {
		if len(d.open) == 0 && len(d.attempts) == 0 {
			break
		}
		d.now = d.now.Add(5 * time.Millisecond)
		d.finishOne()
		for r := range d.open {
			if d.now.After(r.Deadline) {
				d.perform(d.pool.Timeout(d.now, r))
			}
		}
	}
	require.Empty(t, d.open, "requests were never answered")
	for _, target := range d.pool.Targets() {
		require.Zero(t, target.ownLoad(), "attempts still counted at the target")
	}
	require.Zero(t, d.pool.Queued())
}

func (d *randomDriver) listedTargets() []TargetInfo {
	var listedTargets []TargetInfo
	for i := range 4 {
		info := targetInfo(fmt.Sprint("t", i), []string{"a", "b"}[i%2])
		info.Draining = d.rng.IntN(5) == 0
		if d.rng.IntN(5) > 0 {
			listedTargets = append(listedTargets, info)
		}
	}
	return listedTargets
}

func (d *randomDriver) step() {
	switch d.rng.IntN(8) {
	case 0, 1:
		r := &Request{
			Idempotent:   d.rng.IntN(2) == 0,
			MaxAttempts:  1 + d.rng.IntN(3),
			Priority:     d.rng.IntN(3),
			SoftDeadline: d.now.Add(time.Duration(d.rng.IntN(300)) * time.Millisecond),
			Deadline:     d.now.Add(time.Duration(100+d.rng.IntN(900)) * time.Millisecond),
			ServiceTime:  50 * time.Millisecond,
		}
		d.open[r] = true
		d.perform(d.pool.Submit(d.now, r))
	case 2:
		d.perform(d.pool.UpdateTargets(d.now, d.listedTargets()))
	case 3:
		d.perform(d.pool.Tick(d.now))
	case 4:
		for r := range d.open {
			if d.rng.IntN(10) == 0 {
				delete(d.open, r)
				d.perform(d.pool.Abandon(d.now, r))
			}
			break
		}
	default:
		d.finishOne()
	}
}

// finishOne ends a probe and an attempt.
func (d *randomDriver) finishOne() {
	if len(d.probes) > 0 {
		target := d.probes[0]
		d.probes = d.probes[1:]
		report := &Report{Running: target.ownLoad() + d.rng.IntN(2), Slots: 3, Slowness: float64(1 + 3*d.rng.IntN(2))}
		switch d.rng.IntN(10) {
		case 0:
			d.perform(d.pool.ProbeFailed(d.now, target, d.rng.IntN(2) == 0))
		case 1:
			d.perform(d.pool.ProbeReachedOtherTarget(d.now, target))
		default:
			d.perform(d.pool.ProbeAnswered(d.now, target, report, d.rng.IntN(10) > 0))
		}
	}
	if len(d.attempts) == 0 {
		return
	}
	i := d.rng.IntN(len(d.attempts))
	a := d.attempts[i]
	d.attempts = append(d.attempts[:i], d.attempts[i+1:]...)
	outcome := []Outcome{Answered, Answered, Answered, Failed, NotRun, NotSent, WrongTarget, Lost}[d.rng.IntN(8)]
	if outcome == Answered || outcome == Failed || outcome == Lost {
		d.runs[a.Request]++
	}
	d.perform(d.pool.AttemptFinished(d.now, a, Result{Outcome: outcome, Answer: "x"}))
}

// perform carries out actions and checks their invariants.
func (d *randomDriver) perform(actions []Action) {
	for _, action := range append([]Action(nil), actions...) {
		switch action.Kind {
		case Probe:
			d.probes = append(d.probes, action.Target)
		case Send:
			d.attempts = append(d.attempts, action.Attempt)
			require.False(d.t, action.Attempt.Target.Draining)
			require.True(d.t, action.Request.Idempotent || d.runs[action.Request] == 0, "non-idempotent request was sent again after it ran")
		case Cancel:
			d.runs[action.Request]++
			d.attempts = removeAttempt(d.attempts, action.Attempt)
		case Refuse:
			require.Zero(d.t, d.runs[action.Request], "request was refused although it ran")
			d.close(action.Request)
		default:
			d.close(action.Request)
		}
	}
}

// close ends a request and checks that it was open.
func (d *randomDriver) close(r *Request) {
	require.True(d.t, d.open[r], "request was answered twice")
	delete(d.open, r)
}

func removeAttempt(attempts []*Attempt, gone *Attempt) []*Attempt {
	var rest []*Attempt
	for _, a := range attempts {
		if a != gone {
			rest = append(rest, a)
		}
	}
	return rest
}

func TestQuarantinedRequestIsNotRetried(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	a := h.arriveAndSend(h.request(true), normalReport(0))
	ended := h.pool.AttemptFinished(h.now, a, Result{Outcome: Lost, Quarantined: true})
	require.Equal(t, ReasonQuarantined, h.singleAction(ended, OutcomeUnknown).Reason)
	require.Empty(t, actionsOf(ended, Send))
	require.Zero(t, h.pool.Queued())
}

// Guards against hedging a request while it is unknown whether its target died: if the
// request crashes targets, the hedge would crash another one.
func TestHeldRequestIsNotHedged(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	a := h.arriveAndSend(h.request(true), normalReport(0))
	h.pool.HoldRetry(a)
	h.now = h.now.Add(serviceTime / 2)
	actions := h.pool.Tick(h.now)
	for _, target := range h.pool.Targets() {
		actions = append(actions, h.pool.ProbeAnswered(h.now, target, slowReport(1), true)...)
	}
	require.Empty(t, actionsOf(actions, Send))
	retried := h.runUntilSent(h.pool.AttemptFinished(h.now, a, Result{Outcome: Lost}), normalReport(0))
	require.NotSame(t, a.Target, retried.Target)
}

// Guards against treating a target that has just reported being slow as one of unknown
// speed. The reported slowness has to decay gradually to the default.
func TestReportedSlownessDecays(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	probe := h.singleAction(h.pool.Submit(h.now, h.request(true)), Probe)
	h.pool.ProbeAnswered(h.now, probe.Target, slowReport(0), true)
	require.InDelta(t, 4, probe.Target.Slowness(h.now), 0.01)
	require.Greater(t, probe.Target.Slowness(h.now.Add(2*reportFreshFor)), 3.5)
	require.InDelta(t, defaultSlowness, probe.Target.Slowness(h.now.Add(10*slownessDecay)), 0.01)
}

// Guards against retry budget that is spent on hedges which no target can take.
func TestHedgeWithoutAnotherTargetCostsNoBudget(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	r := h.request(true)
	r.SoftDeadline = h.now.Add(2*serviceTime + serviceTime/4)
	a := h.arriveAndSend(r, normalReport(0))
	for range 4 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.pool.ProbeAnswered(h.now, a.Target, slowReport(1), true)
	}
	spent := 0.0
	for _, slot := range h.pool.budget.spent {
		spent += slot
	}
	require.Zero(t, spent)
}
