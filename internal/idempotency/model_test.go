package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poplarwheel/poplarwheel/internal/platform"
)

// brokenRule is a rule of the protocol that a test breaks on purpose.
type brokenRule int

const (
	noRule brokenRule = iota
	// trustLostWrites takes a write whose answer was lost as applied.
	trustLostWrites
	// presumeNotRun tells callers that a request was not run whenever its
	// outcome isn't known.
	presumeNotRun
	// ignoreNumbers lets any send take a request over that never ran.
	ignoreNumbers
	// overwrite makes updates unconditional.
	overwrite
)

// modelSteps is the length of a schedule.
const modelSteps = 600

var modelLimits = Limits{
	GroupInterval: 5 * time.Millisecond, OutcomeDelay: 20 * time.Millisecond, RetryDelay: 10 * time.Millisecond,
	MaxKeys: 3, MaxAnswerBytes: 100, MaxAnswersBytes: 1000,
}

// model interleaves daemons, callers and a store. Its events happen in an order
// that rapid draws.
type model struct {
	// pick draws a number below n.
	pick    func(n int, label string) int
	rule    brokenRule
	now     time.Time
	version platform.Version
	content *Content
	daemons []*modelDaemon
	calls   []*modelCall
	starts  int
	breach  string

	// numbers are the callers' numbers of the sends.
	numbers  map[*Send]int
	arrivals int
}

type modelDaemon struct {
	self    Owner
	record  *Record
	dead    bool
	inbox   []func()
	running []*Send
}

// modelCall is a request and the sends that its caller makes.
type modelCall struct {
	key     Key
	number  int
	current *Send
	// runs counts the dispatches that began, refusedUpTo is the highest send
	// number whose caller was told that the request was not run.
	runs        int
	refusedUpTo int
}

func newModel(pick func(int, string) int, rule brokenRule) *model {
	m := &model{pick: pick, rule: rule, now: time.Unix(1000, 0), version: 1, content: &Content{Generation: "g", Entries: map[string]entry{}}, numbers: map[*Send]int{}}
	for i := range 3 {
		m.daemons = append(m.daemons, m.start(i == 0))
	}
	for i := range 2 {
		m.calls = append(m.calls, &modelCall{key: Key{Token: Token{Kind: Recorded, Record: Ref{Generation: "g"}}, Request: fmt.Sprint(i)}, refusedUpTo: -1})
	}
	return m
}

func (m *model) start(maker bool) *modelDaemon {
	m.starts++
	d := &modelDaemon{self: Owner{Incarnation: fmt.Sprint("i", m.starts), VM: "vm"}}
	attempts := uint64(0)
	d.record = NewRecord(d.self, Ref{Generation: "g"}, modelLimits, func() uint64 {
		attempts++
		return attempts
	})
	if maker {
		d.record.Claimed(m.version, m.content)
	}
	return d
}

func (m *model) daemon() *modelDaemon { return m.daemons[m.pick(len(m.daemons), "daemon")] }

// stepWeights holds each kind of step as often as its share of all.
var stepWeights = func() []int {
	var steps []int
	for kind, weight := range []int{5, 1, 1, 10, 40, 6, 140} {
		for range weight {
			steps = append(steps, kind)
		}
	}
	return steps
}()

func (m *model) step() {
	switch stepWeights[m.pick(len(stepWeights), "step")] {
	case 0:
		m.send(false)
	case 1:
		m.send(true)
	case 2:
		m.kill()
	case 3:
		m.now = m.now.Add(time.Duration(1+m.pick(40, "ms")) * time.Millisecond)
	case 4:
		d := m.daemon()
		m.perform(d, d.record.Expire(m.now))
	case 5:
		m.finish()
	default:
		m.deliver()
	}
}

// send makes a caller send its request, first or again. A fallback is the same
// send at another daemon.
func (m *model) send(fallback bool) {
	call := m.calls[m.pick(len(m.calls), "call")]
	// A daemon falls back only while the caller waits for an answer.
	fallback = fallback && call.current != nil && call.refusedUpTo < call.number
	if call.current != nil && !fallback {
		call.number++
	}
	send := &Send{
		Key: call.key, Fingerprint: 1, Number: call.number, Ambiguous: fallback,
		Decline:  m.pick(4, "decline") == 3,
		CommitBy: m.now.Add(time.Duration([]int{5, 50, 500, 5000}[m.pick(4, "deadline")]) * time.Millisecond),
	}
	call.current = send
	m.numbers[send] = send.Number
	d := m.daemon()
	d.inbox = append(d.inbox, func() {
		if m.rule == ignoreNumbers {
			m.arrivals++
			send.Number = m.arrivals
		}
		m.perform(d, d.record.Begin(m.now, send))
	})
}

func (m *model) kill() {
	i := m.pick(len(m.daemons), "victim")
	m.daemons[i].dead = true
	m.daemons[i] = m.start(false)
}

// deliver hands one of a daemon's messages over, in any order.
func (m *model) deliver() {
	d := m.daemon()
	if len(d.inbox) == 0 {
		return
	}
	i := m.pick(len(d.inbox), "message")
	message := d.inbox[i]
	d.inbox = append(d.inbox[:i:i], d.inbox[i+1:]...)
	message()
}

func (m *model) finish() {
	d := m.daemon()
	if len(d.running) == 0 {
		return
	}
	send := d.running[0]
	d.running = d.running[1:]
	outcome := Outcome{Status: Ran, Answer: &Answer{StatusCode: 200}}
	if m.pick(4, "lost") == 3 {
		outcome = Outcome{Status: Unsure}
	}
	m.perform(d, d.record.Finish(m.now, send.Key, outcome))
}

func (m *model) perform(d *modelDaemon, actions []Action) {
	for _, action := range append([]Action(nil), actions...) {
		m.carryOut(d, action)
	}
}

func (m *model) carryOut(d *modelDaemon, action Action) {
	switch action.Kind {
	case RequestPermit:
		d.inbox = append(d.inbox, func() { m.perform(d, d.record.Permitted(m.now)) })
	case Write:
		m.writeObject(d, action)
	case ReadObject:
		d.inbox = append(d.inbox, func() { m.readObject(d) })
	case AskOwner:
		d.inbox = append(d.inbox, func() { m.ask(d, action) })
	case Decide:
		m.decided(d, action.Send, action.Decision)
	}
}

// writeObject applies a write now or later, and may lose its answer.
func (m *model) writeObject(d *modelDaemon, action Action) {
	switch m.pick(5, "write") {
	case 0:
		d.inbox = append(d.inbox, func() { m.wrote(d, Refused, 0) })
	case 1:
		// The answer is lost; the write takes effect at any time, or never, also
		// after its daemon has died.
		other := m.daemon()
		other.inbox = append(other.inbox, func() { m.apply(action) })
		d.inbox = append(d.inbox, func() { m.lostAnswer(d) })
	default:
		d.inbox = append(d.inbox, func() {
			result, version := m.apply(action)
			if m.pick(2, "answer lost") == 1 {
				m.lostAnswer(d)
				return
			}
			m.wrote(d, result, version)
		})
	}
}

func (m *model) lostAnswer(d *modelDaemon) {
	switch m.rule {
	case trustLostWrites:
		m.wrote(d, Applied, d.record.write.version+1)
	default:
		m.wrote(d, Uncertain, 0)
	}
}

func (m *model) wrote(d *modelDaemon, result WriteResult, version platform.Version) {
	m.perform(d, d.record.Wrote(m.now, result, version))
}

func (m *model) apply(action Action) (WriteResult, platform.Version) {
	if action.Version != m.version && m.rule != overwrite {
		return Conflict, 0
	}
	m.version++
	m.content = action.Content.clone()
	return Applied, m.version
}

func (m *model) readObject(d *modelDaemon) {
	if m.pick(4, "read fails") == 3 {
		m.perform(d, d.record.Read(m.now, Failed, 0, nil))
		return
	}
	content := m.content.clone()
	m.perform(d, d.record.Read(m.now, Found, m.version, content))
}

func (m *model) ask(d *modelDaemon, action Action) {
	for _, owner := range m.daemons {
		if owner.self == action.Owner {
			query := &Send{Key: action.Send.Key, Ambiguous: true, query: true}
			query.Decided = func(decision Decision) {
				m.perform(d, d.record.OwnerAnswered(m.now, action.Send, decision.Outcome))
			}
			m.perform(owner, owner.record.Begin(m.now, query))
			return
		}
	}
	m.perform(d, d.record.OwnerAnswered(m.now, action.Send, Outcome{Status: Unsure}))
}

func (m *model) decided(d *modelDaemon, send *Send, decision Decision) {
	if send.query {
		send.Decided(decision)
		return
	}
	call := m.callOf(send)
	switch {
	case decision.Verdict == Run && m.pick(2, "no target") == 1:
		d.inbox = append(d.inbox, func() {
			m.perform(d, d.record.Finish(m.now, send.Key, Outcome{Status: NeverRan}))
			m.tell(call, send, Outcome{Status: NeverRan})
		})
	case decision.Verdict == Run:
		m.dispatch(call, send)
		d.running = append(d.running, send)
	case decision.Verdict == Replay:
		m.tell(call, send, decision.Outcome)
	}
}

func (m *model) dispatch(call *modelCall, send *Send) {
	call.runs++
	if call.runs > 1 {
		m.breach = fmt.Sprintf("request %s was dispatched twice", call.key.Request)
	}
	if call.refusedUpTo >= m.numbers[send] {
		m.breach = fmt.Sprintf("send %d of request %s was dispatched after its caller was told not run", m.numbers[send], call.key.Request)
	}
}

// tell gives an outcome to a caller that still waits for it.
func (m *model) tell(call *modelCall, send *Send, outcome Outcome) {
	presumed := m.rule == presumeNotRun && outcome.Status == Unsure
	if call.current != send || (outcome.Status != NeverRan && !presumed) {
		return
	}
	call.refusedUpTo = m.numbers[send]
	if call.runs > 0 {
		m.breach = fmt.Sprintf("request %s ran and its caller was told not run", call.key.Request)
	}
}

func (m *model) callOf(send *Send) *modelCall {
	for _, call := range m.calls {
		if call.key == send.Key {
			return call
		}
	}
	return nil
}

// play runs a random schedule and returns the breach, if any.
func play(pick func(int, string) int, rule brokenRule) (breach string, runs int) {
	if rule != noRule {
		// An invariant that panics inside the record is a breach found.
		defer func() {
			if err := recover(); err != nil {
				breach = fmt.Sprint(err)
			}
		}()
	}
	m := newModel(pick, rule)
	for range modelSteps {
		m.step()
		if m.breach != "" {
			return m.breach, 0
		}
	}
	for _, call := range m.calls {
		runs += call.runs
	}
	return "", runs
}

// seeded draws evenly; rapid prefers small numbers.
func seeded(seed int) func(int, string) int {
	rng := rand.New(rand.NewPCG(uint64(seed), 0))
	return func(n int, _ string) int { return rng.IntN(n) }
}

func TestRecordDispatchesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		if breach, _ := play(pick, noRule); breach != "" {
			t.Fatal(breach)
		}
	})
}

func TestRecordDispatchesOnceSeeded(t *testing.T) {
	const seeds = 3000
	total := 0
	for seed := range seeds {
		breach, runs := play(seeded(seed), noRule)
		require.Empty(t, breach, "seed %d", seed)
		total += runs
	}
	t.Logf("%d schedules, %d dispatches", seeds, total)
	require.Greater(t, total, seeds/2, "too few requests were dispatched for the schedules to mean anything")
}

// TestModelFindsBrokenRules shows that the model finds a breach of each rule.
func TestModelFindsBrokenRules(t *testing.T) {
	const seeds = 3000
	for name, rule := range map[string]brokenRule{
		"trust lost writes": trustLostWrites, "presume not run": presumeNotRun,
		"ignore send numbers": ignoreNumbers, "unconditional updates": overwrite,
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := range seeds {
				if breach, _ := play(seeded(seed), rule); breach != "" {
					found++
				}
			}
			t.Logf("%d of %d schedules find it", found, seeds)
			require.Positive(t, found)
		})
	}
}
