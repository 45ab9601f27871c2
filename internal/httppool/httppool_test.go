package httppool

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// shortTimeout is the time limit of calls to a silent server.
const shortTimeout = 100 * time.Millisecond

// startServer starts a server that answers until it is silenced. It returns its address, what
// silences it, and the number of connections so far.
func startServer(t *testing.T) (address string, silent *atomic.Bool, opened *atomic.Int64) {
	t.Helper()
	silent, opened = &atomic.Bool{}, &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() || r.URL.Path == "/long" {
			<-r.Context().Done()
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), silent, opened
}

func do(g *Group, name, path string, timeout time.Duration) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + g.address + path)
	return g.Do(name, request, response, timeout)
}

// Guards against calls that time out one after another, each on another silent connection.
func TestCallAfterATimeoutUsesANewConnection(t *testing.T) {
	address, silent, opened := startServer(t)
	g := New(address)
	require.NoError(t, do(g, "", "/", time.Second))
	require.NoError(t, do(g, "", "/", time.Second))
	require.EqualValues(t, 1, opened.Load(), "connections are used again")
	silent.Store(true)
	require.ErrorIs(t, do(g, "long", "/", shortTimeout), fasthttp.ErrTimeout)
	silent.Store(false)
	require.NoError(t, do(g, "", "/", time.Second))
	require.EqualValues(t, 3, opened.Load())
}

func TestAbortEndsLongCallsOfItsNameOnly(t *testing.T) {
	address, _, _ := startServer(t)
	g := New(address)
	ended := make(chan string, 2)
	for _, name := range []string{"a", "b"} {
		go func() {
			_ = do(g, name, "/long", time.Minute)
			ended <- name
		}()
	}
	time.Sleep(shortTimeout)
	g.Abort("a")
	require.Equal(t, "a", <-ended)
	select {
	case <-ended:
		require.Fail(t, "the other call was ended, too")
	case <-time.After(shortTimeout):
	}
	g.CloseAll()
	require.Equal(t, "b", <-ended)
}
