package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// died reports a death and returns the contents that may be tried again.
func died(w *Tracker, content Content, target string, began, at int) []Content {
	_, resumed := w.Died(after(at), &Run{Content: content, Target: target, Began: after(began)})
	return allowed(resumed)
}

func allowed(resumed []Resumed) []Content {
	var contents []Content
	for _, r := range resumed {
		if r.Allowed {
			contents = append(contents, r.Run.Content)
		}
	}
	return contents
}

func TestSecondDeathQuarantinesUntilItExpires(t *testing.T) {
	w := NewTracker()
	require.Equal(t, []Content{1}, died(w, 1, "a", 0, 10))
	require.Empty(t, died(w, 1, "b", 20, 30))
	require.True(t, w.Quarantined(after(40), 1))
	require.False(t, w.Quarantined(after(30).Add(Expiry), 1))
}

func TestOthersAtTheDeadTargetRunAgain(t *testing.T) {
	w := NewTracker()
	require.Equal(t, []Content{1}, died(w, 1, "a", 0, 10))
	require.Empty(t, died(w, 2, "a", 0, 11), "content 2 waits until content 1 is explained")
	require.Equal(t, []Content{2}, died(w, 1, "b", 20, 30))
	require.True(t, w.Quarantined(after(40), 1))
	require.False(t, w.Quarantined(after(40), 2))
}

func TestAnswerClearsAndPassesTheTurnOn(t *testing.T) {
	w := NewTracker()
	died(w, 2, "a", 0, 10)
	died(w, 1, "a", 0, 11)
	cleared, resumed := w.Ended(after(20), 2, true)
	require.True(t, cleared)
	require.Equal(t, []Content{1}, allowed(resumed))
	require.False(t, w.Suspected(after(20), 2))
	require.Empty(t, died(w, 1, "b", 21, 30))
	require.True(t, w.Quarantined(after(40), 1))
}

func TestTargetsThatDieTogetherCountOnce(t *testing.T) {
	w := NewTracker()
	for i := range 10 {
		died(w, 1, fmt.Sprint("rack-", i), i, 20+i)
	}
	require.False(t, w.Quarantined(after(50), 1))
}

// A target that is started again at once and dies again is a second death.
func TestDeathsOfOneTargetAddUp(t *testing.T) {
	w := NewTracker()
	require.Equal(t, []Content{1}, died(w, 1, "a", 0, 10))
	require.Empty(t, died(w, 1, "a", 500, 510))
	require.True(t, w.Quarantined(after(520), 1))
}

// A daemon that was frozen notices a death late.
func TestOneDeathSeenLateCountsOnce(t *testing.T) {
	w := NewTracker()
	died(w, 1, "a", 0, 10)
	died(w, 1, "a", 5, 3010)
	require.False(t, w.Quarantined(after(3020), 1))
}

func TestDeathsOfTwoDaemonsAddUp(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	told, _ := first.Died(after(10), &Run{Content: 1, Target: "a", Began: after(0)})
	second.Told(after(12), []Suspect{told})
	require.Empty(t, died(second, 1, "b", 20, 30))
	require.True(t, second.Quarantined(after(40), 1))
	require.True(t, second.Lift(1))
	require.False(t, second.Suspected(after(40), 1))
}

// TestKillersStopAndInnocentsRun drives several daemons that share a few targets
// of three slots. One content crashes each target that runs it; it is retried and
// resent all the time, one copy at a time. All others are answered.
func TestKillersStopAndInnocentsRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShared(t)
		for range 300 {
			s.step()
		}
		require.LessOrEqual(t, s.killed, Limit+1, "targets killed")
		for _, w := range s.trackers {
			for _, suspect := range w.Suspects(s.now) {
				alone := suspect.Content == killer || len(suspect.Deaths) > Limit
				require.True(t, !suspect.Quarantined || alone, "content %d is quarantined", suspect.Content)
			}
		}
	})
}

// killer is the content that crashes its targets.
const killer Content = 1

// shared is a set of targets shared by daemons that tell one another at once.
type shared struct {
	t        *rapid.T
	now      time.Time
	trackers []*Tracker
	running  []*sharedRun
	targets  int
	killed   int
	next     Content
	// held counts the runs that wait for their turn, by content.
	held map[Content]int
}

type sharedRun struct {
	content Content
	tracker int
	target  int
	began   time.Time
}

func newShared(t *rapid.T) *shared {
	return &shared{t: t, now: start, trackers: []*Tracker{NewTracker(), NewTracker()}, targets: 2, next: killer + 1, held: map[Content]int{}}
}

func (s *shared) step() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(s.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 3).Draw(s.t, "step") {
	case 0:
		s.send(s.next)
		s.next++
	case 1:
		s.send(killer)
	case 2:
		s.answer()
	case 3:
		s.crash()
	}
}

func (s *shared) send(content Content) {
	tracker := rapid.IntRange(0, len(s.trackers)-1).Draw(s.t, "tracker")
	if s.isRunning(content) || s.trackers[tracker].Quarantined(s.now, content) {
		return
	}
	s.start(content, tracker)
}

func (s *shared) isRunning(content Content) bool {
	for _, run := range s.running {
		if run.content == content {
			return true
		}
	}
	return s.held[content] > 0
}

func (s *shared) start(content Content, tracker int) {
	target := rapid.IntRange(0, s.targets-1).Draw(s.t, "target")
	s.running = append(s.running, &sharedRun{content: content, tracker: tracker, target: target, began: s.now})
}

// answer ends a request that doesn't crash its target.
func (s *shared) answer() {
	for i, run := range s.running {
		if run.content != killer {
			s.running = append(s.running[:i:i], s.running[i+1:]...)
			cleared, resumed := s.trackers[run.tracker].Ended(s.now, run.content, true)
			for _, other := range s.trackers {
				if cleared {
					other.Lift(run.content)
				}
			}
			s.resume(run.tracker, resumed)
			return
		}
	}
}

// crash ends the target that runs the killer, with all that it runs. The target
// is replaced under the same name.
func (s *shared) crash() {
	for _, run := range s.running {
		if run.content == killer {
			s.killed++
			ran := rapid.IntRange(1, 3000).Draw(s.t, "ran for ms")
			s.now = s.now.Add(time.Duration(ran) * time.Millisecond)
			s.die(run.target)
			return
		}
	}
}

func (s *shared) die(target int) {
	var dead, left []*sharedRun
	for _, run := range s.running {
		if run.target == target {
			dead = append(dead, run)
		} else {
			left = append(left, run)
		}
	}
	s.running = left
	for _, run := range dead {
		s.held[run.content]++
		reported := &Run{Content: run.content, Target: fmt.Sprint(target), Began: run.began}
		told, resumed := s.trackers[run.tracker].Died(s.now, reported)
		for i, other := range s.trackers {
			if i != run.tracker {
				s.resume(i, other.Told(s.now, []Suspect{told}))
			}
		}
		s.resume(run.tracker, resumed)
	}
}

func (s *shared) resume(tracker int, resumed []Resumed) {
	for _, r := range resumed {
		s.held[r.Run.Content]--
		if r.Allowed && !s.trackers[tracker].Quarantined(s.now, r.Run.Content) {
			s.now = s.now.Add(time.Millisecond)
			s.start(r.Run.Content, tracker)
		}
	}
}
