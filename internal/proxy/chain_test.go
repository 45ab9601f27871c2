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

// callTimeout is the timeout of calls. It is long enough for a busy machine.
const callTimeout = 20 * time.Second

// targetHeaderBytes limits the size of the header of a request at a target.
const targetHeaderBytes = 16 << 10

// nextAddress is the number of loopback addresses and names that were handed out.
var nextAddress atomic.Uint32

// listen listens on a loopback address that no other test of this process uses.
func listen(t testing.TB) net.Listener {
	t.Helper()
	n := nextAddress.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 200+n/250, 1+n%250)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	require.NoError(t, err)
	return listener
}

// discardLog returns a logger without output.
func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startTarget serves a target with the given handler and returns its address.
func startTarget(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener := listen(t)
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, ReadBufferSize: targetHeaderBytes}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// startEntry starts an entry daemon that serves the service. It returns the proxy and the
// address for callers.
func startEntry(t testing.TB, service *config.Service) (*Proxy, string) {
	t.Helper()
	name := "entry-" + strconv.FormatUint(uint64(nextAddress.Add(1)), 10)
	p := New(name, idempotency.NewGuard(time.Now(), idempotency.Owner{Incarnation: name, VM: name}, nil), discardLog())
	p.Apply(&config.Snapshot{Revision: 1, Services: map[string]*config.Service{service.Name: service}})
	limits := callerserver.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, SendTimeout: callTimeout, IdleTimeout: callTimeout}
	server := callerserver.New(p, limits, discardLog())
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

// serviceOf returns a service with targets at the given addresses.
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

// post makes a call with the given headers and returns the response.
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

// allowanceUse is what the targets of a chain do with the attempt allowance.
type allowanceUse struct {
	// forwardAllowance is set if they send the allowance with their downstream calls.
	forwardAllowance bool
	// reportSpent is set if they report the attempts that their downstream calls used.
	reportSpent bool
}

// startChain starts a chain of depth entry daemons and returns the caller address of the
// first. The targets of each daemon call the next daemon; those of the last one run
// lastHandler.
func startChain(t *testing.T, depth int, use allowanceUse, lastHandler fasthttp.RequestHandler) string {
	t.Helper()
	handler := lastHandler
	for level := 0; ; level++ {
		var targets []string
		for range 3 {
			targets = append(targets, startTarget(t, handler))
		}
		_, entry := startEntry(t, serviceOf(targets...))
		if level == depth-1 {
			return entry
		}
		handler = callNext(entry, use)
	}
}

// callNext returns the handler of a target that makes one call to the next entry daemon for
// each request.
func callNext(entry string, use allowanceUse) fasthttp.RequestHandler {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	return func(ctx *fasthttp.RequestCtx) {
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		ctx.Request.Header.CopyTo(&request.Header)
		request.SetRequestURI("http://" + entry + "/")
		if !use.forwardAllowance {
			request.Header.Del(wire.HeaderAttempts)
		}
		response := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(response)
		if err := client.DoTimeout(request, response, callTimeout); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
		ctx.SetStatusCode(response.StatusCode())
		if spent := response.Header.Peek(wire.HeaderAttemptsSpent); use.reportSpent && len(spent) > 0 {
			ctx.Response.Header.SetBytesV(wire.HeaderAttemptsSpent, spent)
		}
	}
}

// runsAtLastTarget makes one call to a chain whose last targets fail. It returns how
// often these ran it. Health checks are not counted.
func runsAtLastTarget(t *testing.T, depth int, use allowanceUse) int64 {
	t.Helper()
	var runs atomic.Int64
	entry := startChain(t, depth, use, func(ctx *fasthttp.RequestCtx) {
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
	// maxDepth is the largest depth to which calls are expected to nest.
	maxDepth = 19
	// shallowDepth is a depth at which a chain that doesn't forward the allowance still ends
	// in reasonable time, since its attempts grow exponentially with the depth.
	shallowDepth = 4
)

// If every daemon on the path of nested calls retries on its own, the attempts at the last
// one grow exponentially with the depth. The attempt allowance of the first call limits
// them, whether or not targets report the attempts that their downstream calls used.
func TestRetriesAreNotMultipliedThroughNestedCalls(t *testing.T) {
	reported := runsAtLastTarget(t, maxDepth, allowanceUse{forwardAllowance: true, reportSpent: true})
	silent := runsAtLastTarget(t, maxDepth, allowanceUse{forwardAllowance: true})
	shallowRuns := runsAtLastTarget(t, shallowDepth, allowanceUse{forwardAllowance: true, reportSpent: true})
	without := runsAtLastTarget(t, shallowDepth, allowanceUse{})
	t.Logf("runs at the failing last targets for one call: depth=%d reported=%d silent=%d; depth=%d reported=%d without_allowance=%d",
		maxDepth, reported, silent, shallowDepth, shallowRuns, without)
	const maxAttempts = 3
	require.LessOrEqual(t, reported, int64(maxAttempts))
	require.LessOrEqual(t, silent, int64(maxAttempts))
	require.Greater(t, reported, int64(1))
	require.Greater(t, without, int64(maxAttempts))
}
