package placement

import (
	"math"
	"time"
)

// Targets that don't tell their load are known by what becomes of this daemon's own
// requests there: how long the last answer took, and which requests are overdue.

const (
	// guessFades is the time in which what an answer told of a target's speed fades to a
	// third.
	guessFades = 100 * time.Millisecond
	// overdueShare times its work is when a request shows that its target is slow.
	overdueShare = 1.3
	// sparePlaces is the number of requests that a target gets from a daemon which has
	// none of its places, while the daemon's own can't be used.
	sparePlaces = 1
)

// guess is what the answers of a target that doesn't tell its load show of its speed.
type guess struct {
	slowness float64
	at       time.Time
}

// answered takes the time of an answer in relation to the work that was expected.
func (g *guess) answered(now time.Time, took, work time.Duration) {
	g.slowness = max(float64(took)/float64(max(work, time.Millisecond)), 1)
	g.at = now
}

// estimate returns the slowness that is to be expected now.
func (g *guess) estimate(now time.Time) float64 {
	if g.at.IsZero() {
		return 1
	}
	return fade(g.slowness, 1, now.Sub(g.at), guessFades)
}

// fade returns what is left of a figure that was seen some time ago and goes to another
// one. A third of the difference is left after the time in which it fades.
func fade(seen, usual float64, age, fades time.Duration) float64 {
	return usual + math.Exp(-age.Seconds()/fades.Seconds())*(seen-usual)
}

// guessed estimates the slowness of a target that doesn't tell it.
func (t *Target) guessed(now time.Time) float64 {
	slowness := t.guess.estimate(now)
	for _, a := range t.running {
		waited := float64(now.Sub(a.sentAt)) / float64(max(a.Request.Work, time.Millisecond))
		if waited > overdueShare {
			slowness = max(slowness, waited)
		}
	}
	return slowness
}

// lacksPlaces reports whether most of the daemon's places can't be used: their targets
// are out, or it has none.
func (p *Pool) lacksPlaces(now time.Time, exclusion exclusion) bool {
	if !p.mute {
		return false
	}
	dealt, usable := 0, 0
	for _, t := range p.list {
		dealt += t.places
		if exclusion.allows(now, t) {
			usable += t.places
		}
	}
	return 2*usable <= dealt
}

// setMute takes word whether the service's targets tell their load.
func (p *Pool) setMute(mute bool) {
	if p.mute == mute {
		return
	}
	p.mute = mute
	for _, t := range p.list {
		t.mute = mute
	}
	p.deal()
}
