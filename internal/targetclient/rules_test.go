package targetclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/wire"
)

const idHeader = "X-Id"

// matchByID returns rules by which a response must have the ID of its request.
func matchByID() Rules {
	return Rules{
		Match: func(request *fasthttp.Request, response *fasthttp.Response) error {
			want, have := string(request.Header.Peek(idHeader)), string(response.Header.Peek(idHeader))
			if want != have {
				return &MismatchError{Want: want, Have: have}
			}
			return nil
		},
		DiscardMismatched:   true,
		AllowCloseDelimited: true,
		IdleTimeout:         time.Minute,
	}
}

// exchangeWith sends a request with an ID and returns the body of the response.
func exchangeWith(t *testing.T, client *Client, address, id string) (string, error) {
	t.Helper()
	loop := startLoop(t)
	request := fasthttp.AcquireRequest()
	request.SetRequestURI("http://target/")
	request.Header.Set(idHeader, id)
	body := ""
	ended := make(chan error, 1)
	onLoop(loop, func() {
		attempt := &Attempt{Address: Address{HostPort: address}}
		client.Start(loop, attempt, time.Now().Add(testTimeout), request, HandlerFunc(func(response *fasthttp.Response, err error) {
			if response != nil {
				body = string(response.Body())
			}
			ended <- err
		}))
	})
	err := <-ended
	return body, err
}

func TestMismatchedResponseIsDiscarded(t *testing.T) {
	address := serve(t, "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong"+
		"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nright")
	body, err := exchangeWith(t, NewWithRules(matchByID()), address, "mine")
	require.NoError(t, err)
	require.Equal(t, "right", body)
}

func TestMismatchedResponseAloneIsLost(t *testing.T) {
	address := serve(t, "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong")
	_, err := exchangeWith(t, NewWithRules(matchByID()), address, "mine")
	var lost *LostError
	require.ErrorAs(t, err, &lost)
}

func TestCloseDelimitedResponse(t *testing.T) {
	address := serve(t, "HTTP/1.1 200 OK\r\nX-Id: mine\r\nConnection: close\r\n\r\nall of it")
	body, err := exchangeWith(t, NewWithRules(matchByID()), address, "mine")
	require.NoError(t, err)
	require.Equal(t, "all of it", body)
}

func TestCloseDelimitedResponseEndedByResetIsLost(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 1024)
		_, _ = conn.Read(buffer)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: mine\r\nConnection: close\r\n\r\nhalf"))
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	_, err = exchangeWith(t, NewWithRules(matchByID()), listener.Addr().String(), "mine")
	var lost *LostError
	require.ErrorAs(t, err, &lost)
}

// repeatFirst serves connections on which the first response is written once more before each
// further one. It returns the address. Responses have the attempt ID if identified is set.
func repeatFirst(t *testing.T, identified bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
	respond := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		first := ""
		for {
			var request fasthttp.Request
			if request.Read(reader) != nil {
				return
			}
			header := ""
			if identified {
				header = wire.HeaderAttemptID + ": " + string(request.Header.Peek(wire.HeaderAttemptID)) + "\r\n"
			}
			number := requests.Add(1)
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 1\r\n\r\n%d", header, number)
			_, _ = io.WriteString(conn, first+response)
			if first == "" {
				first = response
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respond(conn)
		}
	}()
	return listener.Addr().String()
}

// A response, or the statement that the request was not run, must not be taken for that to a later
// request, whether targets return the attempt ID or not.
func TestRepeatedResponseIsNotTakenUnderDefaultRules(t *testing.T) {
	for _, identified := range []bool{true, false} {
		t.Run(fmt.Sprint("identified ", identified), func(t *testing.T) {
			address, client, loop := repeatFirst(t, identified), New(), startLoop(t)
			answered := 0
			for number := range 5 {
				request := fasthttp.AcquireRequest()
				request.SetRequestURI("http://target/")
				request.Header.Set(wire.HeaderAttemptID, fmt.Sprint("attempt-", number))
				type result struct {
					body string
					err  error
				}
				ended := make(chan result, 1)
				onLoop(loop, func() {
					attempt := &Attempt{Address: Address{HostPort: address}}
					client.Start(loop, attempt, time.Now().Add(testTimeout), request, HandlerFunc(func(response *fasthttp.Response, err error) {
						if err == nil {
							ended <- result{body: string(response.Body())}
							return
						}
						ended <- result{err: err}
					}))
				})
				if r := <-ended; r.err == nil {
					require.Equal(t, fmt.Sprint(number+1), r.body)
					answered++
				}
			}
			require.GreaterOrEqual(t, answered, 3)
		})
	}
}

func TestInvalidResponseIsLost(t *testing.T) {
	for _, response := range []string{"garbage\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Id: mine\r\n\r\ncut"} {
		_, err := exchangeWith(t, NewWithRules(matchByID()), serve(t, response), "mine")
		var lost *LostError
		require.ErrorAs(t, err, &lost, response)
	}
}

func TestKeepAliveHeaderShortensIdleTimeout(t *testing.T) {
	rules := Rules{IdleTimeout: 8 * time.Second}
	response := &fasthttp.Response{}
	require.Equal(t, 8*time.Second, rules.idleTimeout(response))
	response.Header.Set("Keep-Alive", "max=5, timeout=3")
	require.Equal(t, 3*time.Second-keepAliveMargin, rules.idleTimeout(response))
	response.Header.Set("Keep-Alive", "timeout=0")
	require.Zero(t, rules.idleTimeout(response))
	response.Header.Set("Keep-Alive", "timeout=600")
	require.Equal(t, 8*time.Second, rules.idleTimeout(response))
}
