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
	work      = 100 * time.Millisecond
	objective = 300 * time.Millisecond
	timeout   = time.Second
)

// bench drives a pool by hand.
type bench struct {
	t    testing.TB
	pool *Pool
	now  time.Time
}

func newBench(t testing.TB, entries ...Entry) *bench {
	t.Helper()
	budget := NewBudget(10*time.Second, 0.2, 20)
	b := &bench{t: t, pool: NewPool(rand.New(rand.NewPCG(1, 2)), "a", budget), now: start}
	b.pool.Update(b.now, entries)
	return b
}

func entry(id, zone string) Entry {
	return Entry{ID: id, Address: id + ":80", Zone: zone, Slots: 3}
}

func (b *bench) request(idempotent bool) *Request {
	return &Request{
		Idempotent:  idempotent,
		MaxAttempts: 2,
		Due:         b.now.Add(objective),
		Deadline:    b.now.Add(timeout),
		Work:        work,
	}
}

func quiet(running int) *Report { return &Report{Running: running, Slots: 3, Slowness: 1} }

func slow(running int) *Report { return &Report{Running: running, Slots: 3, Slowness: 4} }

// of returns the actions of a kind.
func of(actions []Action, kind ActionKind) []Action {
	var found []Action
	for _, action := range actions {
		if action.Kind == kind {
			found = append(found, action)
		}
	}
	return found
}

// only returns the one action of a kind.
func (b *bench) only(actions []Action, kind ActionKind) Action {
	b.t.Helper()
	found := of(actions, kind)
	require.Len(b.t, found, 1, "actions: %+v", actions)
	return found[0]
}

// place lets a request arrive and answers the probes with a report until it is sent.
func (b *bench) place(r *Request, report *Report) *Attempt {
	b.t.Helper()
	return b.follow(b.pool.Arrive(b.now, r), report)
}

// follow answers probes with a report, and lets time go by, until a request is sent.
func (b *bench) follow(actions []Action, report *Report) *Attempt {
	b.t.Helper()
	var sent *Attempt
	for range 20 {
		probes := append([]Action(nil), of(actions, Probe)...)
		if found := of(actions, Send); len(found) > 0 {
			sent = found[0].Attempt
		}
		for _, probe := range probes {
			if found := of(b.pool.Probed(b.now, probe.Target, report, true), Send); len(found) > 0 {
				sent = found[0].Attempt
			}
		}
		if sent != nil {
			return sent
		}
		b.now = b.now.Add(freeGap)
		actions = b.pool.Expire(b.now)
	}
	require.Fail(b.t, "not sent")
	return nil
}

func TestAFewTargetsOfTheOwnZoneAreAskedFirst(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"), entry("a3", "a"), entry("b1", "b"), entry("b2", "b"))
	probes := of(b.pool.Arrive(b.now, b.request(true)), Probe)
	require.Len(t, probes, probesPerRequest)
	for _, probe := range probes {
		require.Equal(t, "a", probe.Target.Zone)
	}
}

func TestTheFirstGoodReportPlacesTheRequest(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"), entry("a3", "a"))
	r := b.request(true)
	probes := append([]Action(nil), of(b.pool.Arrive(b.now, r), Probe)...)
	require.Empty(t, of(b.pool.Probed(b.now, probes[0].Target, slow(0), true), Send))
	sent := b.only(b.pool.Probed(b.now, probes[1].Target, quiet(1), true), Send)
	require.Equal(t, probes[1].Target, sent.Attempt.Target)
	done := b.pool.Finished(b.now, sent.Attempt, Result{Outcome: Answered, Answer: "answer", Report: quiet(1)})
	require.Equal(t, "answer", b.only(done, Deliver).Answer)
}

func TestTargetsAreKeptBelowTheKnee(t *testing.T) {
	b := newBench(t, entry("a1", "a"))
	b.place(b.request(true), quiet(0))
	b.place(b.request(true), quiet(1))
	actions := b.pool.Arrive(b.now, b.request(true))
	require.Empty(t, of(actions, Send))
	require.Equal(t, 1, b.pool.Queued())
}

func TestAFreedPlaceGoesToTheMostUrgent(t *testing.T) {
	b := newBench(t, entry("a1", "a"))
	first := b.place(b.request(true), quiet(0))
	b.place(b.request(true), quiet(1))
	late, usual, urgent := b.request(true), b.request(true), b.request(true)
	late.Due = b.now
	urgent.Priority = -1
	for _, r := range []*Request{late, usual, urgent} {
		b.pool.Arrive(b.now, r)
	}
	sent := b.only(b.pool.Finished(b.now, first, Result{Outcome: Answered, Report: quiet(2)}), Send)
	require.Same(t, urgent, sent.Request)
}

func TestALongQueueRefusesAtOnceWithATimeToComeBack(t *testing.T) {
	b := newBench(t, entry("a1", "a"))
	b.place(b.request(true), quiet(0))
	b.place(b.request(true), quiet(1))
	b.pool.Arrive(b.now, b.request(true))
	b.now = b.now.Add(busyAfter + time.Millisecond)
	b.pool.Expire(b.now)
	var refused []Action
	for range 20 {
		b.now = b.now.Add(time.Millisecond)
		refused = append(refused, of(b.pool.Arrive(b.now, b.request(true)), Refuse)...)
	}
	require.NotEmpty(t, refused)
	for _, action := range refused {
		require.Equal(t, ReasonOverload, action.Reason)
		require.GreaterOrEqual(t, action.RetryAfter, minRetryAfter)
	}
}

func TestCallersTurnedAwayByTargetsWithRoomComeBackSoon(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"))
	r := b.request(false)
	r.MaxAttempts = 1
	a := b.place(r, quiet(0))
	refused := b.only(b.pool.Finished(b.now, a, Result{Outcome: NotRun, Report: quiet(0)}), Refuse)
	require.Equal(t, ReasonAttempts, refused.Reason)
	require.Less(t, refused.RetryAfter, minRetryAfter)
}

func TestLateRequestsLeaveRoomOnlyWhileOthersWait(t *testing.T) {
	for _, othersWait := range []bool{false, true} {
		b := newBench(t, entry("a1", "a"))
		first := b.place(b.request(true), quiet(0))
		if othersWait {
			b.place(b.request(true), quiet(1))
			b.pool.Arrive(b.now, b.request(true))
			b.now = b.now.Add(pressedAfter + time.Millisecond)
			b.pool.Expire(b.now)
			// The one that waits takes the freed place; the next one stays free.
			b.pool.Finished(b.now, first, Result{Outcome: Answered, Report: quiet(2)})
			b.pool.Finished(b.now, b.pool.Targets()[0].running[0], Result{Outcome: Answered, Report: quiet(2)})
		}
		late := b.request(true)
		late.Due = b.now
		sent := of(b.pool.Arrive(b.now, late), Send)
		require.Len(t, sent, map[bool]int{false: 1, true: 0}[othersWait])
	}
}

func TestAShortQueueOfRequestsThatLookForATargetRefusesNone(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"))
	for range 5 {
		require.Empty(t, of(b.pool.Arrive(b.now, b.request(true)), Refuse))
	}
}

func TestAWaitingRequestIsRefusedWhenItCannotBeInTimeAnyMore(t *testing.T) {
	b := newBench(t, entry("a1", "a"))
	b.place(b.request(true), quiet(0))
	b.place(b.request(true), quiet(1))
	r := b.request(false)
	b.pool.Arrive(b.now, r)
	b.now = b.now.Add(objective - work)
	require.Same(t, r, b.only(b.pool.Expire(b.now), Refuse).Request)
	require.Zero(t, b.pool.Queued())
}

func TestNonIdempotentRequestIsNotSentAgainOnceItMayHaveRun(t *testing.T) {
	for outcome, kind := range map[Outcome]ActionKind{Lost: Unknown, Failed: Deliver} {
		b := newBench(t, entry("a1", "a"), entry("a2", "a"))
		a := b.place(b.request(false), quiet(0))
		actions := b.pool.Finished(b.now, a, Result{Outcome: outcome, Answer: "failure"})
		b.only(actions, kind)
		require.Empty(t, of(actions, Send))
		require.Zero(t, b.pool.Queued())
	}
}

func TestRequestThatHasNotRunIsSentToAnotherTarget(t *testing.T) {
	for _, outcome := range []Outcome{NotRun, NotSent, Wrong} {
		b := newBench(t, entry("a1", "a"), entry("a2", "a"))
		r := b.request(false)
		first := b.place(r, quiet(0))
		second := b.follow(b.pool.Finished(b.now, first, Result{Outcome: outcome}), quiet(0))
		require.Same(t, r, second.Request)
		require.NotSame(t, first.Target, second.Target)
	}
}

func TestNotRunIsSaidOnlyIfNoTargetCanHaveBegun(t *testing.T) {
	b := newBench(t, entry("a1", "a"))
	r := b.request(true)
	a := b.place(r, quiet(0))
	actions := b.pool.Finished(b.now, a, Result{Outcome: Lost})
	b.only(actions, Unknown)
	require.Empty(t, of(actions, Refuse))

	b = newBench(t, entry("a1", "a"))
	b.place(b.request(true), quiet(0))
	b.place(b.request(true), quiet(1))
	waiting := b.request(false)
	require.Empty(t, of(b.pool.Arrive(b.now, waiting), Send))
	b.only(b.pool.Timeout(b.now.Add(timeout), waiting), Refuse)
}

func TestTimeoutCancelsWhatIsUnderWay(t *testing.T) {
	b := newBench(t, entry("a1", "a"))
	r := b.request(false)
	a := b.place(r, quiet(0))
	actions := b.pool.Timeout(b.now.Add(timeout), r)
	require.Same(t, a, b.only(actions, Cancel).Attempt)
	require.Equal(t, ReasonTimeout, b.only(actions, Unknown).Reason)
	require.Empty(t, b.pool.Timeout(b.now.Add(timeout), r))
}

func TestCallerGoneStopsIdempotentWorkOnly(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		b := newBench(t, entry("a1", "a"))
		r := b.request(idempotent)
		a := b.place(r, quiet(0))
		actions := b.pool.Abandon(b.now, r)
		if idempotent {
			b.only(actions, Cancel)
			continue
		}
		require.Empty(t, actions)
		require.Empty(t, b.pool.Finished(b.now, a, Result{Outcome: Answered}), "its answer goes nowhere")
		require.Zero(t, a.Target.own())
	}
}

func TestDrainingAndUnlistedTargetsGetNothing(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"))
	draining := entry("a1", "a")
	draining.Draining = true
	b.pool.Update(b.now, []Entry{draining})
	require.Len(t, of(b.pool.Arrive(b.now, b.request(true)), Refuse), 1)
	b.pool.Update(b.now, []Entry{entry("a3", "a")})
	probe := b.only(b.pool.Arrive(b.now, b.request(true)), Probe)
	require.Equal(t, "a3", probe.Target.ID)
}

func TestATargetStartedAgainUnderItsNameIsAnother(t *testing.T) {
	b := newBench(t, entry("a1", "a"))
	a := b.place(b.request(true), quiet(0))
	again := entry("a1", "a")
	again.Born = 5
	b.pool.Update(b.now, []Entry{again})
	require.NotSame(t, a.Target, b.pool.Targets()[0])
	require.Zero(t, b.pool.Targets()[0].own())
}

func TestAddressOfAnotherTargetGetsNothing(t *testing.T) {
	b := newBench(t, entry("a1", "a"))
	r := b.request(true)
	probe := b.only(b.pool.Arrive(b.now, r), Probe)
	require.Empty(t, of(b.pool.Misplaced(b.now, probe.Target), Send))
	require.NotEmpty(t, of(b.pool.Arrive(b.now, b.request(true)), Refuse))
}

func TestRequestIsSentAgainWhenItsTargetTurnsSlow(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"))
	r := b.request(true)
	r.Due = b.now.Add(2*work + work/4)
	first := b.place(r, quiet(0))
	b.now = first.sentAt.Add(firstLook(work))
	probe := b.only(b.pool.Expire(b.now), Probe)
	require.Same(t, first.Target, probe.Target)
	second := b.follow(b.pool.Probed(b.now, probe.Target, slow(1), true), quiet(0))
	require.NotSame(t, first.Target, second.Target)
	actions := b.pool.Finished(b.now, second, Result{Outcome: Answered, Answer: "second"})
	require.Equal(t, "second", b.only(actions, Deliver).Answer)
	require.Same(t, first, b.only(actions, Cancel).Attempt)
}

func TestNonIdempotentRequestStaysWithItsSlowTarget(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"))
	a := b.place(b.request(false), quiet(0))
	b.now = a.sentAt.Add(firstLook(work))
	require.Empty(t, of(b.pool.Expire(b.now), Probe))
	b.pool.observe(b.now, a.Target, *slow(1), 0)
	require.Zero(t, b.pool.Queued())
}

func TestTargetsWithoutReportsAreUsedWithoutAsking(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"))
	a := b.place(b.request(true), nil)
	b.pool.Finished(b.now, a, Result{Outcome: Answered})
	actions := b.pool.Arrive(b.now, b.request(true))
	b.only(actions, Send)
	require.Empty(t, of(actions, Probe))
}

func TestSilentProbesDoNotHoldARequestUp(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"))
	r := b.request(true)
	probes := append([]Action(nil), of(b.pool.Arrive(b.now, r), Probe)...)
	for _, probe := range probes {
		b.now = b.now.Add(blindAfter)
		if len(of(b.pool.ProbeFailed(b.now, probe.Target, false), Send)) > 0 {
			return
		}
	}
	b.now = b.now.Add(recheckEvery)
	b.only(b.pool.Expire(b.now), Send)
}

func TestBudgetBoundsTheSendsBeyondTheFirst(t *testing.T) {
	budget := NewBudget(10*time.Second, 0.2, 10)
	taken := 0
	now := start
	for range 1000 {
		budget.Arrived(now)
		if budget.Take(now) {
			taken++
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, taken, 210)
	require.Greater(t, taken, 100)
	// After a quiet window only the fixed allowance is left.
	now = now.Add(time.Minute)
	taken = 0
	for budget.Take(now) {
		taken++
	}
	require.LessOrEqual(t, taken, 10)
}

func TestProbesStayWithinTheirRate(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"))
	const perTarget, seconds = 5, 60
	b.pool.SetProbeRate(b.now, perTarget)
	// Both targets are full with others' requests all the time.
	probes := 0
	end := b.now.Add(seconds * time.Second)
	for ; b.now.Before(end); b.now = b.now.Add(recheckEvery) {
		actions := append([]Action(nil), b.pool.Arrive(b.now, b.request(true))...)
		actions = append(actions, b.pool.Expire(b.now)...)
		for _, probe := range of(actions, Probe) {
			probes++
			b.pool.Probed(b.now, probe.Target, quiet(3), true)
		}
	}
	allowed := perTarget * 2 * (seconds + probeStart.Seconds())
	require.LessOrEqual(t, float64(probes), allowed)
	require.Greater(t, float64(probes), allowed/2)
}

// TestRandomEvents plays random ends of everything that a pool asks for.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandom(t, rand.New(rand.NewPCG(seed, 9))) })
	}
}

// player answers a pool's actions at random.
type player struct {
	t        *testing.T
	rng      *rand.Rand
	pool     *Pool
	now      time.Time
	probes   []*Target
	attempts []*Attempt
	open     map[*Request]bool
	runs     map[*Request]int
}

func playRandom(t *testing.T, rng *rand.Rand) {
	p := &player{
		t:    t,
		rng:  rng,
		pool: NewPool(rng, "a", NewBudget(time.Second, 0.2, 5)),
		now:  start,
		open: map[*Request]bool{},
		runs: map[*Request]int{},
	}
	p.take(p.pool.Update(p.now, p.entries()))
	for range 400 {
		p.step()
		p.now = p.now.Add(time.Duration(rng.IntN(8)) * time.Millisecond)
	}
	for range 2000 {
		if len(p.open) == 0 && len(p.attempts) == 0 {
			break
		}
		p.now = p.now.Add(5 * time.Millisecond)
		p.finishOne()
		for r := range p.open {
			if p.now.After(r.Deadline) {
				p.take(p.pool.Timeout(p.now, r))
			}
		}
	}
	require.Empty(t, p.open, "requests without an end")
	for _, target := range p.pool.Targets() {
		require.Zero(t, target.own(), "places not given back")
	}
	require.Zero(t, p.pool.Queued())
}

func (p *player) entries() []Entry {
	var entries []Entry
	for i := range 4 {
		e := entry(fmt.Sprint("t", i), []string{"a", "b"}[i%2])
		e.Draining = p.rng.IntN(5) == 0
		if p.rng.IntN(5) > 0 {
			entries = append(entries, e)
		}
	}
	return entries
}

func (p *player) step() {
	switch p.rng.IntN(8) {
	case 0, 1:
		r := &Request{
			Idempotent:  p.rng.IntN(2) == 0,
			MaxAttempts: 1 + p.rng.IntN(3),
			Priority:    p.rng.IntN(3),
			Due:         p.now.Add(time.Duration(p.rng.IntN(300)) * time.Millisecond),
			Deadline:    p.now.Add(time.Duration(100+p.rng.IntN(900)) * time.Millisecond),
			Work:        50 * time.Millisecond,
		}
		p.open[r] = true
		p.take(p.pool.Arrive(p.now, r))
	case 2:
		p.take(p.pool.Update(p.now, p.entries()))
	case 3:
		p.take(p.pool.Expire(p.now))
	case 4:
		for r := range p.open {
			if p.rng.IntN(10) == 0 {
				delete(p.open, r)
				p.take(p.pool.Abandon(p.now, r))
			}
			break
		}
	default:
		p.finishOne()
	}
}

// finishOne ends a probe and an attempt.
func (p *player) finishOne() {
	if len(p.probes) > 0 {
		target := p.probes[0]
		p.probes = p.probes[1:]
		report := &Report{Running: target.own() + p.rng.IntN(2), Slots: 3, Slowness: float64(1 + 3*p.rng.IntN(2))}
		switch p.rng.IntN(10) {
		case 0:
			p.take(p.pool.ProbeFailed(p.now, target, p.rng.IntN(2) == 0))
		case 1:
			p.take(p.pool.Misplaced(p.now, target))
		default:
			p.take(p.pool.Probed(p.now, target, report, p.rng.IntN(10) > 0))
		}
	}
	if len(p.attempts) == 0 {
		return
	}
	i := p.rng.IntN(len(p.attempts))
	a := p.attempts[i]
	p.attempts = append(p.attempts[:i], p.attempts[i+1:]...)
	outcome := []Outcome{Answered, Answered, Answered, Failed, NotRun, NotSent, Wrong, Lost}[p.rng.IntN(8)]
	if outcome == Answered || outcome == Failed || outcome == Lost {
		p.runs[a.Request]++
	}
	p.take(p.pool.Finished(p.now, a, Result{Outcome: outcome, Answer: "x"}))
}

// take carries out actions and checks what must always hold.
func (p *player) take(actions []Action) {
	for _, action := range append([]Action(nil), actions...) {
		switch action.Kind {
		case Probe:
			p.probes = append(p.probes, action.Target)
		case Send:
			p.attempts = append(p.attempts, action.Attempt)
			require.False(p.t, action.Attempt.Target.Draining)
			require.True(p.t, action.Request.Idempotent || p.runs[action.Request] == 0, "sent again after it has run")
		case Cancel:
			p.runs[action.Request]++
			p.attempts = without(p.attempts, action.Attempt)
		case Refuse:
			require.Zero(p.t, p.runs[action.Request], "refused though it has run")
			p.close(action.Request)
		default:
			p.close(action.Request)
		}
	}
}

// close ends a request, once.
func (p *player) close(r *Request) {
	require.True(p.t, p.open[r], "a request was answered twice")
	delete(p.open, r)
}

func without(attempts []*Attempt, gone *Attempt) []*Attempt {
	var rest []*Attempt
	for _, a := range attempts {
		if a != gone {
			rest = append(rest, a)
		}
	}
	return rest
}

func TestAQuarantinedRequestIsNotSentAgain(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"))
	a := b.place(b.request(true), quiet(0))
	ended := b.pool.Finished(b.now, a, Result{Outcome: Lost, Quarantined: true})
	require.Equal(t, ReasonQuarantined, b.only(ended, Unknown).Reason)
	require.Empty(t, of(ended, Send))
	require.Zero(t, b.pool.Queued())
}

// A request whose target may have died isn't sent beside it before that is known.
func TestAHeldRequestIsNotSentBeside(t *testing.T) {
	b := newBench(t, entry("a1", "a"), entry("a2", "a"))
	a := b.place(b.request(true), quiet(0))
	b.pool.Hold(a)
	b.now = b.now.Add(work / 2)
	actions := b.pool.Expire(b.now)
	for _, target := range b.pool.Targets() {
		actions = append(actions, b.pool.Probed(b.now, target, slow(1), true)...)
	}
	require.Empty(t, of(actions, Send))
	again := b.follow(b.pool.Finished(b.now, a, Result{Outcome: Lost}), quiet(0))
	require.NotSame(t, a.Target, again.Target)
}

// A target that has just said that it is slow isn't taken for one of which nothing is
// known, and is in the end.
func TestWhatAReportToldOfATargetsSpeedFades(t *testing.T) {
	b := newBench(t, entry("a1", "a"))
	probe := b.only(b.pool.Arrive(b.now, b.request(true)), Probe)
	b.pool.Probed(b.now, probe.Target, slow(0), true)
	require.InDelta(t, 4, probe.Target.Slowness(b.now), 0.01)
	require.Greater(t, probe.Target.Slowness(b.now.Add(2*reportFresh)), 3.5)
	require.InDelta(t, usualSlowness, probe.Target.Slowness(b.now.Add(10*slownessFades)), 0.01)
}
