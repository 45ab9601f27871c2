package targetd

import (
	"math/rand/v2"
	"time"
)

// spell is a time during which the target runs slower.
type spell struct{ from, to time.Time }

// speed turns work into time. It is not safe for concurrent use.
type speed struct {
	noise  Noise
	rng    *rand.Rand
	spells []spell
}

func newSpeed(noise Noise, seed uint64, start time.Time) *speed {
	s := &speed{noise: noise, rng: rand.New(rand.NewPCG(seed, 2))}
	if noise.Every > 0 {
		s.spells = []spell{s.after(start)}
	}
	return s
}

// after returns a random spell that begins after from.
func (s *speed) after(from time.Time) spell {
	begin := from.Add(time.Duration(s.rng.ExpFloat64() * float64(s.noise.Every)))
	return spell{from: begin, to: begin.Add(time.Duration(s.rng.ExpFloat64() * float64(s.noise.For)))}
}

// finish returns when work that begins at start is done.
func (s *speed) finish(start time.Time, work time.Duration) time.Time {
	if s.noise.Every <= 0 {
		return start.Add(work)
	}
	s.forget(start)
	now := start
	for i := 0; ; i++ {
		if i == len(s.spells) {
			s.spells = append(s.spells, s.after(s.spells[i-1].to))
		}
		current := s.spells[i]
		if quiet := current.from.Sub(now); quiet > 0 {
			if work <= quiet {
				return now.Add(work)
			}
			work -= quiet
			now = current.from
		}
		noisy := time.Duration(float64(max(current.to.Sub(now), 0)) / s.noise.Factor)
		if work <= noisy {
			return now.Add(time.Duration(float64(work) * s.noise.Factor))
		}
		work -= noisy
		now = later(now, current.to)
	}
}

// forget drops the spells that ended before now, but for the last one.
func (s *speed) forget(now time.Time) {
	for len(s.spells) > 1 && s.spells[0].to.Before(now) {
		s.spells = s.spells[1:]
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
