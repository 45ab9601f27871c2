package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/idempotency"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// callTimeout is long enough for a call on a busy machine.
const callTimeout = 20 * time.Second

// targetHeaderBytes bounds the header of a request at a target.
const targetHeaderBytes = 16 << 10

// nextAddress numbers the loopback addresses of this process.
var nextAddress atomic.Uint32

func listen(t testing.TB) net.Listener {
	t.Helper()
	n := nextAddress.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 200+n/250, 1+n%250)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	require.NoError(t, err)
	return listener
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startTarget serves a target and returns its address.
func startTarget(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener := listen(t)
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, ReadBufferSize: targetHeaderBytes}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// startEntry serves a service with the given targets and returns the proxy and
// its caller address.
func startEntry(t testing.TB, service *config.Service) (*Proxy, string) {
	t.Helper()
	name := "entry-" + strconv.FormatUint(uint64(nextAddress.Add(1)), 10)
	p := New(name, idempotency.NewGuard(time.Now(), idempotency.Owner{Incarnation: name, VM: name}, nil), quietLog())
	p.Apply(&config.Snapshot{Revision: 1, Services: map[string]*config.Service{service.Name: service}})
	limits := callerserver.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, SendTimeout: callTimeout, IdleTimeout: callTimeout}
	server := callerserver.New(p, limits, quietLog())
	listener := listen(t)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	failed := make(chan error, 1)
	go func() { failed <- server.Run(address, 1) }()
	select {
	case <-server.Started():
	case err := <-failed:
		require.NoError(t, err)
	}
	t.Cleanup(func() {
		p.Close()
		go func() { _ = server.Stop(context.Background()) }()
	})
	return p, address
}

func serviceOf(addresses ...string) *config.Service {
	group := config.TargetGroup{Name: "main", Slots: 3, MaxConnections: 200}
	for i, address := range addresses {
		group.Targets = append(group.Targets, config.Target{Name: fmt.Sprintf("target-%d", i), Address: address, Zone: "a"})
	}
	return &config.Service{
		Name:         "stock",
		EntrySetSize: 1,
		Policy:       config.PolicyLeast,
		RetryShare:   1,
		Groups:       []config.TargetGroup{group},
		RequestTypes: []config.RequestType{
			{Name: "read", DeadlineMs: int(callTimeout.Milliseconds()), Idempotent: true, MaxAttempts: 3},
			{Name: "hedged", DeadlineMs: int(callTimeout.Milliseconds()), Idempotent: true, MaxAttempts: 2, HedgeAfterMs: 20},
			{Name: "book", DeadlineMs: int(callTimeout.Milliseconds()), MaxAttempts: 3},
		},
	}
}

func post(t *testing.T, address, requestType string, headers map[string]string) *fasthttp.Response {
	t.Helper()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/")
	request.Header.Set(wire.HeaderService, "stock")
	request.Header.Set(wire.HeaderType, requestType)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response := &fasthttp.Response{}
	require.NoError(t, fasthttp.DoTimeout(request, response, callTimeout))
	return response
}

// link says what the targets of a chain do with the attempt allowance.
type link struct {
	passDown bool
	report   bool
}

// startChain returns the caller address of the first of depth entry daemons. The
// targets of each one call the next; those of the last one run bottom.
func startChain(t *testing.T, depth int, link link, bottom fasthttp.RequestHandler) string {
	t.Helper()
	handler := bottom
	for level := 0; ; level++ {
		var targets []string
		for range 3 {
			targets = append(targets, startTarget(t, handler))
		}
		_, entry := startEntry(t, serviceOf(targets...))
		if level == depth-1 {
			return entry
		}
		handler = forward(entry, link)
	}
}

// forward serves a request by one call to the next entry daemon.
func forward(entry string, link link) fasthttp.RequestHandler {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	return func(ctx *fasthttp.RequestCtx) {
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		ctx.Request.Header.CopyTo(&request.Header)
		request.SetRequestURI("http://" + entry + "/")
		if !link.passDown {
			request.Header.Del(wire.HeaderAttempts)
		}
		response := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(response)
		if err := client.DoTimeout(request, response, callTimeout); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
		ctx.SetStatusCode(response.StatusCode())
		if spent := response.Header.Peek(wire.HeaderAttemptsSpent); link.report && len(spent) > 0 {
			ctx.Response.Header.SetBytesV(wire.HeaderAttemptsSpent, spent)
		}
	}
}

// bottomRuns makes one call to a chain whose bottom fails and returns how often
// the bottom ran it. Health checks are answered and not counted.
func bottomRuns(t *testing.T, depth int, link link) int64 {
	t.Helper()
	var runs atomic.Int64
	entry := startChain(t, depth, link, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == wire.PathHealth {
			return
		}
		runs.Add(1)
		ctx.Response.Header.Set(wire.HeaderAttemptsSpent, "0")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	})
	response := post(t, entry, "read", nil)
	require.Equal(t, fasthttp.StatusInternalServerError, response.StatusCode())
	require.Equal(t, wire.OutcomeRan, string(response.Header.Peek(wire.HeaderOutcome)))
	return runs.Load()
}

const (
	// deepest is the depth to which calls nest.
	deepest = 19
	// shallow is a depth at which a chain without allowance can be run at all.
	shallow = 4
)

func TestRetriesAreNotMultipliedThroughNestedCalls(t *testing.T) {
	reported := bottomRuns(t, deepest, link{passDown: true, report: true})
	silent := bottomRuns(t, deepest, link{passDown: true})
	shallowRuns := bottomRuns(t, shallow, link{passDown: true, report: true})
	without := bottomRuns(t, shallow, link{})
	t.Logf("runs of the failing bottom for one call: depth=%d reported=%d silent=%d; depth=%d reported=%d without_allowance=%d",
		deepest, reported, silent, shallow, shallowRuns, without)
	const maxAttempts = 3
	require.LessOrEqual(t, reported, int64(maxAttempts))
	require.LessOrEqual(t, silent, int64(maxAttempts))
	require.Greater(t, reported, int64(1))
	require.Greater(t, without, int64(maxAttempts))
}
