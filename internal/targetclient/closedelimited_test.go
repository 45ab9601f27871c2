package targetclient

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// closeDelimitedHead is the header of a response whose body ends with its connection.
const closeDelimitedHead = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nConnection: close\r\n\r\n"

// socketConn is a gnet connection of which only the socket is used.
type socketConn struct {
	gnet.Conn
	fd int
}

// Fd implements gnet.Conn.
func (c socketConn) Fd() int { return c.fd }

// outcome is the end of an exchange.
type outcome struct {
	response *fasthttp.Response
	err      error
}

// receiveHalf returns a connection on which the header and a part of a response without a length
// were received, the target's end of it, and where the exchange's end is reported.
func receiveHalf(t *testing.T) (*targetConn, *net.TCPConn, <-chan outcome) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	address := unix.SockaddrInet4{Port: listener.Addr().(*net.TCPAddr).Port, Addr: [4]byte{127, 0, 0, 1}}
	require.NoError(t, unix.Connect(fd, &address))
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })

	rules := matchByID()
	ended := make(chan outcome, 1)
	request := fasthttp.AcquireRequest()
	request.Header.Set(idHeader, "mine")
	attempt := &Attempt{}
	e := attempt.bind(nil, exchange{attempt: attempt, request: request, handler: HandlerFunc(func(response *fasthttp.Response, err error) {
		ended <- outcome{response: response, err: err}
	})})
	p := &pool{rules: &rules, open: &atomic.Int64{}, openTotal: &atomic.Int64{}, busy: map[*targetConn]struct{}{}}
	c := &targetConn{pool: p, conn: socketConn{fd: fd}, current: e, exchanges: 1}
	c.receiver = receiver{memory: &responseMemory{}, allowCloseDelimited: true}
	_, _, err = c.receiver.receive([]byte(closeDelimitedHead + "half"))
	require.NoError(t, err)
	return c, accepted.(*net.TCPConn), ended
}

// awaitReadable waits until the end of a connection has arrived, without reading it.
func awaitReadable(t *testing.T, fd int) {
	t.Helper()
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(polled, int(testTimeout/time.Millisecond))
	require.NoError(t, err)
	require.Equal(t, 1, n)
}

// Guards against a part of a response being passed on as a whole one: the event loop reports a
// reset that it hasn't read like an orderly end.
func TestCloseDelimitedResponseEndedByUnreadResetIsLost(t *testing.T) {
	c, target, ended := receiveHalf(t)
	require.NoError(t, target.SetLinger(0))
	require.NoError(t, target.Close())
	awaitReadable(t, c.conn.Fd())
	c.HandleClose(io.EOF)
	result := <-ended
	var lost *LostError
	require.ErrorAs(t, result.err, &lost)
	require.Nil(t, result.response)
}

// Guards against the same while received bytes are unread: the response doesn't end with those that
// were read.
func TestCloseDelimitedResponseWithUnreadBytesIsLost(t *testing.T) {
	c, target, ended := receiveHalf(t)
	_, err := target.Write([]byte("more"))
	require.NoError(t, err)
	awaitReadable(t, c.conn.Fd())
	c.HandleClose(io.EOF)
	result := <-ended
	var lost *LostError
	require.ErrorAs(t, result.err, &lost)
}

func TestCloseDelimitedResponseEndedByTargetIsWhole(t *testing.T) {
	c, target, ended := receiveHalf(t)
	require.NoError(t, target.Close())
	awaitReadable(t, c.conn.Fd())
	c.HandleClose(io.EOF)
	result := <-ended
	require.NoError(t, result.err)
	require.Equal(t, "half", string(result.response.Body()))
}
