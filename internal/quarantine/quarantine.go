// Package quarantine stops requests that crash the targets which run them.
//
// Tracker counts, for the content of each request, the targets that died while they
// ran it. At a small limit the content is quarantined: it is not run until the
// quarantine expires or an operator lifts it. Daemons tell one another of deaths
// and lifts, so the limit holds for the whole system.
//
// The requests that were at a target when it died are suspects together. They
// are run one after another, so that the next death names one of them. A suspect
// that a target answers is cleared.
//
// Tracker is a plain state machine. Events and time are passed in.
package quarantine

import (
	"sort"
	"time"
)

const (
	// Limit is the number of dead targets at which content is quarantined, if it
	// alone was at all of them. Otherwise one more is needed to tell which it is.
	Limit = 2
	// Expiry is how long a death counts and a quarantine lasts.
	Expiry = 10 * time.Minute

	// groupTime is the time within which the ends of requests at one target are
	// explained together.
	groupTime = time.Second
	// turnLimit bounds the time for which a suspect keeps others waiting.
	turnLimit = 2 * time.Second
	// maxSuspects bounds the content that a tracker keeps.
	maxSuspects = 4096
)

// Content identifies the content of a request.
type Content uint64

// Death is the death of a target while it ran a request.
type Death struct {
	Target string `json:"target"`
	// Began is when the request was sent to the target.
	Began time.Time `json:"began"`
	At    time.Time `json:"at"`
}

// same reports whether two requests ended by one death: both were at the target
// together. A request that was sent after a death met a target that had been
// started again.
func (d Death) same(other Death) bool {
	return d.Target == other.Target && !d.Began.After(other.At) && !other.Began.After(d.At)
}

// Suspect is content that was at a target when it died.
type Suspect struct {
	Content Content `json:"content,string"`
	Service string  `json:"service"`
	Type    string  `json:"type"`
	Deaths  []Death `json:"deaths"`
	// Quarantined is set once the limit is reached.
	Quarantined bool `json:"quarantined"`
}

// newest returns the time of the last death.
func (s *Suspect) newest() time.Time {
	var last time.Time
	for _, death := range s.Deaths {
		if death.At.After(last) {
			last = death.At
		}
	}
	return last
}

// Expired reports whether the suspect's deaths don't count any more.
func (s *Suspect) Expired(now time.Time) bool { return now.Sub(s.newest()) >= Expiry }

// add adds a death unless it is known.
func (s *Suspect) add(death Death) {
	if s.knows(death) {
		return
	}
	s.Deaths = append(s.Deaths, death)
}

// has reports whether the content was at every death of another suspect.
func (s *Suspect) has(deaths []Death) bool {
	for _, death := range deaths {
		if !s.knows(death) {
			return false
		}
	}
	return true
}

func (s *Suspect) knows(death Death) bool {
	for _, known := range s.Deaths {
		if known.same(death) {
			return true
		}
	}
	return false
}

// independent counts the deaths that one after the other speak against the
// content: each by a request that was sent after the death before. Targets that
// die together while they run the same content count as one.
func (s *Suspect) independent() int {
	sort.Slice(s.Deaths, func(i, j int) bool { return s.Deaths[i].At.Before(s.Deaths[j].At) })
	count := 0
	var last time.Time
	for _, death := range s.Deaths {
		if !death.Began.Before(last) {
			count++
			last = death.At
		}
	}
	return count
}

// Run is one request whose target died under it.
type Run struct {
	Content Content
	Service string
	Type    string
	// Target is the name of the target that died.
	Target string
	// Began is when the request was sent to the target.
	Began time.Time
	// Resume is the driver's own. It is called once, with true if the request may
	// be tried again.
	Resume func(allowed bool)
}

// Tracker is the quarantine as one daemon sees it. It is not safe for concurrent
// use.
type Tracker struct {
	suspects map[Content]*Suspect
	groups   []*group
}

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

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{suspects: map[Content]*Suspect{}} }

// Quarantined reports whether content must not be run.
func (w *Tracker) Quarantined(now time.Time, content Content) bool {
	suspect := w.find(now, content)
	return suspect != nil && w.condemns(suspect)
}

// condemns reports whether the deaths of a suspect can only be its own doing.
func (w *Tracker) condemns(suspect *Suspect) bool {
	deaths := suspect.independent()
	if deaths != Limit {
		return deaths > Limit
	}
	for _, other := range w.suspects {
		if other != suspect && other.has(suspect.Deaths) {
			return false
		}
	}
	return true
}

// Suspected reports whether content was at a target that died.
func (w *Tracker) Suspected(now time.Time, content Content) bool { return w.find(now, content) != nil }

func (w *Tracker) find(now time.Time, content Content) *Suspect {
	suspect := w.suspects[content]
	if suspect != nil && suspect.Expired(now) {
		delete(w.suspects, content)
		return nil
	}
	return suspect
}

// Record takes the end of a request by the death of its target, without giving it a turn:
// for drivers that send the requests of a dead target to different ones. It returns what
// to tell other daemons.
func (w *Tracker) Record(now time.Time, run *Run) Suspect {
	suspect := w.suspect(now, run)
	suspect.add(Death{Target: run.Target, Began: run.Began, At: now})
	return w.copy(suspect)
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

func (w *Tracker) suspect(now time.Time, run *Run) *Suspect {
	suspect := w.find(now, run.Content)
	if suspect == nil {
		w.makeRoom()
		suspect = &Suspect{Content: run.Content, Service: run.Service, Type: run.Type}
		w.suspects[run.Content] = suspect
	}
	return suspect
}

// makeRoom drops the suspect whose last death is the longest ago.
func (w *Tracker) makeRoom() {
	if len(w.suspects) < maxSuspects {
		return
	}
	var oldest *Suspect
	for _, suspect := range w.suspects {
		if oldest == nil || suspect.newest().Before(oldest.newest()) {
			oldest = suspect
		}
	}
	delete(w.suspects, oldest.Content)
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

func (w *Tracker) copy(s *Suspect) Suspect {
	copied := *s
	copied.Deaths = append([]Death(nil), s.Deaths...)
	copied.Quarantined = w.condemns(s)
	return copied
}

// Told takes suspects from another daemon. Times are by this daemon's clock.
func (w *Tracker) Told(now time.Time, suspects []Suspect) []Resumed {
	var resumed []Resumed
	for _, told := range suspects {
		run := &Run{Content: told.Content, Service: told.Service, Type: told.Type}
		if len(told.Deaths) == 0 || told.Expired(now) {
			continue
		}
		suspect := w.suspect(now, run)
		was := w.condemns(suspect)
		for _, death := range told.Deaths {
			suspect.add(death)
		}
		if w.condemns(suspect) && !was {
			resumed = append(resumed, w.explain(told.Content)...)
		}
	}
	return resumed
}

// Known returns what is known of the contents of suspects, those that it knows.
func (w *Tracker) Known(now time.Time, suspects []Suspect) []Suspect {
	var known []Suspect
	for _, told := range suspects {
		if suspect := w.find(now, told.Content); suspect != nil {
			known = append(known, w.copy(suspect))
		}
	}
	return known
}

// Lift forgets content. It returns false if the content isn't known.
func (w *Tracker) Lift(content Content) bool {
	_, known := w.suspects[content]
	delete(w.suspects, content)
	return known
}

// Expire ends turns that take too long and forgets what has expired.
func (w *Tracker) Expire(now time.Time) []Resumed {
	var resumed []Resumed
	var left []*group
	for _, g := range w.groups {
		if g.taken && !now.Before(g.turnEnd) {
			g.taken = false
			resumed = append(resumed, w.next(now, g)...)
		}
		if g.taken || now.Sub(g.at) < turnLimit {
			left = append(left, g)
		}
	}
	w.groups = left
	for content := range w.suspects {
		w.find(now, content)
	}
	return resumed
}

// Suspects returns all suspects, the quarantined first.
func (w *Tracker) Suspects(now time.Time) []Suspect {
	var suspects []Suspect
	for content := range w.suspects {
		if suspect := w.find(now, content); suspect != nil {
			suspects = append(suspects, w.copy(suspect))
		}
	}
	sort.Slice(suspects, func(i, j int) bool {
		if suspects[i].Quarantined != suspects[j].Quarantined {
			return suspects[i].Quarantined
		}
		return suspects[i].Content < suspects[j].Content
	})
	return suspects
}
