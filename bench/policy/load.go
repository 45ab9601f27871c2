package main

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/poplarwheel/poplarwheel/client"
)

const (
	// callersPerService is the number of client libraries that share the calls.
	callersPerService = 8
	// maxLatency bounds the histogram.
	maxLatency = time.Minute
)

// tally collects the results of calls.
type tally struct {
	// deadline is the agreed time of the calls.
	deadline  time.Duration
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	// lags are the times by which the generator was late itself.
	lags   *hdrhistogram.Histogram
	calls  uint64
	inTime uint64
}

func newTally(deadline time.Duration) *tally {
	return &tally{
		deadline:  deadline,
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		lags:      hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

// lag records by how much the generator was late.
func (t *tally) lag(late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.lags.RecordValue(max(late, 0).Microseconds())
}

func (t *tally) record(latency time.Duration, correct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if correct && latency <= t.deadline {
		t.inTime++
	}
	if !correct {
		latency = max(latency, t.deadline)
	}
	_ = t.latencies.RecordValue(min(latency, maxLatency).Microseconds())
}

// generator sends calls to one service at random times that no answer delays.
type generator struct {
	service string
	callers []*client.Client
	rng     *rand.Rand
	pause   time.Duration
	tally   *tally
	calls   sync.WaitGroup
	// sent counts all calls.
	sent uint64
}

func newGenerator(service string, bootstrap []string, rate float64, seed uint64, results *tally) *generator {
	g := &generator{
		service: service,
		rng:     rand.New(rand.NewPCG(seed, 3)),
		pause:   time.Duration(float64(time.Second) / rate),
		tally:   results,
	}
	for range callersPerService {
		g.callers = append(g.callers, client.New(client.Options{Bootstrap: bootstrap, Service: service}))
	}
	return g
}

// run sends calls from start to end and waits for their answers. Calls due
// before record count in no result.
func (g *generator) run(start, record, end time.Time) {
	due := start
	for i := 0; due.Before(end); i++ {
		time.Sleep(time.Until(due))
		g.tally.lag(time.Since(due))
		g.calls.Add(1)
		g.sent++
		go g.call(g.callers[i%len(g.callers)], due, i, !due.Before(record))
		due = due.Add(time.Duration(g.rng.ExpFloat64() * float64(g.pause)))
	}
	g.calls.Wait()
}

func (g *generator) call(caller *client.Client, due time.Time, number int, counted bool) {
	defer g.calls.Done()
	answer, err := caller.Do(client.Request{
		Type:    requestType,
		Path:    "/call",
		Body:    []byte(g.service + strconv.Itoa(number)),
		Timeout: g.tally.deadline,
	})
	if counted {
		correct := err == nil && answer.Outcome == client.Ran && answer.Status == 200
		g.tally.record(time.Since(due), correct)
	}
}
