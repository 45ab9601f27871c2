package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/logging"
)

const testTimeout = 20 * time.Second

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn
}

// requireClosed checks that the server closes conn after at most its own nonce.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	answer, err := io.ReadAll(conn)
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "still open")
	require.LessOrEqual(t, len(answer), nonceBytes)
}

func TestGarbageIsRefused(t *testing.T) {
	address := startServer(t, "shared")
	conn := dial(t, address)
	_, err := conn.Write(bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 64))
	require.NoError(t, err)
	requireClosed(t, conn)
}

func TestSilentStrangerIsDropped(t *testing.T) {
	address := startServer(t, "shared")
	silent := dial(t, address)
	half := dial(t, address)
	_, err := half.Write(make([]byte, nonceBytes))
	require.NoError(t, err)
	requireClosed(t, silent)
	requireClosed(t, half)
}

// TestStrangersDoNotKeepPeersOut fills the places for handshakes again and again.
func TestStrangersDoNotKeepPeersOut(t *testing.T) {
	address := startServer(t, "shared")
	client := NewClient([]byte("shared"))
	defer client.Close()
	var result string
	require.NoError(t, client.Call(context.Background(), address, "echo", "before", &result))
	for range maxHandshakes {
		dial(t, address)
	}
	require.NoError(t, client.Call(context.Background(), address, "echo", "during", &result), "a connected peer isn't touched")
	require.Eventually(t, func() bool {
		other := NewClient([]byte("shared"))
		defer other.Close()
		return other.Call(context.Background(), address, "echo", "after", &result) == nil
	}, testTimeout, 50*time.Millisecond, "a new peer gets in once the strangers have timed out")
}

// peerStream opens an authenticated stream without a JSON-RPC client on it.
func peerStream(t *testing.T, address string) *stream {
	t.Helper()
	conn := dial(t, address)
	frames, err := dialStream(conn, []byte("shared"), time.Now().Add(testTimeout), &Traffic{})
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return frames
}

func TestOversizedFrameEndsTheConnection(t *testing.T) {
	frames := peerStream(t, startServer(t, "shared"))
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[:], MaxFrameBytes+1)
	_, err := frames.conn.Write(header[:])
	require.NoError(t, err)
	requireClosed(t, frames.conn)
}

func TestTamperedFrameEndsTheConnection(t *testing.T) {
	frames := peerStream(t, startServer(t, "shared"))
	frame := frames.writeCode.seal([]byte(`{"jsonrpc":"2.0","id":1,"method":"echo","params":"pay"}`))
	frame[len(frame)-4] ^= 1
	_, err := frames.conn.Write(frame)
	require.NoError(t, err)
	requireClosed(t, frames.conn)
}

func TestFrameSentTwiceEndsTheConnection(t *testing.T) {
	frames := peerStream(t, startServer(t, "shared"))
	frame := frames.writeCode.seal([]byte(`{"jsonrpc":"2.0","method":"echo","params":"pay"}`))
	_, err := frames.conn.Write(append(frame, frame...))
	require.NoError(t, err)
	requireClosed(t, frames.conn)
}

func TestSlowFrameEndsTheConnection(t *testing.T) {
	frames := peerStream(t, startServer(t, "shared"))
	frame := frames.writeCode.seal([]byte(`{"jsonrpc":"2.0","id":1,"method":"echo","params":"pay"}`))
	_, err := frames.conn.Write(frame[:len(frame)-1])
	require.NoError(t, err)
	requireClosed(t, frames.conn)
}

// TestHalfOpenConnectionIsReplaced: a connection whose other side has vanished
// without closing it is given up, and the next call opens another one.
func TestHalfOpenConnectionIsReplaced(t *testing.T) {
	address := startServer(t, "shared")
	client := NewClient([]byte("shared"))
	defer client.Close()
	var result string
	require.NoError(t, client.Call(context.Background(), address, "echo", "before", &result))
	// The server side stops answering on this connection only.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	go func() {
		conn, err := silent.Accept()
		if err == nil {
			_, _ = acceptStream(conn, [][]byte{[]byte("shared")}, time.Now().Add(testTimeout), &Traffic{})
		}
	}()
	conn, err := client.dial(context.Background(), silent.Addr().String())
	require.NoError(t, err)
	conn.frames.lastRead.Set(time.Now().Add(-2 * silenceLimit))
	client.mu.Lock()
	client.conns[address] = conn
	client.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var callErr *CallError
	require.ErrorAs(t, client.Call(ctx, address, "echo", "lost", &result), &callErr)
	require.True(t, callErr.Sent)
	require.NoError(t, client.Call(context.Background(), address, "echo", "after", &result))
	require.Equal(t, "after", result)
}

func TestKeyIsReplacedWhileDaemonsRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer([]byte("new"), logging.Discard())
	server.AcceptKey([]byte("old"))
	server.Register("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	for key, accepted := range map[string]bool{"new": true, "old": true, "other": false} {
		client := NewClient([]byte(key))
		var result string
		err := client.Call(context.Background(), listener.Addr().String(), "echo", key, &result)
		require.Equal(t, accepted, err == nil, "key %s: %v", key, err)
		client.Close()
	}
	require.Equal(t, uint64(1), server.Refused())
}

// FuzzOpenFrame: no bytes make the frame reader take a payload that wasn't
// sealed, or hold more than a frame may have.
func FuzzOpenFrame(f *testing.F) {
	sealer := newCodec([]byte("session"), fromDialer)
	sealed := sealer.seal([]byte(`{"jsonrpc":"2.0"}`))
	f.Add(sealed)
	f.Add(append(append([]byte(nil), sealed...), sealed...))
	f.Add(sealed[:len(sealed)-1])
	f.Add(binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1))
	f.Add(make([]byte, headerBytes))
	f.Fuzz(func(t *testing.T, data []byte) {
		opener := newCodec([]byte("session"), fromDialer)
		reader := bytes.NewReader(data)
		for first := true; ; first = false {
			payload, authentic, err := opener.open(reader)
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(payload), MaxFrameBytes)
			genuine := first && bytes.HasPrefix(data, sealed)
			require.Equal(t, genuine, authentic)
			if !authentic {
				return
			}
		}
	})
}
