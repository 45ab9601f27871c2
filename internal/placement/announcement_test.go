package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// minDrainTime is the shortest time for which a target serves on after it has announced that it
// is leaving.
const minDrainTime = 2 * time.Second

// While a target pauses, pauseAllowance requests may reach it later than pauseSlack after its
// refusal.
const (
	pauseSlack     = 500 * time.Millisecond
	pauseAllowance = 2
)

var leavingAnnouncement = Announcement{Leaving: true}

// requireSentTo submits a request and fails unless it is sent to the target with the given ID.
func (h *harness) requireSentTo(id string) {
	h.t.Helper()
	a := h.arriveAndSend(h.request(true), normalReport(0))
	require.Equal(h.t, id, a.Target.ID)
	h.pool.AttemptFinished(h.now, a, Result{Outcome: Answered, Report: normalReport(0)})
}

// Guards against requests to a target that has announced that it is leaving, in a response of
// any kind.
func TestTargetAnnouncesLeavingInAnyResponse(t *testing.T) {
	for _, outcome := range []Outcome{Answered, Failed, NotRun} {
		h := newHarness(t, targetInfo("a1", "a"))
		a := h.arriveAndSend(h.request(true), normalReport(0))
		h.pool.AttemptFinished(h.now, a, Result{Outcome: outcome, Announcement: leavingAnnouncement})
		h.pool.UpdateTargets(h.now, []TargetInfo{targetInfo("a1", "a"), targetInfo("a2", "a")})
		h.requireSentTo("a2")
		require.Equal(t, "leaving", h.pool.Targets()[0].State(h.now).State)
	}
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	h.pool.RecordAnnouncement(h.now, h.pool.Targets()[0], leavingAnnouncement)
	for _, probe := range actionsOf(h.pool.Submit(h.now, h.request(true)), Probe) {
		require.Equal(t, "a2", probe.Target.ID)
	}
}

// Guards against taking the announcement of another target that has got the address.
func TestAnnouncementOfWrongTargetIsIgnored(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	a := h.arriveAndSend(h.request(true), normalReport(0))
	h.pool.AttemptFinished(h.now, a, Result{Outcome: WrongTarget, Announcement: leavingAnnouncement})
	moved := a.Target.TargetInfo
	moved.Address = "elsewhere:80"
	h.pool.UpdateTargets(h.now, []TargetInfo{moved})
	h.requireSentTo(moved.ID)
}

// Guards against an outdated list that brings a leaving target back, and against leaving out
// its successor.
func TestOnlyANewIncarnationEndsLeaving(t *testing.T) {
	listed := targetInfo("a1", "a")
	listed.Incarnation = 5
	other := targetInfo("a2", "a")
	h := newHarness(t, listed, other)
	h.pool.RecordAnnouncement(h.now, h.pool.Targets()[0], leavingAnnouncement)
	moved, older := listed, listed
	moved.Address = "elsewhere:80"
	older.Incarnation = 4
	for _, list := range [][]TargetInfo{{listed, other}, {other}, {listed, other}, {moved, other}, {older, other}} {
		h.pool.UpdateTargets(h.now, list)
		for range 5 {
			h.requireSentTo("a2")
		}
		h.now = h.now.Add(minDrainTime)
	}
	// Another target gets the address.
	successor := targetInfo("a3", "a")
	successor.Address = listed.Address
	h.pool.UpdateTargets(h.now, []TargetInfo{listed, successor})
	h.requireSentTo("a3")
	listed.Incarnation = 6
	h.pool.UpdateTargets(h.now, []TargetInfo{listed})
	h.requireSentTo("a1")
}

// Guards against an announcement that is lost because the target's entry went missing while
// the request was in flight.
func TestUnlistedTargetAnnouncesLeaving(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	a := h.arriveAndSend(h.request(true), normalReport(0))
	h.pool.UpdateTargets(h.now, nil)
	h.pool.AttemptFinished(h.now, a, Result{Outcome: Answered, Announcement: leavingAnnouncement})
	h.pool.UpdateTargets(h.now, []TargetInfo{targetInfo("a1", "a"), targetInfo("a2", "a")})
	h.requireSentTo("a2")
}

// Guards against refusing requests while leaving targets certainly serve, and against sending
// any to them later, queued ones included.
func TestLeavingTargetsAreALastResortForAShortTime(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	leaving := h.pool.Targets()[0]
	h.pool.RecordAnnouncement(h.now, leaving, leavingAnnouncement)
	announcedAt := h.now
	h.requireSentTo("a1")
	h.pool.UpdateTargets(h.now, []TargetInfo{targetInfo("a1", "a"), targetInfo("a2", "a")})
	h.requireSentTo("a2")
	h.pool.UpdateTargets(h.now, []TargetInfo{targetInfo("a1", "a")})

	h.now = announcedAt.Add(lastResortPeriod - 100*time.Millisecond)
	running := h.arriveAndSend(h.request(true), normalReport(0))
	h.arriveAndSend(h.request(true), normalReport(1))
	queued := h.request(true)
	require.Empty(t, actionsOf(h.pool.Submit(h.now, queued), Refuse))
	h.now = announcedAt.Add(lastResortPeriod)
	refused := h.singleAction(h.pool.Tick(h.now), Refuse)
	require.Same(t, queued, refused.Request)
	require.Equal(t, ReasonNoTarget, refused.Reason)
	refused = h.singleAction(h.pool.Submit(h.now, h.request(true)), Refuse)
	require.Equal(t, ReasonNoTarget, refused.Reason)
	require.Positive(t, refused.RetryAfter)
	// What is in flight goes on.
	h.singleAction(h.pool.AttemptFinished(h.now, running, Result{Outcome: Answered}), Deliver)
}

// Guards against retries that wait for a target that has begun to leave.
func TestRetryIsNotHeldForALeavingTarget(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	for _, target := range h.pool.Targets() {
		h.pool.RecordAnnouncement(h.now, target, leavingAnnouncement)
	}
	announcedAt := h.now
	h.now = h.now.Add(lastResortPeriod - serviceTime)
	a := h.arriveAndSend(h.request(true), normalReport(0))
	h.now = announcedAt.Add(lastResortPeriod)
	actions := h.pool.AttemptFinished(h.now, a, Result{Outcome: Failed, Answer: "failure"})
	require.Equal(t, "failure", h.singleAction(actions, Deliver).Answer)
}

// Guards against requests to a target within the pause that it asked for, whatever the list
// says meanwhile, and against a longer one.
func TestTargetGetsNoRequestsUntilItsPauseEnds(t *testing.T) {
	const pause = 5 * time.Second
	for _, outcome := range []Outcome{Failed, NotRun} {
		h := newHarness(t, targetInfo("a1", "a"))
		a := h.arriveAndSend(h.request(true), normalReport(0))
		h.pool.AttemptFinished(h.now, a, Result{Outcome: outcome, Answer: "failure", Announcement: Announcement{RetryAfter: pause}})
		resumption := h.now.Add(pause)
		both := []TargetInfo{targetInfo("a1", "a"), targetInfo("a2", "a")}
		for _, list := range [][]TargetInfo{both, {targetInfo("a2", "a")}, both} {
			h.pool.UpdateTargets(h.now, list)
			for range 5 {
				h.requireSentTo("a2")
			}
			h.now = h.now.Add(pause / 5)
		}
		require.Equal(t, "paused", h.pool.Targets()[0].State(h.now).State)
		h.pool.UpdateTargets(h.now, both[:1])
		refused := h.singleAction(h.pool.Submit(h.now, h.request(true)), Refuse)
		require.Equal(t, ReasonPaused, refused.Reason)
		require.GreaterOrEqual(t, refused.RetryAfter, resumption.Sub(h.now))
		require.Less(t, refused.RetryAfter, resumption.Sub(h.now)+retryAfterJitter)
		h.now = resumption
		h.requireSentTo("a1")
	}
}

func TestNewIncarnationEndsThePause(t *testing.T) {
	listed := targetInfo("a1", "a")
	h := newHarness(t, listed)
	h.pool.RecordAnnouncement(h.now, h.pool.Targets()[0], Announcement{RetryAfter: time.Minute})
	listed.Incarnation++
	h.pool.UpdateTargets(h.now, []TargetInfo{listed})
	h.requireSentTo("a1")
}

// Guards against leaving a target out forever because it asked for an absurd time.
func TestPauseIsBounded(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	h.pool.RecordAnnouncement(h.now, h.pool.Targets()[0], Announcement{RetryAfter: 24 * time.Hour})
	h.now = h.now.Add(maxPause)
	h.requireSentTo("a1")
}

// Guards against a second refusal that shortens the pause of the first.
func TestLongestPauseHolds(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	for _, pause := range []time.Duration{10 * time.Second, time.Second} {
		h.pool.RecordAnnouncement(h.now, h.pool.Targets()[0], Announcement{RetryAfter: pause})
	}
	h.now = h.now.Add(5 * time.Second)
	for range 5 {
		h.requireSentTo("a2")
	}
}

// Guards against queued requests and retries that wait for a target that pauses.
func TestRequestsAreRefusedAtOnceWhileAllTargetsPause(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	retried := h.arriveAndSend(h.request(true), normalReport(0))
	for _, target := range h.pool.Targets() {
		h.pool.observe(h.now, target, *normalReport(2), 0)
	}
	queued := h.request(false)
	require.Empty(t, actionsOf(h.pool.Submit(h.now, queued), Refuse))
	first, second := h.pool.Targets()[0], h.pool.Targets()[1]
	if first == retried.Target {
		first, second = second, first
	}
	require.Empty(t, actionsOf(h.pool.RecordAnnouncement(h.now, first, Announcement{RetryAfter: 2 * time.Second}), Refuse))
	ended := h.pool.AttemptFinished(h.now, retried, Result{Outcome: NotRun, Announcement: Announcement{RetryAfter: 3 * time.Second}})
	require.Same(t, second, retried.Target)
	refused := actionsOf(ended, Refuse)
	require.Len(t, refused, 2)
	for _, action := range refused {
		require.Equal(t, ReasonPaused, action.Reason)
		require.GreaterOrEqual(t, action.RetryAfter, 2*time.Second)
		require.Less(t, action.RetryAfter, 2*time.Second+retryAfterJitter)
	}
	require.Zero(t, h.pool.Queued())
}

// Guards against refusing requests that a target which has just begun to leave can serve.
func TestLeavingTargetIsALastResortWhileTheOthersPause(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	h.pool.RecordAnnouncement(h.now, h.pool.Targets()[0], leavingAnnouncement)
	h.requireSentTo("a2")
	h.pool.RecordAnnouncement(h.now, h.pool.Targets()[1], Announcement{RetryAfter: time.Minute})
	h.requireSentTo("a1")
}

// Guards against probes of a target that pauses, for the sake of its attempts in flight.
func TestPausedTargetIsNotProbed(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	a := h.arriveAndSend(h.request(true), normalReport(0))
	h.pool.RecordAnnouncement(h.now, a.Target, Announcement{RetryAfter: time.Minute})
	h.now = h.now.Add(firstCheckDelay(serviceTime))
	for _, probe := range actionsOf(h.pool.Tick(h.now), Probe) {
		require.NotSame(t, a.Target, probe.Target)
	}
}

// Guards against permits that several daemons hold at once: other daemons may not know what a
// target has announced to this one.
func TestPermitsDoNotDependOnAnnouncements(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"), targetInfo("a2", "a"))
	h.pool.setNoReports(true)
	before := h.pool.Targets()[1].permits
	h.pool.RecordAnnouncement(h.now, h.pool.Targets()[0], leavingAnnouncement)
	h.pool.assignPermits()
	require.Equal(t, before, h.pool.Targets()[1].permits)
}

// Guards against memory that grows with every target ever listed.
func TestAnnouncementsOfFormerTargetsAreForgotten(t *testing.T) {
	h := newHarness(t, targetInfo("a1", "a"))
	h.now = h.now.Add(announcementMemory + time.Second)
	h.pool.UpdateTargets(h.now, []TargetInfo{targetInfo("a2", "a")})
	h.now = h.now.Add(announcementMemory + time.Second)
	h.pool.UpdateTargets(h.now, []TargetInfo{targetInfo("a2", "a")})
	require.Len(t, h.pool.announcements, 1)
}

// TestRandomAnnouncements checks at the processes of targets that announce at random, in lists
// that are outdated, incomplete or change addresses, which requests reach them.
func TestRandomAnnouncements(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 26))
			d := &announcementDriver{t: t, rng: rng, now: start, pool: NewPool(rng, "a", NewBudget(time.Second, 0.2, 5)), open: map[*Request]bool{}}
			d.run()
		})
	}
}

// process is one incarnation of a target, as its own side sees it.
type process struct {
	info    TargetInfo
	leaving bool
	// leavingAt is when the pool first received an announcement of the process that it is
	// leaving.
	leavingAt time.Time
	// refusals are those with a pause, sends the requests that reached the process.
	refusals []refusal
	sends    []time.Time
}

// refusal is a response by which a process asked for a pause.
type refusal struct {
	at    time.Time
	pause time.Duration
}

// announcementDriver answers the actions of a pool as processes that announce at random.
type announcementDriver struct {
	t    *testing.T
	rng  *rand.Rand
	pool *Pool
	now  time.Time
	// processes are the running ones by target ID. Each has been listed. former are their
	// predecessors.
	processes map[string]*process
	former    []*process
	probes    []*Target
	attempts  []*Attempt
	open      map[*Request]bool
	served    int
}

func (d *announcementDriver) run() {
	d.processes = map[string]*process{}
	for i := range 4 {
		info := targetInfo(fmt.Sprint("t", i), "a")
		info.Incarnation = 1
		d.processes[info.ID] = &process{info: info}
	}
	d.updateTargets(false)
	for range 800 {
		d.step()
		d.now = d.now.Add(time.Duration(d.rng.IntN(12)) * time.Millisecond)
	}
	for range 1000 {
		d.now = d.now.Add(5 * time.Millisecond)
		d.finishOne()
		for r := range d.open {
			if d.now.After(r.Deadline) {
				d.perform(d.pool.Timeout(d.now, r))
			}
		}
	}
	require.Empty(d.t, d.open, "requests were never answered")
	require.Positive(d.t, d.served)
	for _, p := range append(d.former, slices.Collect(maps.Values(d.processes))...) {
		d.checkPauses(p)
	}
}

// checkPauses fails if too many requests reached a process in a pause that it asked for.
func (d *announcementDriver) checkPauses(p *process) {
	for _, refused := range p.refusals {
		reached := 0
		for _, at := range p.sends {
			if at.After(refused.at.Add(pauseSlack)) && at.Before(refused.at.Add(refused.pause)) {
				reached++
			}
		}
		require.LessOrEqual(d.t, reached, pauseAllowance, "requests reached paused target %s", p.info.ID)
	}
}

func (d *announcementDriver) step() {
	switch d.rng.IntN(12) {
	case 0, 1, 2, 3:
		r := &Request{
			Idempotent:   d.rng.IntN(2) == 0,
			MaxAttempts:  1 + d.rng.IntN(3),
			SoftDeadline: d.now.Add(time.Duration(d.rng.IntN(300)) * time.Millisecond),
			Deadline:     d.now.Add(time.Duration(100+d.rng.IntN(900)) * time.Millisecond),
			ServiceTime:  50 * time.Millisecond,
		}
		d.open[r] = true
		d.perform(d.pool.Submit(d.now, r))
	case 4:
		d.updateTargets(true)
	case 5:
		d.perform(d.pool.Tick(d.now))
	case 6:
		d.changeOne()
	default:
		d.finishOne()
	}
}

// updateTargets passes a list to the pool. An outdated one lacks entries or shows earlier
// incarnations.
func (d *announcementDriver) updateTargets(outdated bool) {
	var list []TargetInfo
	for i := range 4 {
		p := d.processes[fmt.Sprint("t", i)]
		info := p.info
		if outdated && d.rng.IntN(4) == 0 {
			info.Incarnation -= int64(d.rng.IntN(2))
			info.Address = fmt.Sprint("moved-", d.rng.IntN(3), ":80")
		}
		if !outdated || d.rng.IntN(5) > 0 {
			list = append(list, info)
		}
	}
	d.perform(d.pool.UpdateTargets(d.now, list))
}

// changeOne lets a process begin to leave, or replaces it by a new incarnation.
func (d *announcementDriver) changeOne() {
	p := d.processes[fmt.Sprint("t", d.rng.IntN(4))]
	if !p.leaving {
		p.leaving = d.rng.IntN(4) == 0
		return
	}
	if d.rng.IntN(8) == 0 {
		d.former = append(d.former, p)
		restarted := p.info
		restarted.Incarnation++
		d.processes[restarted.ID] = &process{info: restarted}
		d.updateTargets(false)
	}
}

// announce returns what the process announces in a response that the pool gets now.
func (d *announcementDriver) announce(p *process) Announcement {
	if p.leaving && p.leavingAt.IsZero() {
		p.leavingAt = d.now
	}
	return Announcement{Leaving: p.leaving}
}

// finishOne ends a probe and an attempt.
func (d *announcementDriver) finishOne() {
	if len(d.probes) > 0 {
		target := d.probes[0]
		d.probes = d.probes[1:]
		p := d.processes[target.ID]
		if p.info.Incarnation > target.announced.incarnation {
			d.perform(d.pool.ProbeFailed(d.now, target, true))
		} else {
			d.perform(d.pool.RecordAnnouncement(d.now, target, d.announce(p)))
			d.perform(d.pool.ProbeAnswered(d.now, target, normalReport(target.ownLoad()), true))
		}
	}
	if len(d.attempts) == 0 {
		return
	}
	i := d.rng.IntN(len(d.attempts))
	a := d.attempts[i]
	d.attempts = append(d.attempts[:i], d.attempts[i+1:]...)
	p := d.processes[a.Target.ID]
	if p.info.Incarnation > a.Target.announced.incarnation {
		d.perform(d.pool.AttemptFinished(d.now, a, Result{Outcome: Lost}))
		return
	}
	outcome := []Outcome{Answered, Answered, Answered, Failed, NotRun}[d.rng.IntN(5)]
	if outcome == Answered {
		d.served++
	}
	announcement := d.announce(p)
	if outcome == NotRun && d.rng.IntN(2) == 0 {
		announcement.RetryAfter = []time.Duration{200, 700, 1500, 3000}[d.rng.IntN(4)] * time.Millisecond
		p.refusals = append(p.refusals, refusal{at: d.now, pause: announcement.RetryAfter})
	}
	d.perform(d.pool.AttemptFinished(d.now, a, Result{Outcome: outcome, Answer: "x", Announcement: announcement}))
}

// perform carries out actions and checks those that reach a target.
func (d *announcementDriver) perform(actions []Action) {
	for _, action := range append([]Action(nil), actions...) {
		switch action.Kind {
		case Probe:
			d.checkLeaving(action.Target.ID)
			d.probes = append(d.probes, action.Target)
		case Send:
			d.checkLeaving(action.Attempt.Target.ID)
			p := d.processes[action.Attempt.Target.ID]
			p.sends = append(p.sends, d.now)
			d.attempts = append(d.attempts, action.Attempt)
		case Cancel:
			d.attempts = removeAttempt(d.attempts, action.Attempt)
		default:
			require.True(d.t, d.open[action.Request], "request was answered twice")
			delete(d.open, action.Request)
		}
	}
}

// checkLeaving fails if the target's process has been known to be leaving for too long.
func (d *announcementDriver) checkLeaving(id string) {
	if p := d.processes[id]; !p.leavingAt.IsZero() {
		require.Less(d.t, d.now.Sub(p.leavingAt), minDrainTime, "request reached leaving target %s", id)
	}
}

// Guards against forgetting an announcement because the list had not changed for long.
func TestAnnouncementIsKeptSinceTheEntryWentMissing(t *testing.T) {
	both := []TargetInfo{targetInfo("a1", "a"), targetInfo("a2", "a")}
	h := newHarness(t, both...)
	h.pool.RecordAnnouncement(h.now, h.pool.Targets()[0], leavingAnnouncement)
	h.now = h.now.Add(2 * announcementMemory)
	h.pool.UpdateTargets(h.now, both[1:])
	h.now = h.now.Add(time.Minute)
	h.pool.UpdateTargets(h.now, both)
	for range 5 {
		h.requireSentTo("a2")
	}
}
