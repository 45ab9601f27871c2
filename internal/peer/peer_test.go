package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
)

func startServer(t *testing.T, key string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer([]byte(key), logging.Discard())
	server.Register("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return listener.Addr().String()
}

func TestCallReturnsResult(t *testing.T) {
	address := startServer(t, "shared")
	client := NewClient([]byte("shared"))
	defer client.Close()
	var result string
	require.NoError(t, client.Call(context.Background(), address, "echo", "hello", &result))
	require.Equal(t, "hello", result)
}

func TestStrangerGetsNowhere(t *testing.T) {
	address := startServer(t, "shared")
	client := NewClient([]byte("other"))
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var result string
	var callErr *CallError
	require.ErrorAs(t, client.Call(ctx, address, "echo", "hello", &result), &callErr)
	require.Empty(t, result)
}

// TestReplayGetsNowhere records the bytes of a session and sends them again.
func TestReplayGetsNowhere(t *testing.T) {
	address := startServer(t, "shared")
	recorded := make(chan []byte, 1)
	relay, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = relay.Close() }()
	go record(relay, address, recorded)

	client := NewClient([]byte("shared"))
	var result string
	require.NoError(t, client.Call(context.Background(), relay.Addr().String(), "echo", "pay", &result))
	client.Close()

	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(<-recorded)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	answer, err := io.ReadAll(conn)
	require.True(t, err == nil || len(answer) <= nonceBytes)
	require.LessOrEqual(t, len(answer), nonceBytes, "only the server's nonce may come back")
}

// record passes one connection on and keeps what the dialer sent.
func record(relay net.Listener, address string, recorded chan<- []byte) {
	from, err := relay.Accept()
	if err != nil {
		return
	}
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	go func() { _, _ = io.Copy(from, to) }()
	sent, _ := io.ReadAll(io.TeeReader(from, to))
	_ = to.Close()
	recorded <- sent
}
