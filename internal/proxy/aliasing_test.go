package proxy

import (
	"bufio"
	"bytes"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// Headers that the callers of this test send to its targets.
const (
	// headerChecksum holds the checksum of the body.
	headerChecksum = "X-Sum"
	// headerToken holds a token that the target returns.
	headerToken = "X-Token"
	// headerBehavior holds the behavior of the target.
	headerBehavior = "X-Behavior"
)

// behavior is how a target responds to a request.
type behavior string

const (
	respondAtOnce behavior = "at-once"
	// respondLate delays the response until about the time of a hedge.
	respondLate behavior = "late"
	// failSometimes makes about half of the attempts fail with a server error.
	failSometimes behavior = "fail"
	// closeSometimes closes the connection of about half of the attempts without a response.
	closeSometimes behavior = "cut"
)

// plannedCall is one call that a caller makes.
type plannedCall struct {
	requestType string
	behavior    behavior
	bodyBytes   int
	tokenBytes  int
	seed        uint64
	// hangUp is set if the caller closes its connection without waiting for the response.
	hangUp bool
}

// drawCall returns a random call.
func drawCall(t *rapid.T) plannedCall {
	behaviors := []behavior{respondAtOnce, respondAtOnce, respondAtOnce, respondLate, failSometimes, closeSometimes}
	return plannedCall{
		requestType: rapid.SampledFrom([]string{"read", "hedged"}).Draw(t, "type"),
		behavior:    rapid.SampledFrom(behaviors).Draw(t, "behavior"),
		bodyBytes:   rapid.SampledFrom([]int{0, 1, 100, 1000, 5000, 70_000}).Draw(t, "body"),
		tokenBytes:  rapid.SampledFrom([]int{1, 50, 5000}).Draw(t, "token"),
		seed:        rapid.Uint64().Draw(t, "seed"),
		hangUp:      rapid.IntRange(0, 9).Draw(t, "hang up") == 0,
	}
}

// content returns the body and the token of the call, which are random but depend on its
// seed only.
func (c plannedCall) content() (body []byte, token string) {
	rng := rand.New(rand.NewPCG(c.seed, 1))
	letters := make([]byte, c.bodyBytes+c.tokenBytes)
	for i := range letters {
		letters[i] = 'a' + byte(rng.IntN(26))
	}
	return letters[:c.bodyBytes], string(letters[c.bodyBytes:])
}

func checksum(body []byte) string { return strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16) }

// echoHandler returns the handler of a target that responds with the body and the token of
// each request. It reports a request whose body doesn't match its checksum on corrupted.
func echoHandler(corrupted chan<- string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == wire.PathHealth {
			return
		}
		if have, want := checksum(ctx.Request.Body()), string(ctx.Request.Header.Peek(headerChecksum)); have != want {
			select {
			case corrupted <- "target received a body with checksum " + have + ", but its header says " + want:
			default:
			}
		}
		ctx.Response.Header.SetBytesV(wire.HeaderAttemptID, ctx.Request.Header.Peek(wire.HeaderAttemptID))
		ctx.Response.Header.SetBytesV(headerToken, ctx.Request.Header.Peek(headerToken))
		ctx.SetBody(ctx.Request.Body())
		switch behavior(ctx.Request.Header.Peek(headerBehavior)) {
		case respondLate:
			time.Sleep(hedgeAfter + time.Duration(rand.IntN(5))*time.Millisecond)
		case failSometimes:
			if rand.IntN(2) == 0 {
				ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			}
		case closeSometimes:
			if rand.IntN(2) == 0 {
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(net.Conn) {})
			}
		}
	}
}

// hedgeAfter is the delay of hedges in this test.
const hedgeAfter = 2 * time.Millisecond

// runCalls makes the calls one after another over as few connections as possible and
// returns the problems that were found.
func runCalls(entry string, calls []plannedCall) []string {
	var problems []string
	var conn net.Conn
	var reader *bufio.Reader
	hangUp := func() {
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	defer hangUp()
	for _, planned := range calls {
		if conn == nil {
			dialed, err := net.Dial("tcp", entry)
			if err != nil {
				return append(problems, err.Error())
			}
			conn, reader = dialed, bufio.NewReaderSize(dialed, 16<<10)
			_ = conn.SetDeadline(time.Now().Add(callTimeout))
		}
		problem := planned.send(conn, reader, entry)
		if problem != "" {
			problems = append(problems, problem)
		}
		if problem != "" || planned.hangUp {
			hangUp()
		}
	}
	return problems
}

// send makes the call over a connection and returns what is wrong with the response, or "".
func (c plannedCall) send(conn net.Conn, reader *bufio.Reader, entry string) string {
	body, token := c.content()
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + entry + "/")
	request.Header.Set(wire.HeaderService, "stock")
	request.Header.Set(wire.HeaderType, c.requestType)
	request.Header.Set(headerChecksum, checksum(body))
	request.Header.Set(headerToken, token)
	request.Header.Set(headerBehavior, string(c.behavior))
	request.SetBody(body)
	if _, err := request.WriteTo(conn); err != nil {
		return err.Error()
	}
	if c.hangUp {
		return ""
	}
	response := &fasthttp.Response{}
	if err := response.Read(reader); err != nil {
		return err.Error()
	}
	if string(response.Header.Peek(wire.HeaderOutcome)) != wire.OutcomeRan {
		return ""
	}
	if !bytes.Equal(response.Body(), body) {
		return "response has the body of another call"
	}
	if string(response.Header.Peek(headerToken)) != token {
		return "response has the token of another call"
	}
	return ""
}

// TestNoBufferIsSharedBetweenCalls guards against buffers that are reused while a call still
// needs them. It makes concurrent calls of many sizes with retries, hedges, lost responses
// and callers that hang up, and checks that each target and caller gets its own data.
func TestNoBufferIsSharedBetweenCalls(t *testing.T) {
	corrupted := make(chan string, 1)
	service := serviceOf(startTarget(t, echoHandler(corrupted)), startTarget(t, echoHandler(corrupted)), startTarget(t, echoHandler(corrupted)))
	service.HedgeShare = 1
	service.Groups[0].MaxConnections = 0
	for i := range service.RequestTypes {
		if service.RequestTypes[i].HedgeAfterMs > 0 {
			service.RequestTypes[i].HedgeAfterMs = int(hedgeAfter.Milliseconds())
		}
	}
	_, entry := startEntry(t, service)
	rapid.Check(t, func(t *rapid.T) {
		const callers = 8
		plans := rapid.SliceOfN(rapid.SliceOfN(rapid.Custom(drawCall), 1, 10), callers, callers).Draw(t, "plans")
		var pending sync.WaitGroup
		problems := make([][]string, callers)
		for i, plan := range plans {
			pending.Go(func() { problems[i] = runCalls(entry, plan) })
		}
		pending.Wait()
		for _, found := range problems {
			require.Empty(t, strings.Join(found, "; "))
		}
		select {
		case problem := <-corrupted:
			require.Fail(t, problem)
		default:
		}
	})
}
