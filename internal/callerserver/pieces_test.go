package callerserver

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// mirrorHandler responds with the request target and the body, from another goroutine. GET
// requests may run concurrently.
type mirrorHandler struct{}

func (mirrorHandler) MayRunConcurrently(request *fasthttp.Request) bool {
	return request.Header.IsGet()
}

func (mirrorHandler) Serve(request *fasthttp.Request, exchange *Exchange) {
	response := &fasthttp.Response{}
	response.SetBodyString(string(request.Header.RequestURI()) + " " + string(request.Body()))
	go exchange.Reply(response)
}

// randomRequest returns a valid request, in a random framing, and the body of its response.
func randomRequest(rng *rand.Rand, number int) (request, want string) {
	target := fmt.Sprintf("/p%d/x", number)
	header := fmt.Sprintf("%s HTTP/1.1\r\nHost: h.example\r\nX-Pad: %s\r\n", target, strings.Repeat("p", rng.IntN(600)))
	body := randomBody(rng)
	switch rng.IntN(4) {
	case 0:
		return "GET " + header + "\r\n", target + " "
	case 1:
		return "POST " + header + "Transfer-Encoding: chunked\r\n\r\n" + randomChunks(rng, body), target + " " + body
	case 2:
		header += "Expect: 100-continue\r\n"
	}
	return fmt.Sprintf("POST %sContent-Length: %d\r\n\r\n%s", header, len(body), body), target + " " + body
}

// randomBody returns a body of bytes that also occur in the framing.
func randomBody(rng *rand.Rand) string {
	body := make([]byte, rng.IntN(1500))
	for i := range body {
		body[i] = "\r\n0a;"[rng.IntN(5)]
	}
	return string(body)
}

func randomChunks(rng *rand.Rand, body string) string {
	formats := []string{"%x\r\n", "%X\r\n", "00%x\r\n", "%x;name=\"v\"\r\n"}
	var encoded strings.Builder
	for len(body) > 0 {
		size := 1 + rng.IntN(min(len(body), 300))
		fmt.Fprintf(&encoded, formats[rng.IntN(len(formats))], size)
		encoded.WriteString(body[:size] + "\r\n")
		body = body[size:]
	}
	encoded.WriteString("0\r\n")
	if rng.IntN(5) == 0 {
		encoded.WriteString("X-Sum: 1\r\n")
	}
	return encoded.String() + "\r\n"
}

// sendInPieces writes text in pieces of random sizes, with random pauses.
func sendInPieces(rng *rand.Rand, conn net.Conn, text string) {
	longest := []int{1, 3, 40, 700, 4000}
	for len(text) > 0 {
		size := 1 + rng.IntN(min(len(text), longest[rng.IntN(len(longest))]))
		if _, err := conn.Write([]byte(text[:size])); err != nil {
			return
		}
		text = text[size:]
		if rng.IntN(3) == 0 {
			time.Sleep(time.Duration(rng.IntN(400)) * time.Microsecond)
		}
	}
}

// checkRandomRequests sends pipelined random requests on one connection and compares the
// responses.
func checkRandomRequests(address string, seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 0))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(settleTimeout))
	var all strings.Builder
	var wanted []string
	for number := range 1 + rng.IntN(12) {
		request, want := randomRequest(rng, number)
		all.WriteString(request)
		wanted = append(wanted, want)
	}
	go sendInPieces(rng, conn, all.String())
	reader := bufio.NewReader(conn)
	for number, want := range wanted {
		var response fasthttp.Response
		if err := response.Read(reader); err != nil {
			return fmt.Errorf("request %d: %w", number, err)
		}
		if response.StatusCode() != fasthttp.StatusOK || string(response.Body()) != want {
			return fmt.Errorf("request %d: status %d, body %.60q, want %.60q", number, response.StatusCode(), response.Body(), want)
		}
	}
	return nil
}

func TestProperRequestsInRandomPiecesAreNotRejected(t *testing.T) {
	const connections, perConnection = 16, 60
	limits := serverLimits()
	limits.AnyRequest, limits.PipelineDepth, limits.BodyBytes = true, 16, 1<<16
	server, address := startHandler(t, mirrorHandler{}, limits)
	var callers sync.WaitGroup
	for caller := range uint64(connections) {
		callers.Go(func() {
			for i := range uint64(perConnection) {
				seed := caller*perConnection + i
				if err := checkRandomRequests(address, seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
					return
				}
			}
		})
	}
	callers.Wait()
	require.Empty(t, server.Rejections())
}
