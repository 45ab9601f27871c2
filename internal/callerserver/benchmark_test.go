package callerserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
)

// emptyHandler responds on the event loop, without a body.
type emptyHandler struct{}

func (emptyHandler) Serve(request *fasthttp.Request, exchange *Exchange) {
	fasthttp.ReleaseRequest(request)
	exchange.ReplyOnLoop(&fasthttp.Response{})
}

// BenchmarkLargeBody measures a request whose body arrives in many reads.
func BenchmarkLargeBody(b *testing.B) {
	const bodyBytes = 1 << 20
	limits := serverLimits()
	limits.BodyBytes = bodyBytes
	_, address := startHandler(b, emptyHandler{}, limits)
	conn, err := net.Dial("tcp", address)
	require.NoError(b, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request := []byte(post(strings.Repeat("x", bodyBytes)))
	response := &fasthttp.Response{}
	b.SetBytes(int64(len(request)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		if err := response.Read(reader); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkChunkedBodyInPieces measures a chunked request whose body arrives in reads of 1 KB, by
// the size of the body.
func BenchmarkChunkedBodyInPieces(b *testing.B) {
	const pieceBytes = 1 << 10
	for _, bodyBytes := range []int{1 << 10, 16 << 10, 128 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%dKB", bodyBytes>>10), func(b *testing.B) {
			limits := serverLimits()
			limits.AnyRequest = true
			limits.BodyBytes = bodyBytes
			server, address := startHandler(b, emptyHandler{}, limits)
			conn, err := net.Dial("tcp", address)
			require.NoError(b, err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			header := "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
			piece := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes))
			response := &fasthttp.Response{}
			for b.Loop() {
				sendAndAwait(b, conn, server, header)
				for range bodyBytes / pieceBytes {
					sendAndAwait(b, conn, server, piece)
				}
				_, err := io.WriteString(conn, "0\r\n\r\n")
				require.NoError(b, err)
				require.NoError(b, response.Read(reader))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(bodyBytes), "ns/byte")
		})
	}
}

// sendAndAwait sends a part of a request and waits until the server has read it.
func sendAndAwait(b *testing.B, conn net.Conn, server *Server, part string) {
	want := server.buffered.Load() + int64(len(part))
	if _, err := io.WriteString(conn, part); err != nil {
		b.Fatal(err)
	}
	for server.buffered.Load() != want {
		runtime.Gosched()
	}
}

// BenchmarkSmallRequest measures a request that arrives whole, without and with a budget.
func BenchmarkSmallRequest(b *testing.B) {
	for name, start := range map[string]func() string{
		"no_budget": func() string {
			_, address := startHandler(b, emptyHandler{}, budgetLimits())
			return address
		},
		"budget": func() string {
			_, address := startWithBudget(b, emptyHandler{}, bytebudget.New(1<<30))
			return address
		},
	} {
		b.Run(name, func(b *testing.B) {
			conn, err := net.Dial("tcp", start())
			require.NoError(b, err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			request := []byte(post(strings.Repeat("x", 1000)))
			response := &fasthttp.Response{}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				if err := response.Read(reader); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
