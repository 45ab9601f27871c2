package callerserver

import (
	"bufio"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
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
