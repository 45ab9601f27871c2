// Package targetd is a small stand-in for a target: a server with a few slots
// that reports its load, fails on command and keeps a journal of what it ran.
package targetd

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	defaultMaxConnections = 200
	defaultColdFactor     = 5
	// recentWeight is the weight of the last run in the reported latency.
	recentWeight = 0.2
)

// Target is the stand-in's server.
type Target struct {
	options Options
	slots   chan struct{}
	faults  atomic.Pointer[Faults]
	started time.Time

	inFlight    atomic.Int64
	requests    atomic.Uint64
	probes      atomic.Uint64
	checks      atomic.Uint64
	connections atomic.Uint64

	journalMu sync.Mutex

	mu       sync.Mutex
	rng      *rand.Rand
	speed    *speed
	journal  []*Run
	reports  []pastReport
	recent   time.Duration
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

// New returns a target.
func New(options Options) *Target {
	if options.MaxConnections == 0 {
		options.MaxConnections = defaultMaxConnections
	}
	if options.ColdFactor == 0 {
		options.ColdFactor = defaultColdFactor
	}
	now := time.Now()
	t := &Target{
		options: options,
		slots:   make(chan struct{}, options.Slots),
		started: now,
		rng:     rand.New(rand.NewPCG(options.Seed, 1)),
		speed:   newSpeed(options.Noise, options.Seed, now),
		conns:   map[net.Conn]struct{}{},
		recent:  options.MeanService,
	}
	t.faults.Store(&Faults{})
	return t
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(faults Faults) { t.faults.Store(&faults) }

// Faults returns the faults.
func (t *Target) Faults() Faults { return *t.faults.Load() }

// InFlight returns the number of requests running or queued at this instant.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Counts returns the messages received since the start.
func (t *Target) Counts() Counts {
	return Counts{
		Requests:    t.requests.Load(),
		Probes:      t.probes.Load(),
		Checks:      t.checks.Load(),
		Connections: t.connections.Load(),
	}
}

// Journal returns a copy of the journal.
func (t *Target) Journal() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make([]Run, len(t.journal))
	for i, run := range t.journal {
		runs[i] = *run
	}
	return runs
}

// Serve accepts connections until Close or a crash.
func (t *Target) Serve(listener net.Listener) error {
	t.mu.Lock()
	t.listener = listener
	t.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return t.acceptError(err)
		}
		t.connections.Add(1)
		if !t.admit(conn) {
			_ = conn.Close()
			continue
		}
		go t.serveConn(conn)
	}
}

// acceptError hides the error that Close causes.
func (t *Target) acceptError(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	return err
}

func (t *Target) admit(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.conns) >= t.options.MaxConnections {
		return false
	}
	t.conns[conn] = struct{}{}
	return true
}

func (t *Target) drop(conn net.Conn) {
	_ = conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

// Close closes the listener and every connection.
func (t *Target) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for conn := range t.conns {
		_ = conn.Close()
	}
	if t.listener == nil {
		return nil
	}
	return t.listener.Close()
}

func (t *Target) begin(run *Run) {
	t.note(EventBegan, run)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.journal = append(t.journal, run)
}

// end records the end of a run.
func (t *Target) end(run *Run, canceled, crashed bool) {
	if !canceled && !crashed {
		t.note(EventFinished, run)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	run.Finished = time.Now()
	run.Canceled = canceled
	run.Crashed = crashed
	if !canceled && !crashed {
		t.recent += time.Duration(recentWeight * float64(run.Finished.Sub(run.Started)-t.recent))
	}
}

// finishTime returns when a request that begins now is done.
func (t *Target) finishTime(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := t.rng.ExpFloat64() * float64(t.options.MeanService)
	if factor := t.faults.Load().SlowFactor; factor > 0 {
		work *= factor
	}
	if now.Sub(t.started) < t.options.ColdFor {
		work *= t.options.ColdFactor
	}
	return t.speed.finish(now, time.Duration(work))
}

// latency returns the recent mean time of a run.
func (t *Target) latency() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent
}

// crash ends the process, or what stands for it.
func (t *Target) crash() {
	if t.options.Exit != nil {
		t.options.Exit()
	}
	_ = t.Close()
}
