package targetd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// conn is one connection. While a request runs, a second goroutine waits for the
// next byte, so that a closed connection cancels the request.
type conn struct {
	target *Target
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func (t *Target) serveConn(netConn net.Conn) {
	defer t.drop(netConn)
	c := &conn{target: t, net: netConn, reader: bufio.NewReader(netConn), writer: bufio.NewWriter(netConn)}
	for c.serveOne() {
	}
}

// serveOne serves one request; false means that the connection is done.
func (c *conn) serveOne() bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := request.Read(c.reader); err != nil {
		return false
	}
	closed := make(chan struct{})
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		if _, err := c.reader.Peek(1); err != nil {
			close(closed)
		}
	}()
	answered := c.handle(request, response, closed)
	if !answered || !c.write(request, response) {
		_ = c.net.Close()
		<-watching
		return false
	}
	<-watching
	return !request.ConnectionClose()
}

func (c *conn) write(request *fasthttp.Request, response *fasthttp.Response) bool {
	control := bytes.HasPrefix(request.URI().Path(), []byte(controlPrefix))
	if !control && c.target.faults.Load().CutAnswers {
		whole := response.String()
		_, _ = c.net.Write([]byte(whole[:len(whole)-1]))
		return false
	}
	if err := response.Write(c.writer); err != nil {
		return false
	}
	return c.writer.Flush() == nil
}

// handle fills in the response; false means that there is none.
func (c *conn) handle(request *fasthttp.Request, response *fasthttp.Response, closed <-chan struct{}) bool {
	t := c.target
	switch string(request.URI().Path()) {
	case wire.PathHealth:
		t.checks.Add(1)
		response.SetStatusCode(t.health())
	case wire.PathLoad:
		t.probes.Add(1)
		t.note(EventProbed, &Run{})
		setJSON(response, t.load(time.Now()))
	case PathJournal:
		setJSON(response, t.Journal())
	case PathCounts:
		setJSON(response, t.Counts())
	case PathFaults:
		t.controlFaults(request, response)
	default:
		return t.work(request, response, closed)
	}
	return true
}

func (t *Target) health() int {
	faults := t.faults.Load()
	if !faults.LieHealthy && (faults.Leaving || faults.Unhealthy) {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusOK
}

func (t *Target) controlFaults(request *fasthttp.Request, response *fasthttp.Response) {
	var faults Faults
	if err := json.Unmarshal(request.Body(), &faults); err != nil {
		response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	t.SetFaults(faults)
}

// work serves a caller's request; false means that there is no answer.
func (t *Target) work(request *fasthttp.Request, response *fasthttp.Response, closed <-chan struct{}) bool {
	t.requests.Add(1)
	response.Header.SetBytesV(wire.HeaderAttemptID, request.Header.Peek(wire.HeaderAttemptID))
	faults := t.faults.Load()
	inFlight := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	switch {
	case faults.Mute:
		<-closed
		return false
	case faults.Leaving:
		t.note(EventRefused, newRun(request, time.Now()))
		response.Header.Set(wire.HeaderState, wire.StateLeaving)
		refuse(response)
		return true
	case faults.FailFast:
		response.SetStatusCode(fasthttp.StatusInternalServerError)
		return true
	case faults.ShedAbove > 0 && inFlight > int64(faults.ShedAbove):
		refuse(response)
		return true
	}
	return t.queueAndRun(request, response, closed)
}

// refuse answers that the request was not run.
func refuse(response *fasthttp.Response) {
	response.Header.Set(wire.HeaderNotRun, wire.True)
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (t *Target) queueAndRun(request *fasthttp.Request, response *fasthttp.Response, closed <-chan struct{}) bool {
	expired := time.NewTimer(timeout(request))
	defer expired.Stop()
	select {
	case t.slots <- struct{}{}:
	case <-closed:
		return false
	case <-expired.C:
		response.Header.Set(wire.HeaderNotRun, wire.True)
		response.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return true
	}
	defer func() { <-t.slots }()
	return t.run(request, response, closed)
}

func (t *Target) run(request *fasthttp.Request, response *fasthttp.Response, closed <-chan struct{}) bool {
	now := time.Now()
	run := newRun(request, now)
	t.begin(run)
	if string(request.Header.Peek(HeaderCrash)) == wire.True {
		t.end(run, false, true)
		t.crash()
		return false
	}
	done := time.NewTimer(time.Until(t.finishTime(now)))
	defer done.Stop()
	select {
	case <-done.C:
	case <-closed:
		t.end(run, true, false)
		return false
	}
	t.end(run, false, false)
	t.answer(request, response, run)
	return true
}

func newRun(request *fasthttp.Request, now time.Time) *Run {
	return &Run{
		Key:       string(request.Header.Peek(wire.HeaderIdempotencyKey)),
		AttemptID: string(request.Header.Peek(wire.HeaderAttemptID)),
		Path:      string(request.URI().Path()),
		Started:   now,
	}
}

func (t *Target) answer(request *fasthttp.Request, response *fasthttp.Response, run *Run) {
	report := t.load(time.Now())
	response.Header.Set(wire.HeaderInFlight, strconv.Itoa(report.InFlight))
	if report.Leaving {
		response.Header.Set(wire.HeaderState, wire.StateLeaving)
	}
	setJSON(response, Answer{Target: t.options.Name, Path: run.Path, Key: run.Key, Echo: string(request.Body())})
}

// defaultTimeout applies to requests that carry no deadline.
const defaultTimeout = time.Minute

func timeout(request *fasthttp.Request) time.Duration {
	ms, err := fasthttp.ParseUint(request.Header.Peek(wire.HeaderTimeout))
	if err != nil {
		return defaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

func setJSON(response *fasthttp.Response, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		response.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	response.Header.SetContentType("application/json")
	response.SetBody(body)
}
