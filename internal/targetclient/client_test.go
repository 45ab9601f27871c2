package targetclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/logging"
)

// testTimeout is the time limit of requests and conditions in tests.
const testTimeout = 20 * time.Second

// serve responds on each connection to one request with the given bytes and closes the
// connection. It returns its address.
func serve(t *testing.T, response string) string {
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
					_, _ = conn.Write([]byte(response))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// startLoop starts a server with one event loop and returns the loop.
func startLoop(t *testing.T) gnet.EventLoop {
	t.Helper()
	finder := &loopFinder{found: make(chan gnet.EventLoop, 1)}
	limits := callerserver.Limits{HeaderBytes: 4096, BodyBytes: 4096, SendTimeout: testTimeout, IdleTimeout: testTimeout}
	server := callerserver.New(finder, limits, logging.Discard())
	address := freeAddress(t)
	failed := make(chan error, 1)
	go func() { failed <- server.Run(address, 1) }()
	select {
	case <-server.Started():
	case err := <-failed:
		require.NoError(t, err)
	}
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	status, _, err := fasthttp.Get(nil, "http://"+address+"/")
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusOK, status)
	return <-finder.found
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// loopFinder is a handler that reports the event loop of the first request.
type loopFinder struct{ found chan gnet.EventLoop }

func (f *loopFinder) Serve(_ *fasthttp.Request, exchange *callerserver.Exchange) {
	f.found <- exchange.Loop()
	exchange.ReplyOnLoop(&fasthttp.Response{})
}

// do runs an attempt to its end and returns its error.
func do(loop gnet.EventLoop, client *Client, attempt *Attempt, method string) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://target/")
	ended := make(chan error, 1)
	onLoop(loop, func() {
		client.Start(loop, attempt, time.Now().Add(testTimeout), request, HandlerFunc(func(_ *fasthttp.Response, err error) { ended <- err }))
	})
	return <-ended
}

func TestResponseWithoutLengthIsLost(t *testing.T) {
	address := serve(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an ans")
	err := do(startLoop(t), New(), &Attempt{Address: Address{HostPort: address}}, fasthttp.MethodGet)
	var lost *LostError
	require.ErrorAs(t, err, &lost)
	require.ErrorIs(t, err, ErrNoLength)
}

func TestHeadResponseHasNoBody(t *testing.T) {
	address := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
	require.NoError(t, do(startLoop(t), New(), &Attempt{Address: Address{HostPort: address}}, fasthttp.MethodHead))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	err = do(startLoop(t), New(), &Attempt{Address: Address{HostPort: listener.Addr().String()}}, fasthttp.MethodGet)
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
}

func TestConnectionsStayWithinTheLimit(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client := New()
	loop := startLoop(t)
	address := Address{HostPort: listener.Addr().String(), MaxConnections: 2}
	attempts := []*Attempt{{Address: address}, {Address: address}}
	ended := make(chan error, len(attempts))
	for _, attempt := range attempts {
		go func() { ended <- do(loop, client, attempt, fasthttp.MethodGet) }()
	}
	require.Eventually(t, func() bool { return openTo(client, address) == 2 }, testTimeout, time.Millisecond)
	err = do(loop, client, &Attempt{Address: address}, fasthttp.MethodGet)
	var limit *ConnectionLimitError
	require.ErrorAs(t, err, &limit)
	for _, attempt := range attempts {
		attempt.Cancel()
	}
	for range attempts {
		err := <-ended
		require.True(t, errors.Is(err, ErrCanceled), "error %v", err)
	}
	require.Zero(t, openTo(client, address))
}

// At the limit over all targets, a new connection replaces the one that has been idle
// longest. An attempt fails only if no connection is idle.
func TestConnectionsToAllTargetsStayWithinTheLimit(t *testing.T) {
	rules := DefaultRules()
	rules.MaxConnections = 2
	client := NewWithRules(rules)
	loop := startLoop(t)
	released := make(chan struct{})
	close(released)
	var idle []Address
	for range rules.MaxConnections {
		hostPort, _ := respondLater(t, released)
		address := Address{HostPort: hostPort}
		require.NoError(t, do(loop, client, &Attempt{Address: address}, fasthttp.MethodGet))
		idle = append(idle, address)
	}
	held := make(chan struct{})
	ended := make(chan error, rules.MaxConnections)
	for range rules.MaxConnections {
		hostPort, received := respondLater(t, held)
		go func() {
			ended <- do(loop, client, &Attempt{Address: Address{HostPort: hostPort}}, fasthttp.MethodGet)
		}()
		<-received
		require.Eventually(t, func() bool { return openTo(client, idle[0]) == 0 }, testTimeout, time.Millisecond, "the connection idle longest was not closed")
		idle = idle[1:]
	}
	var limit *ConnectionLimitError
	hostPort, _ := respondLater(t, released)
	require.ErrorAs(t, do(loop, client, &Attempt{Address: Address{HostPort: hostPort}}, fasthttp.MethodGet), &limit)
	close(held)
	for range rules.MaxConnections {
		require.NoError(t, <-ended)
	}
	require.NoError(t, do(loop, client, &Attempt{Address: Address{HostPort: hostPort}}, fasthttp.MethodGet), "an idle connection was not replaced")
}

// respondLater accepts one connection and responds to its request once release is closed.
// received is closed when the request has arrived.
func respondLater(t *testing.T, release <-chan struct{}) (address string, received <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	got := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var request fasthttp.Request
		if request.Read(bufio.NewReader(conn)) != nil {
			return
		}
		close(got)
		<-release
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		_, _ = io.Copy(io.Discard, conn)
	}()
	return listener.Addr().String(), got
}

func TestCloseKeepsAttemptsInFlight(t *testing.T) {
	release := make(chan struct{})
	address, received := respondLater(t, release)
	client := New()
	loop := startLoop(t)
	ended := make(chan error, 1)
	go func() { ended <- do(loop, client, &Attempt{Address: Address{HostPort: address}}, fasthttp.MethodGet) }()
	<-received
	client.Close()
	closed := make(chan struct{})
	onLoop(loop, func() { close(closed) })
	<-closed
	close(release)
	require.NoError(t, <-ended)
	require.Equal(t, int64(1), openTo(client, Address{HostPort: address}))
	client.Close()
	require.Eventually(t, func() bool { return openTo(client, Address{HostPort: address}) == 0 }, testTimeout, time.Millisecond)
}

func TestAttemptCanceledBeforeStartIsNotSent(t *testing.T) {
	release := make(chan struct{})
	close(release)
	address, _ := respondLater(t, release)
	client := New()
	loop := startLoop(t)
	require.NoError(t, do(loop, client, &Attempt{Address: Address{HostPort: address}}, fasthttp.MethodGet))
	require.Equal(t, int64(1), openTo(client, Address{HostPort: address}), "no idle connection is available")
	canceled := &Attempt{Address: Address{HostPort: address}}
	canceled.Cancel()
	err := do(loop, client, canceled, fasthttp.MethodGet)
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
	require.ErrorIs(t, err, ErrCanceled)
	require.Equal(t, int64(1), openTo(client, Address{HostPort: address}))
}

// openTo returns the number of open connections to an address.
func openTo(client *Client, address Address) int64 {
	open, ok := client.open.Load(address.HostPort)
	if !ok {
		return 0
	}
	return open.(*atomic.Int64).Load()
}
