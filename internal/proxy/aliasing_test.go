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

// Headers between the callers and the target of this test.
const (
	// headerSum is the checksum of the body.
	headerSum = "X-Sum"
	// headerToken is returned by the target.
	headerToken = "X-Token"
	// headerBehavior tells the target what to do.
	headerBehavior = "X-Behavior"
)

// behavior is what a target does with a request.
type behavior string

const (
	answerAtOnce behavior = "at-once"
	answerLate   behavior = "late"
	failOnce     behavior = "fail"
	cutAnswer    behavior = "cut"
)

// plannedCall is one call of a caller.
type plannedCall struct {
	requestType string
	behavior    behavior
	bodyBytes   int
	tokenBytes  int
	seed        uint64
	// hangUp is set if the caller closes its connection without waiting.
	hangUp bool
}

func drawCall(t *rapid.T) plannedCall {
	behaviors := []behavior{answerAtOnce, answerAtOnce, answerAtOnce, answerLate, failOnce, cutAnswer}
	return plannedCall{
		requestType: rapid.SampledFrom([]string{"read", "hedged"}).Draw(t, "type"),
		behavior:    rapid.SampledFrom(behaviors).Draw(t, "behavior"),
		bodyBytes:   rapid.SampledFrom([]int{0, 1, 100, 1000, 5000, 70_000}).Draw(t, "body"),
		tokenBytes:  rapid.SampledFrom([]int{1, 50, 5000}).Draw(t, "token"),
		seed:        rapid.Uint64().Draw(t, "seed"),
		hangUp:      rapid.IntRange(0, 9).Draw(t, "hang up") == 0,
	}
}

// content returns the body and the token of the call.
func (c plannedCall) content() (body []byte, token string) {
	rng := rand.New(rand.NewPCG(c.seed, 1))
	letters := make([]byte, c.bodyBytes+c.tokenBytes)
	for i := range letters {
		letters[i] = 'a' + byte(rng.IntN(26))
	}
	return letters[:c.bodyBytes], string(letters[c.bodyBytes:])
}

func sum(body []byte) string { return strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16) }

// echo returns body and token of a request. A request whose body doesn't fit its
// checksum is reported on mixed.
func echo(mixed chan<- string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == wire.PathHealth {
			return
		}
		if have, want := sum(ctx.Request.Body()), string(ctx.Request.Header.Peek(headerSum)); have != want {
			select {
			case mixed <- "body has sum " + have + ", header says " + want:
			default:
			}
		}
		ctx.Response.Header.SetBytesV(wire.HeaderAttemptID, ctx.Request.Header.Peek(wire.HeaderAttemptID))
		ctx.Response.Header.SetBytesV(headerToken, ctx.Request.Header.Peek(headerToken))
		ctx.SetBody(ctx.Request.Body())
		switch behavior(ctx.Request.Header.Peek(headerBehavior)) {
		case answerLate:
			time.Sleep(hedgeAfter + time.Duration(rand.IntN(5))*time.Millisecond)
		case failOnce:
			if rand.IntN(2) == 0 {
				ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			}
		case cutAnswer:
			if rand.IntN(2) == 0 {
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(net.Conn) {})
			}
		}
	}
}

// hedgeAfter is the pause before a hedge in this test.
const hedgeAfter = 2 * time.Millisecond

// run makes the calls one after the other over as few connections as possible
// and returns what was wrong with the answers.
func run(entry string, calls []plannedCall) []string {
	var wrong []string
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
				return append(wrong, err.Error())
			}
			conn, reader = dialed, bufio.NewReaderSize(dialed, 16<<10)
			_ = conn.SetDeadline(time.Now().Add(callTimeout))
		}
		problem := planned.run(conn, reader, entry)
		if problem != "" {
			wrong = append(wrong, problem)
		}
		if problem != "" || planned.hangUp {
			hangUp()
		}
	}
	return wrong
}

func (c plannedCall) run(conn net.Conn, reader *bufio.Reader, entry string) string {
	body, token := c.content()
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + entry + "/")
	request.Header.Set(wire.HeaderService, "stock")
	request.Header.Set(wire.HeaderType, c.requestType)
	request.Header.Set(headerSum, sum(body))
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
		return "answer carries another body"
	}
	if string(response.Header.Peek(headerToken)) != token {
		return "answer carries another token"
	}
	return ""
}

// TestNoBufferIsSharedBetweenCalls interleaves calls of many sizes with retries,
// hedges, lost answers and callers that hang up, and compares each answer and
// each attempt with what was sent.
func TestNoBufferIsSharedBetweenCalls(t *testing.T) {
	mixed := make(chan string, 1)
	service := serviceOf(startTarget(t, echo(mixed)), startTarget(t, echo(mixed)), startTarget(t, echo(mixed)))
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
			pending.Go(func() { problems[i] = run(entry, plan) })
		}
		pending.Wait()
		for _, wrong := range problems {
			require.Empty(t, strings.Join(wrong, "; "))
		}
		select {
		case problem := <-mixed:
			require.Fail(t, problem)
		default:
		}
	})
}
