package quarantine

import (
	"time"
)

// group holds the requests that waited for one death to be explained.
type group struct {
	target string
	at     time.Time
	// turn is the content that is being run, until turnEnd.
	turn    Content
	taken   bool
	turnEnd time.Time
	members map[Content]bool
	waiting []*Run
}

// Died takes the end of a request by the death of its target. It returns what to
// tell other daemons, and the runs to resume.
func (w *Tracker) Died(now time.Time, run *Run) (Suspect, []Resumed) {
	suspect := w.Record(now, run)
	var resumed []Resumed
	if suspect.Quarantined {
		resumed = w.explain(run.Content)
		return suspect, append(resumed, Resumed{Run: run, Allowed: false})
	}
	g := w.groupOf(now, run.Target)
	g.members[run.Content] = true
	g.waiting = append(g.waiting, run)
	return suspect, w.next(now, g)
}

// Resumed is a run that may be tried again, or must not be.
type Resumed struct {
	Run     *Run
	Allowed bool
}

func (w *Tracker) groupOf(now time.Time, target string) *group {
	for _, g := range w.groups {
		if g.target == target && now.Sub(g.at) < groupTime {
			return g
		}
	}
	g := &group{target: target, at: now, members: map[Content]bool{}}
	w.groups = append(w.groups, g)
	return g
}

// next gives the turn to the next waiting content. Requests of the same content
// take their turn together.
func (w *Tracker) next(now time.Time, g *group) []Resumed {
	if len(g.waiting) == 0 {
		return nil
	}
	if !g.taken {
		g.taken = true
		g.turn = g.waiting[0].Content
		g.turnEnd = now.Add(turnLimit)
	}
	var resumed []Resumed
	var left []*Run
	for _, run := range g.waiting {
		switch {
		case w.Quarantined(now, run.Content):
			resumed = append(resumed, Resumed{Run: run, Allowed: false})
		case run.Content == g.turn:
			resumed = append(resumed, Resumed{Run: run, Allowed: true})
		default:
			left = append(left, run)
		}
	}
	g.waiting = left
	if w.Quarantined(now, g.turn) {
		g.taken = false
		return append(resumed, w.next(now, g)...)
	}
	return resumed
}

// Ended takes the end of a request. Answered is set if a target answered it,
// which clears its content. It returns whether it did, and the runs to resume.
func (w *Tracker) Ended(now time.Time, content Content, answered bool) (bool, []Resumed) {
	cleared := answered && w.Lift(content)
	var resumed []Resumed
	for _, g := range w.groups {
		resumed = append(resumed, w.endTurn(now, g, content)...)
	}
	return cleared, resumed
}

func (w *Tracker) endTurn(now time.Time, g *group, content Content) []Resumed {
	if !g.taken || g.turn != content {
		return nil
	}
	g.taken = false
	return w.next(now, g)
}

// explain lets the requests go on that waited because they shared a death with
// quarantined content.
func (w *Tracker) explain(content Content) []Resumed {
	var resumed []Resumed
	var left []*group
	for _, g := range w.groups {
		if !g.members[content] {
			left = append(left, g)
			continue
		}
		for _, run := range g.waiting {
			resumed = append(resumed, Resumed{Run: run, Allowed: run.Content != content})
		}
	}
	w.groups = left
	return resumed
}
