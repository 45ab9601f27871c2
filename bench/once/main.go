// Command once measures what at-most-once records cost a booking: the latency
// added before dispatch, the platform calls for each booking, and the rate at
// which the platform's share of writes is used up.
//
// All daemons run in this process, against a platform stand-in on loopback.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/poplarwheel/poplarwheel/bench/internal/command"
	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
)

const (
	// platformAddress is where the stand-in listens.
	platformAddress = "127.77.0.1:7000"
	// platformTimeout bounds a call to the platform.
	platformTimeout = time.Second
	// commitWait bounds the wait for a record.
	commitWait = time.Second
	// readyWait is the time in which the daemons make their objects ready.
	readyWait = time.Second
	// tokenKeep is how long a caller uses one token on average.
	tokenKeep = 5 * time.Second
)

type options struct {
	daemons, writes, delayMs int
	callers, maxKeys         int
	rates, groups            []int
	length                   time.Duration
	seed                     int
	randomAnswers            bool
	softKeys                 int
}

func main() {
	o := options{daemons: 13, writes: 200, delayMs: 2, length: 3 * time.Second, callers: 200, maxKeys: 1024, softKeys: 256}
	rates, groups := "20,200,1000,4000", "0,2,5,10"
	c := command.New("once", "measure what at-most-once records cost a booking")
	c.Seed(&o.seed)
	c.Int(&o.daemons, "", "daemons", "entry daemons")
	c.Int(&o.writes, "", "writes", "platform writes a second for records")
	c.Int(&o.delayMs, "", "delay-ms", "time the platform takes to answer, in milliseconds")
	c.Duration(&o.length, "", "length", "length of each run")
	c.Int(&o.callers, "", "callers", "callers, each with a token of its own")
	c.Int(&o.maxKeys, "", "max-keys", "keys of a record object")
	c.Int(&o.softKeys, "", "soft-keys", "keys of a record object above which new tokens name another")
	c.Bool(&o.randomAnswers, "", "random-answers", "answers that don't compress, in place of JSON")
	c.String(&rates, "", "rates", "bookings a second, separated by commas")
	c.String(&groups, "", "groups", "grouping intervals in milliseconds, separated by commas")
	c.Run(func() error {
		if err := o.parseLists(rates, groups); err != nil {
			return &command.UsageError{Cause: err}
		}
		return measureAll(o)
	})
}

func (o *options) parseLists(rates, groups string) (err error) {
	if o.rates, err = numbers(rates); err != nil {
		return err
	}
	o.groups, err = numbers(groups)
	return err
}

// numbers parses a list of numbers separated by commas.
func numbers(text string) ([]int, error) {
	var list []int
	for part := range strings.SplitSeq(text, ",") {
		number, err := strconv.Atoi(part)
		if err != nil {
			return nil, err
		}
		list = append(list, number)
	}
	return list, nil
}

func measureAll(o options) error {
	fmt.Println("| bookings/s | grouping ms | p50 ms | p99 ms | committed % | writes/booking | calls/booking | bytes/booking | KB/s a daemon | cpu us/booking |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, rate := range o.rates {
		for _, groupMs := range o.groups {
			if err := measure(o, rate, groupMs); err != nil {
				return err
			}
		}
	}
	return nil
}

// fleet is the daemons of one run.
type fleet struct {
	recorders []*idempotency.Recorder
	stop      chan struct{}
}

func startFleet(o options, groupMs int) *fleet {
	f := &fleet{stop: make(chan struct{})}
	for i := range o.daemons {
		rates := idempotency.NewRates(float64(o.writes), 400)
		rates.SetDaemons(o.daemons)
		recorder := idempotency.NewRecorder(idempotency.RecorderOptions{
			Self:  idempotency.Owner{Incarnation: fmt.Sprintf("%d-%d", time.Now().UnixNano(), i), VM: fmt.Sprint("entry-", i)},
			Store: platform.NewClient(platformAddress, platformTimeout),
			Rates: rates,
			Limits: idempotency.Limits{
				GroupInterval: time.Duration(groupMs) * time.Millisecond,
				OutcomeDelay:  100 * time.Millisecond, RetryDelay: 20 * time.Millisecond,
				MaxKeys: o.maxKeys, MaxAnswerBytes: 4 << 10, MaxAnswersBytes: 128 << 10,
			},
			Pool: idempotency.PoolLimits{Slots: 4096, RotateAfter: time.Minute, SoftKeys: o.softKeys},
			Log:  logging.Discard(),
		})
		recorder.SetWanted(true)
		go recorder.Run(f.stop)
		f.recorders = append(f.recorders, recorder)
	}
	time.Sleep(readyWait)
	return f
}

// result collects the ends of the bookings of one run.
type result struct {
	answers   *answers
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	committed int
	done      sync.WaitGroup
}

func measure(o options, rate, groupMs int) error {
	server := platformd.NewServer()
	server.SetFaults(platformd.Faults{DelayMs: o.delayMs})
	listener, err := net.Listen("tcp", platformAddress)
	if err != nil {
		return err
	}
	go func() { _ = server.Serve(listener) }()
	f := startFleet(o, groupMs)
	before := takeUsage(server, f)
	r := &result{answers: newAnswers(o), latency: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)}
	sent := offer(o, f, r, rate)
	r.done.Wait()
	time.Sleep(200 * time.Millisecond)
	spent := takeUsage(server, f).since(before)
	close(f.stop)
	r.print(o, rate, groupMs, sent, spent)
	return server.Close()
}

// offer sends bookings at random times and returns how many there were.
func offer(o options, f *fleet, r *result, rate int) int {
	rng := rand.New(rand.NewPCG(uint64(o.seed), 1))
	tokens := make([]idempotency.Token, o.callers)
	until := make([]time.Time, o.callers)
	sent := 0
	next := time.Now()
	for end := next.Add(o.length); next.Before(end); {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)))
		caller := rng.IntN(o.callers)
		recorder := f.recorders[caller%o.daemons]
		now := time.Now()
		if now.After(until[caller]) {
			tokens[caller], _ = recorder.Token(now, uint64(sent))
			until[caller] = now.Add(time.Duration(rng.Int64N(int64(2 * tokenKeep))))
		}
		sent++
		r.done.Add(1)
		f.book(r, recorder, idempotency.Key{Token: tokens[caller], Request: fmt.Sprint(sent)}, now)
	}
	return sent
}

// fingerprint stands for the hash of a request's content.
func fingerprint(key idempotency.Key) uint64 { return xxhash.Sum64String(key.String()) }

// book commits an intent and records an answer at once.
func (f *fleet) book(r *result, recorder *idempotency.Recorder, key idempotency.Key, now time.Time) {
	if key.Token.Kind != idempotency.Recorded {
		r.done.Done()
		return
	}
	recorder.Begin(now, &idempotency.Send{
		Key: key, Fingerprint: fingerprint(key), CommitBy: now.Add(commitWait), AnswerBy: now.Add(commitWait),
		Decided: func(decision idempotency.Decision) {
			if decision.Verdict == idempotency.Run {
				r.add(time.Since(now))
				answer := &idempotency.Answer{StatusCode: 200, ContentType: "application/json", Body: r.answers.next()}
				recorder.Finish(time.Now(), key, idempotency.Outcome{Status: idempotency.Ran, Answer: answer})
			}
			r.done.Done()
		},
	})
}

func (r *result) add(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.committed++
	_ = r.latency.RecordValue(latency.Microseconds())
}

func (r *result) print(o options, rate, groupMs, sent int, spent usage) {
	ms := func(quantile float64) float64 { return float64(r.latency.ValueAtQuantile(quantile)) / 1000 }
	committed := float64(max(r.committed, 1))
	perDaemon := float64(spent.bytes) / 1000 / o.length.Seconds() / float64(o.daemons)
	fmt.Printf("| %d | %d | %.1f | %.1f | %.1f | %.2f | %.2f | %.0f | %.1f | %.0f |\n", rate, groupMs, ms(50), ms(99),
		100*float64(r.committed)/float64(sent), float64(spent.writes)/committed, float64(spent.writes+spent.reads)/committed,
		float64(spent.bytes)/committed, perDaemon, float64(spent.cpu.Microseconds())/committed)
}
