package placement

import "time"

const (
	// rateWindow is the length of the window in which sends are counted.
	rateWindow = 500 * time.Millisecond
	// minRateWindow is the minimum time from which a rate is computed.
	minRateWindow = 50 * time.Millisecond
)

// sendRate counts sends while the queue is not empty, to estimate how long queued
// requests wait.
type sendRate struct {
	start    time.Time
	current  int
	previous int
}

// reset restarts the count.
func (r *sendRate) reset(now time.Time) { *r = sendRate{start: now} }

func (r *sendRate) recordSend(now time.Time) {
	r.advance(now)
	r.current++
}

func (r *sendRate) advance(now time.Time) {
	switch age := now.Sub(r.start); {
	case age >= 2*rateWindow:
		r.reset(now)
	case age >= rateWindow:
		*r = sendRate{start: r.start.Add(rateWindow), previous: r.current}
	}
}

// timeToSend estimates how long it takes to send the given number of requests.
func (r *sendRate) timeToSend(now time.Time, requests int) time.Duration {
	r.advance(now)
	elapsed := now.Sub(r.start)
	sends := float64(r.current)
	if r.previous > 0 {
		sends += float64(r.previous) * (1 - float64(elapsed)/float64(rateWindow))
		elapsed = rateWindow
	}
	elapsed = max(elapsed, minRateWindow)
	return time.Duration(float64(requests) / max(sends, 1) * float64(elapsed))
}
