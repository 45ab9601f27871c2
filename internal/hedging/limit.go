package hedging

const (
	// savedRequests is the number of requests whose allowance may be saved. More would allow
	// long bursts of hedges after a quiet time, fewer would waste the limit, because targets
	// slow down in groups.
	savedRequests = 200
	// minSaved is the minimum of the saved allowance: with less than one hedge, none could
	// ever be sent.
	minSaved = 1
	// plentifulShare is the share of the allowance that can be saved from which hedges of
	// little gain are sent.
	plentifulShare = 0.9
)

// Limit limits hedges to a fraction of the requests. Each request adds the fraction to an
// allowance that starts empty, each hedge takes one from it. So the hedges since the start
// never exceed the fraction of the requests since the start, and if each daemon has its own
// limit, neither do those of all daemons together.
type Limit struct {
	ratio     float64
	allowance float64
}

// NewLimit returns a limit of ratio hedges for each request.
func NewLimit(ratio float64) Limit { return Limit{ratio: ratio} }

// RecordRequest counts a request.
func (l *Limit) RecordRequest() {
	l.allowance = min(l.allowance+l.ratio, l.capacity())
}

// Allows reports whether a hedge may be sent.
func (l *Limit) Allows() bool { return l.allowance >= 1 }

// Take charges a hedge.
func (l *Limit) Take() { l.allowance-- }

// isLow reports whether less than a quarter of the allowance that can be saved is left.
func (l *Limit) isLow() bool { return l.allowance < max(l.capacity()/4, 1) }

// isPlentiful reports whether nearly all of the allowance that can be saved is left.
func (l *Limit) isPlentiful() bool { return l.allowance >= max(plentifulShare*l.capacity(), 1) }

func (l *Limit) capacity() float64 { return max(savedRequests*l.ratio, minSaved) }
