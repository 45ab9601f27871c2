package main

import (
	"context"
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
	// lost counts calls without a correct answer in time, by reason.
	lost map[string]uint64
}

func newTally(deadline time.Duration) *tally {
	return &tally{
		deadline:  deadline,
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		lags:      hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		lost:      map[string]uint64{},
	}
}

// lag records by how much the generator was late.
func (t *tally) lag(late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.lags.RecordValue(max(late, 0).Microseconds())
}

// reasonLate is the reason of a correct answer after the agreed time.
const reasonLate = "late"

// merge adds the results of another pass.
func (t *tally) merge(other *tally) {
	t.latencies.Merge(other.latencies)
	t.lags.Merge(other.lags)
	t.calls += other.calls
	t.inTime += other.inTime
	for reason, count := range other.lost {
		t.lost[reason] += count
	}
}

// record counts a call; reason is why it has no correct answer, if so.
func (t *tally) record(latency time.Duration, correct bool, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	switch {
	case !correct:
		t.lost[reason]++
	case latency > t.deadline:
		t.lost[reasonLate]++
	default:
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
	// heavy is the share of calls that go to one entry VM; uneven draws them.
	heavy  float64
	uneven *rand.Rand
	// sent counts all calls.
	sent uint64
}

func newGenerator(service string, bootstrap []string, rate float64, seed uint64, results *tally) *generator {
	g := &generator{
		service: service,
		rng:     rand.New(rand.NewPCG(seed, 3)),
		uneven:  rand.New(rand.NewPCG(seed, 5)),
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
		send := g.callers[i%len(g.callers)].Do
		if g.uneven.Float64() < g.heavy {
			send = g.sendToFirst
		}
		go g.call(send, due, i, !due.Before(record))
		due = due.Add(time.Duration(g.rng.ExpFloat64() * float64(g.pause)))
	}
	g.calls.Wait()
}

// sendToFirst sends a request of the heavy caller.
func (g *generator) sendToFirst(request client.Request) (client.Answer, error) {
	caller := g.callers[0]
	entries, err := caller.Entries()
	if err != nil {
		return client.Answer{Outcome: client.NotRun}, err
	}
	return caller.DoAt(context.Background(), entries.Addresses[0], request)
}

func (g *generator) call(send func(client.Request) (client.Answer, error), due time.Time, number int, counted bool) {
	defer g.calls.Done()
	answer, err := send(client.Request{
		Type:    requestType,
		Path:    "/call",
		Body:    []byte(g.service + strconv.Itoa(number)),
		Timeout: g.tally.deadline,
	})
	if counted {
		correct := err == nil && answer.Outcome == client.Ran && answer.Status == 200
		g.tally.record(time.Since(due), correct, lostReason(answer, err))
	}
}

// lostReason says why a call has no correct answer.
func lostReason(answer client.Answer, err error) string {
	if err != nil {
		return "connection"
	}
	return string(answer.Outcome) + ":" + answer.Reason
}
