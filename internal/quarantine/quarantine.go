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
