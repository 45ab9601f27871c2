package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// bodyBytes is the size of the bodies of requests and responses in the benchmarks.
const bodyBytes = 256

// benchRequest returns the bytes of a caller's request.
func benchRequest(entry string) []byte {
	request := &fasthttp.Request{}
	request.SetRequestURI("http://" + entry + "/availability")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(wire.HeaderService, "stock")
	request.Header.Set(wire.HeaderType, "read")
	request.SetBody(bytes.Repeat([]byte("q"), bodyBytes))
	return []byte(request.String())
}

// startEchoTarget serves responses with the ID of the attempt. It doesn't allocate per
// request, so that the benchmarks count the allocations of the entry daemon only.
func startEchoTarget(tb testing.TB) string {
	tb.Helper()
	listener := listen(tb)
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go echoAttempts(conn)
		}
	}()
	return listener.Addr().String()
}

// echoAttempts responds to the requests on one connection.
func echoAttempts(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	attemptID := []byte(wire.HeaderAttemptID + ": ")
	length := strconv.Itoa(bodyBytes)
	body := bytes.Repeat([]byte("a"), bodyBytes)
	var response []byte
	for {
		response = append(response[:0], "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "...)
		response = append(response, length...)
		response = append(response, "\r\n"+wire.HeaderInFlight+": 1\r\n"...)
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) == len("\r\n") {
				break
			}
			if bytes.HasPrefix(line, attemptID) {
				response = append(response, line...)
			}
		}
		if _, err := reader.Discard(bodyBytes); err != nil {
			return
		}
		response = append(response, "\r\n"...)
		response = append(response, body...)
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// benchCaller makes calls over one connection without allocating per call.
type benchCaller struct {
	conn    net.Conn
	reader  *bufio.Reader
	request []byte
}

func dialBenchCaller(entry string) (*benchCaller, error) {
	conn, err := net.Dial("tcp", entry)
	if err != nil {
		return nil, err
	}
	return &benchCaller{conn: conn, reader: bufio.NewReader(conn), request: benchRequest(entry)}, nil
}

// call sends the request and reads the response.
func (c *benchCaller) call() error {
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	status, err := c.reader.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(status, []byte("HTTP/1.1 200 ")) {
		return fmt.Errorf("response begins with %q, want status 200", status)
	}
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == len("\r\n") {
			break
		}
	}
	_, err = c.reader.Discard(bodyBytes)
	return err
}

// BenchmarkCall measures a call from the caller's socket to the target and back:
// the caller server, the proxy, the scheduler and the target client. The caller and
// the target run in the same process but don't allocate per call.
func BenchmarkCall(b *testing.B) {
	_, entry := startEntry(b, serviceOf(startEchoTarget(b)))
	caller, err := dialBenchCaller(entry)
	require.NoError(b, err)
	defer func() { _ = caller.conn.Close() }()
	require.NoError(b, caller.call())
	b.ReportAllocs()
	for b.Loop() {
		if err := caller.call(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkParallelCalls measures concurrent calls of several callers.
func BenchmarkParallelCalls(b *testing.B) {
	service := serviceOf(startEchoTarget(b))
	service.Groups[0].MaxConnections = 0
	_, entry := startEntry(b, service)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		caller, err := dialBenchCaller(entry)
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = caller.conn.Close() }()
		for pb.Next() {
			if err := caller.call(); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkMeasure measures what the check for a probe adds to each call of a service with
// many targets, when the measuring budget mostly allows no probe.
func BenchmarkMeasure(b *testing.B) {
	const targets = 300
	addresses := make([]string, targets)
	for i := range addresses {
		addresses[i] = "127.0.0.1:1"
	}
	service := serviceOf(addresses...)
	service.ProbesPerSecond = 1
	p, _ := startEntry(b, service)
	s := (*p.shards.Load())[service.Name]
	b.ReportAllocs()
	for b.Loop() {
		s.mu.Lock()
		s.startProbe(time.Now())
		s.mu.Unlock()
	}
}
