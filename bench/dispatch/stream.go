package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
	"github.com/poplarwheel/poplarwheel/test/fleet"
)

const (
	// maxLatency is the largest latency that is told apart.
	maxLatency = 10 * time.Second
	// warmUp is the time from the start in which nothing is recorded.
	warmUp = time.Second
	// patience is how long a caller waits beyond the agreed time.
	patience = time.Second
	// maxConnections bounds the connections of a stream to one entry VM.
	maxConnections = 4000
	// callersNet is the first two octets of the callers' addresses.
	callersNet = "127.250.0."
)

// stream is an open loop of calls from one caller.
type stream struct {
	name       string
	service    string
	sourceHost byte
	rate       float64
}

// latencies collects latencies. It is not safe for concurrent use.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

func (l latencies) add(took time.Duration) { _ = l.histogram.RecordValue(took.Microseconds()) }

func (l latencies) ms(quantile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(quantile)) / 1000
}

// result counts the ends of the calls of a stream.
type result struct {
	mu       sync.Mutex
	calls    int
	good     int
	failed   int
	refused  int
	unknown  int
	latency  latencies
	refusals latencies
}

func (r *result) share(count int) float64 { return float64(count) / float64(max(r.calls, 1)) }

// String returns the figures as key=value pairs.
func (r *result) String() string {
	return fmt.Sprintf("in_time=%.4f failed=%.4f refused=%.4f refused_p50_ms=%.1f unknown=%.4f p50_ms=%.1f p99_ms=%.1f p999_ms=%.1f",
		r.share(r.good), r.share(r.failed), r.share(r.refused), r.refusals.ms(50), r.share(r.unknown),
		r.latency.ms(50), r.latency.ms(99), r.latency.ms(99.9))
}

func (r *result) add(outcome string, status int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	switch {
	case outcome == wire.OutcomeRan && status == fasthttp.StatusOK:
		r.latency.add(took)
		if took <= agreed {
			r.good++
		}
	case outcome == wire.OutcomeRan:
		r.failed++
	case outcome == wire.OutcomeNotRun:
		r.refused++
		r.refusals.add(took)
	default:
		r.unknown++
	}
}

func runStreams(f *fleet.Fleet, streams []stream, duration time.Duration) []*result {
	results := make([]*result, len(streams))
	var pending sync.WaitGroup
	for i, s := range streams {
		results[i] = &result{latency: newLatencies(), refusals: newLatencies()}
		pending.Go(func() { s.run(f.EntryAddresses(), results[i], duration) })
	}
	pending.Wait()
	return results
}

// run sends calls at random times, each in its own goroutine, and waits for all.
func (s stream) run(entries []string, result *result, duration time.Duration) {
	client := s.client()
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(uint64(s.sourceHost), 1))
	recordFrom := time.Now().Add(warmUp)
	end := recordFrom.Add(duration)
	var pending sync.WaitGroup
	for due := time.Now(); due.Before(end); {
		due = due.Add(time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		entry := entries[rng.IntN(len(entries))]
		pending.Go(func() {
			began := time.Now()
			outcome, status := s.call(client, entry)
			if began.After(recordFrom) {
				result.add(outcome, status, time.Since(began))
			}
		})
	}
	pending.Wait()
}

func (s stream) client() *fasthttp.Client {
	dialer := &fasthttp.TCPDialer{
		Concurrency: maxConnections,
		LocalAddr:   &net.TCPAddr{IP: net.ParseIP(callersNet + string('0'+rune(s.sourceHost)))},
	}
	return &fasthttp.Client{
		Dial:                      dialer.Dial,
		MaxConnsPerHost:           maxConnections,
		MaxIdemponentCallAttempts: 1,
	}
}

func (s stream) call(client *fasthttp.Client, entry string) (outcome string, status int) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + entry + "/availability")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(wire.HeaderService, s.service)
	request.Header.Set(wire.HeaderType, requestType)
	if err := client.DoTimeout(request, response, agreed+patience); err != nil {
		return wire.OutcomeUnknown, 0
	}
	return string(response.Header.Peek(wire.HeaderOutcome)), response.StatusCode()
}
