package targetclient

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// The target learns only from its closed connection that it can stop running a request that
// another target has answered.
func TestCanceledAttemptClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	received, closed := make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		var request fasthttp.Request
		if request.Read(reader) != nil {
			return
		}
		close(received)
		_, err = reader.ReadByte()
		closed <- err
	}()
	loop := startLoop(t)
	attempt := &Attempt{Address: Address{HostPort: listener.Addr().String()}}
	ended := make(chan error, 1)
	go func() { ended <- do(loop, New(), attempt, fasthttp.MethodGet) }()
	<-received
	onLoop(loop, attempt.CancelOnLoop)
	require.ErrorIs(t, <-ended, ErrCanceled)
	select {
	case err := <-closed:
		require.ErrorIs(t, err, io.EOF)
	case <-time.After(testTimeout):
		require.Fail(t, "the connection to the target is still open")
	}
}
