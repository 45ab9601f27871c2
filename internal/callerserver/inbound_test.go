package callerserver

import (
	"bufio"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func TestRequestInProgressIsAnsweredThoughItsCallerSendsTooMuchBehindIt(t *testing.T) {
	large := serverLimits()
	large.BodyBytes = math.MaxInt
	for name, c := range map[string]struct {
		limits Limits
		drain  bool
		closes bool
	}{
		"draining":           {limits: serverLimits(), drain: true, closes: true},
		"one at a time":      {limits: serverLimits(), closes: true},
		"largest body limit": {limits: large},
	} {
		t.Run(name, func(t *testing.T) {
			server, address := startHandler(t, slowMirror{}, c.limits)
			conn := dial(t, address)
			send(t, conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
			require.Eventually(t, func() bool { return server.InFlight() > 0 }, settleTimeout, time.Millisecond)
			if c.drain {
				server.Drain()
			}
			send(t, conn, strings.Repeat("GET /b HTTP/1.1\r\nHost: h\r\nX-Pad: "+strings.Repeat("p", 900)+"\r\n\r\n", 8))
			reader := bufio.NewReader(conn)
			status, body := readResponse(t, reader)
			require.Equal(t, fasthttp.StatusOK, status)
			require.Equal(t, "/a ", body)
			if c.closes {
				requireClosed(t, reader)
				return
			}
			_, body = readResponse(t, reader)
			require.Equal(t, "/b ", body)
		})
	}
}
