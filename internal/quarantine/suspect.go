package quarantine

import (
	"sort"
	"time"
)

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
