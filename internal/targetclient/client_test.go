package targetclient

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const patience = 20 * time.Second

// serve answers each connection with the given bytes once a request has come,
// and closes it.
func serve(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				var request fasthttp.Request
				if request.Read(bufio.NewReader(conn)) == nil {
					_, _ = conn.Write([]byte(answer))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func do(client *Client, attempt *Attempt, method string) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://target/")
	_, err := client.Do(attempt, time.Now().Add(patience), request)
	return err
}

func TestAnswerWithoutLengthIsLost(t *testing.T) {
	address := serve(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an ans")
	err := do(New(), &Attempt{Address: Address{HostPort: address}}, fasthttp.MethodGet)
	var lost *LostError
	require.ErrorAs(t, err, &lost)
	require.ErrorIs(t, err, ErrNoLength)
}

func TestHeadIsAnsweredWithoutBody(t *testing.T) {
	address := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
	require.NoError(t, do(New(), &Attempt{Address: Address{HostPort: address}}, fasthttp.MethodHead))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	err = do(New(), &Attempt{Address: Address{HostPort: listener.Addr().String()}}, fasthttp.MethodGet)
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
}

func TestConnectionsStayWithinTheLimit(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client := New()
	address := Address{HostPort: listener.Addr().String(), MaxConnections: 2}
	attempts := []*Attempt{{Address: address}, {Address: address}}
	ended := make(chan error, len(attempts))
	for _, attempt := range attempts {
		go func() { ended <- do(client, attempt, fasthttp.MethodGet) }()
	}
	p := client.pool(address.HostPort)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.open == 2
	}, patience, time.Millisecond)
	err = do(client, &Attempt{Address: address}, fasthttp.MethodGet)
	var limit *ConnectionLimitError
	require.ErrorAs(t, err, &limit)
	for _, attempt := range attempts {
		attempt.Cancel()
	}
	for range attempts {
		err := <-ended
		require.True(t, errors.Is(err, ErrCanceled), "error %v", err)
	}
	require.Zero(t, p.open)
}
