package quarantine

import "time"

// maxMessageDelay is the longest time that a message of another daemon is assumed to take.
const maxMessageDelay = time.Second

// adjusted returns the suspect with the times of its deaths by this daemon's clock. Two daemons whose
// clocks differ would otherwise count the one death that both saw twice.
func (s Suspect) adjusted(now time.Time) Suspect {
	offset := now.Sub(s.ToldAt)
	if s.ToldAt.IsZero() || offset >= 0 && offset <= maxMessageDelay {
		return s
	}
	deaths := make([]Death, len(s.Deaths))
	for i, death := range s.Deaths {
		death.SentAt, death.At = death.SentAt.Add(offset), death.At.Add(offset)
		deaths[i] = death
	}
	s.Deaths = deaths
	return s
}
