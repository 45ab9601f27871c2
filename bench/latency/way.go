package main

import (
	"bufio"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

const (
	// maxLatency is the largest latency that is told apart.
	maxLatency = 10 * time.Second
	// warmUp is the time from the start in which nothing is recorded.
	warmUp = 500 * time.Millisecond
)

// way is one of the two ways to the target.
type way struct {
	address   string
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	// calls counts all calls, those of the warm-up included.
	calls  int
	failed int
}

func newWay(address string) *way {
	return &way{address: address, histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

// connection sends calls with exponential pauses of the given mean. A call that
// is due while the connection is busy is measured from its due time; one that
// the timer wakes late is measured from its sending.
func (w *way) connection(seed uint64, mean time.Duration, end time.Time) {
	rng := rand.New(rand.NewPCG(seed, 3))
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		w.fail()
		return
	}
	defer func() { _ = conn.Close() }()
	reader, writer := bufio.NewReader(conn), bufio.NewWriter(conn)
	recordFrom := time.Now().Add(warmUp)
	due := time.Now()
	for {
		due = due.Add(time.Duration(rng.ExpFloat64() * float64(mean)))
		if due.After(end) {
			return
		}
		from := due
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
			from = time.Now()
		}
		if !w.call(reader, writer) {
			w.fail()
			return
		}
		w.record(time.Since(from), due.After(recordFrom))
	}
}

// call makes one call.
func (w *way) call(reader *bufio.Reader, writer *bufio.Writer) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + w.address + "/availability")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(wire.HeaderService, "stock")
	request.Header.Set(wire.HeaderType, "availability")
	request.SetBodyString(`{"sku":"red carpet 4 m"}`)
	if request.Write(writer) != nil || writer.Flush() != nil || response.Read(reader) != nil {
		return false
	}
	return response.StatusCode() == fasthttp.StatusOK
}

// record counts a call and, once warm, its latency.
func (w *way) record(took time.Duration, warm bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	if !warm {
		return
	}
	_ = w.histogram.RecordValue(took.Microseconds())
}

func (w *way) fail() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed++
}
