package daemon

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/logging"
)

// settleTimeout bounds the wait for something that has to happen.
const settleTimeout = 20 * time.Second

func TestAdminPortRefusesBadInput(t *testing.T) {
	server := newAdminServer(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("fine") }, logging.Discard())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	for name, c := range map[string]struct{ input, answer string }{
		"garbage":          {"\x00\x01\x02\r\n\r\n", "HTTP/1.1 400"},
		"POST":             {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400"},
		"header too large": {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", adminHeaderBytes) + "\r\n\r\n", "HTTP/1.1 431"},
		"cut":              {"GET / HTTP/1.1\r\nHost", ""},
		"valid":            {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "HTTP/1.1 200"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(settleTimeout)))
			_, err = io.WriteString(conn, c.input)
			require.NoError(t, err)
			_ = conn.(*net.TCPConn).CloseWrite() // fails if the server has closed already
			answer, _ := io.ReadAll(conn)
			require.True(t, strings.HasPrefix(string(answer), c.answer), "%q", answer)
		})
	}
}
