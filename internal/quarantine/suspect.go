package quarantine

import (
	"sort"
	"time"
)

// Death is the death of a target while it ran a request.
type Death struct {
	Target string `json:"target"`
	// SentAt is when the request was sent to the target.
	SentAt time.Time `json:"began"`
	// At is when the daemon noticed the death.
	At time.Time `json:"at"`
}

// sameEvent reports whether two records describe one death of a target: both requests
// were at the target at the same time. A request that was sent after a death ran on the
// restarted target.
func (d Death) sameEvent(other Death) bool {
	return d.Target == other.Target && !d.SentAt.After(other.At) && !other.SentAt.After(d.At)
}

// minRestart is the shortest time in which a target restarts: starting a process and listing it
// takes longer.
const minRestart = 100 * time.Millisecond

// sentToDead reports whether the request was sent so soon after another death of the target that
// it can't have restarted. The request was then lost at a dead target: its daemon didn't know of
// the death yet.
func (d Death) sentToDead(other Death) bool {
	return d.Target == other.Target && d.SentAt.After(other.At) && d.SentAt.Before(other.At.Add(minRestart))
}

// Suspect is the content of a request that was at a target when it died.
type Suspect struct {
	Content Content `json:"content,string"`
	// Of is the content that any caller may send, if Content also identifies the caller. Both then
	// have the deaths of the same requests.
	Of      Content `json:"of,omitempty,string"`
	Service string  `json:"service"`
	Type    string  `json:"type"`
	Deaths  []Death `json:"deaths"`
	// Quarantined is set once the limit is reached.
	Quarantined bool `json:"quarantined"`
	// ToldAt is when the sender of a message composed it, by the clock of the deaths' times. It is
	// zero for suspects that are stored.
	ToldAt time.Time `json:"told,omitzero"`
}

// ForStorage returns the suspect as it is stored. Read back later, the time of its message would be taken
// for that of a clock which is behind, and the deaths be moved to the present.
func (s Suspect) ForStorage() Suspect {
	s.ToldAt = time.Time{}
	return s
}

// shared returns the content that any caller may send.
func (s *Suspect) shared() Content {
	if s.Of != 0 {
		return s.Of
	}
	return s.Content
}

// isRelated reports whether both stand for the same requests, so that neither explains the deaths of
// the other.
func (s *Suspect) isRelated(other *Suspect) bool { return s.shared() == other.shared() }

// lastDeath returns the time of the latest death.
func (s *Suspect) lastDeath() time.Time {
	var last time.Time
	for _, death := range s.Deaths {
		if death.At.After(last) {
			last = death.At
		}
	}
	return last
}

// Expired reports whether the latest death is too old to count.
func (s *Suspect) Expired(now time.Time) bool { return now.Sub(s.lastDeath()) >= Expiry }

// add adds a death unless it is already recorded.
func (s *Suspect) add(death Death) {
	if s.presentAt(death) {
		return
	}
	s.Deaths = append(s.Deaths, death)
}

// presentAtAll reports whether the content was at the target at each of the deaths.
func (s *Suspect) presentAtAll(deaths []Death) bool {
	for _, death := range deaths {
		if !s.presentAt(death) {
			return false
		}
	}
	return true
}

// sharesDeath reports whether both contents were at a target when it died.
func (s *Suspect) sharesDeath(other *Suspect) bool {
	for _, death := range other.Deaths {
		if s.presentAt(death) {
			return true
		}
	}
	return false
}

// presentAt reports whether the content was at the target when it died.
func (s *Suspect) presentAt(death Death) bool {
	for _, known := range s.Deaths {
		if known.sameEvent(death) {
			return true
		}
	}
	return false
}

// independentDeaths counts the deaths of which each came from a request that was sent
// after the previous counted death. Targets that die together while they run the same
// content, for example when their rack fails, count as one.
func independentDeaths(deaths []Death) int {
	sort.Slice(deaths, func(i, j int) bool { return deaths[i].At.Before(deaths[j].At) })
	count := 0
	var last time.Time
	for _, death := range deaths {
		if !death.SentAt.Before(last) {
			count++
			last = death.At
		}
	}
	return count
}
