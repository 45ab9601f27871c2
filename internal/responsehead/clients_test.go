package responsehead_test

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/client"
	"github.com/poplarwheel/poplarwheel/internal/adminclient"
	"github.com/poplarwheel/poplarwheel/internal/httppool"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/probe"
	"github.com/poplarwheel/poplarwheel/internal/responsehead"
	"github.com/poplarwheel/poplarwheel/internal/responsehead/responseheadtest"
)

// calls make a call with each client that reads responses with fasthttp. Clients that can't be
// imported here have tests of their own.
var calls = map[string]func(address string) error{
	"callers' client": func(address string) error {
		_, err := client.New(client.Options{}).DoAt(context.Background(), address, client.Request{Path: "/", Timeout: time.Second})
		return err
	},
	"administration": func(address string) error {
		_, err := adminclient.New(adminclient.Options{Addresses: []string{address}}).Dump()
		return err
	},
	"load reports": fetchLoadReport,
	"object API, read": func(address string) error {
		_, err := platform.NewClient(address, time.Second).Get("key")
		return err
	},
	"object API, write": func(address string) error {
		_, err := platform.NewClient(address, time.Second).Create("key", nil)
		return err
	},
	"pool": func(address string) error {
		request := fasthttp.AcquireRequest()
		request.SetRequestURI("http://" + address + "/")
		return httppool.New(address).Do("", request, fasthttp.AcquireResponse(), time.Second)
	},
}

// fetchLoadReport fetches a load report. It repeats fetches that end at the client's own time limit, which
// is too short for a busy machine: what the client makes of a response shows once one has arrived.
func fetchLoadReport(address string) error {
	giveUp := time.Now().Add(10 * time.Second)
	for {
		_, _, err := probe.NewClient().Fetch(address)
		if !isTimeout(err) || time.Now().After(giveUp) {
			return err
		}
	}
}

// isTimeout reports whether err is one of the errors by which fasthttp reports a time limit.
func isTimeout(err error) bool {
	return errors.Is(err, fasthttp.ErrTimeout) || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, os.ErrDeadlineExceeded)
}

const validResponse = "HTTP/1.1 200 OK\r\nX-Odd: 1\r\nContent-Length: 2\r\n\r\n{}"

// invalidResponses are responses with a head that fasthttp accepts and that is invalid.
var invalidResponses = map[string]string{
	"space in a name":        "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
	"space before the colon": "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 2\r\n\r\n{}",
	"length":                 "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\n{}",
	"line that isn't folded": "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n Content-Length: 2\r\n\r\n{}",
	"interim response":       "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n\r\n" + validResponse,
	"status 000":             "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 000, two spaces": "HTTP/1.1  000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 000, no reason":  "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\n{}",
	"status 000, HTTP/1.0":   "HTTP/1.0 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"interim, status 000":    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 099":             "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 600":             "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
	"after interim response": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
}

// reportsInvalidHead reports whether err says that a head is invalid.
func reportsInvalidHead(err error) bool {
	var invalidName *responsehead.FieldNameError
	return errors.As(err, &invalidName) || errors.Is(err, responsehead.ErrStatus)
}

// Whatever a client reads, a response with an invalid head is none: a write must not count as done.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	for client, call := range calls {
		t.Run(client, func(t *testing.T) {
			t.Parallel()
			for _, pieceBytes := range []int{7, 1000} {
				require.NoError(t, call(responseheadtest.ServeInPieces(t, validResponse, pieceBytes)))
				for name, response := range invalidResponses {
					err := call(responseheadtest.ServeInPieces(t, response, pieceBytes))
					require.True(t, reportsInvalidHead(err), "%s, pieces of %d: %v", name, pieceBytes, err)
				}
			}
		})
	}
}
