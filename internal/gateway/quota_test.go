package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/loopback"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/quota"
	"github.com/poplarwheel/poplarwheel/internal/route"
)

// quotaTestTimeout is the maximum time to wait for a condition, quotaTestDeadline the time that
// callers wait for a response.
const (
	quotaTestTimeout  = 10 * time.Second
	quotaTestDeadline = 400 * time.Millisecond
)

// fakeQuotas gives each request the same verdict and keeps the functions of those that wait.
type fakeQuotas struct {
	mu       sync.Mutex
	verdict  quota.Verdict
	decided  []func(quota.Verdict)
	canceled int
	returned int
}

func (f *fakeQuotas) RejectLate(*route.Workspace) (quota.Verdict, bool) {
	return quota.Verdict{}, false
}

func (f *fakeQuotas) Admit(_ *route.Workspace, _ uint64, decided func(quota.Verdict)) (quota.Verdict, *quota.Waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decided = append(f.decided, decided)
	return f.verdict, &quota.Waiter{}
}

func (f *fakeQuotas) Cancel(*quota.Waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceled++
}

func (f *fakeQuotas) Return(quota.Permit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.returned++
}

// await waits until a condition on the fake's state holds.
func (f *fakeQuotas) await(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return condition()
	}, quotaTestTimeout, time.Millisecond)
}

// callerDialect is a dialect of which only what callers need is called.
type callerDialect struct{ Dialect }

func (callerDialect) CallerTimeout(*fasthttp.Request) (time.Duration, bool) {
	return quotaTestDeadline, true
}
func (callerDialect) RequestID(*fasthttp.Request) []byte { return nil }

// workspaceHandler places every request as one of a workspace with a quota.
type workspaceHandler struct{ gateway *Gateway }

func (h workspaceHandler) Serve(request *fasthttp.Request, exchange *callerserver.Exchange) {
	g := h.gateway
	workspace := &route.Workspace{Name: "a", Quota: route.Quota{Rate: 1}}
	c := g.newCall(request, exchange, g.findRoute(request), workspace)
	g.timers.set(c.timeout, c.placed.Deadline)
	exchange.WatchCaller(c)
	c.begin(quarantine.Unsuspected)
}

// startQuotaGateway starts a gateway without targets and returns its URL.
func startQuotaGateway(t *testing.T, quotas Quotas) string {
	t.Helper()
	subnet, err := loopback.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = subnet.Release() })
	address := subnet.Host(1) + ":8081"
	g := New(Options{Dialect: callerDialect{}, RetryWindow: time.Second}, logging.Discard())
	limits := route.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 14, ReceiveTimeout: time.Minute, IdleTimeout: time.Minute}
	server := callerserver.New(workspaceHandler{gateway: g}, callerserver.Limits{
		HeaderBytes: limits.HeaderBytes, BodyBytes: limits.BodyBytes,
		SendTimeout: limits.ReceiveTimeout, IdleTimeout: limits.IdleTimeout, PipelineDepth: 1,
	}, logging.Discard())
	go func() { _ = server.RunSingleLoop([]string{address}) }()
	<-server.Started()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), quotaTestTimeout)
		defer cancel()
		require.NoError(t, server.Stop(ctx))
	})
	loop, err := server.Loop(address)
	require.NoError(t, err)
	g.Start(loop)
	g.SetQuotas(quotas)
	table, err := route.Compile(route.Config{
		Revision: 1,
		Limits:   limits,
		Services: []*route.Service{{Name: "s", HealthPath: "/health", MaxConnections: 1}},
		Routes: []*route.Route{{
			Name: "r", Host: subnet.Host(1), Prefix: "/", WeightedServices: []route.WeightedService{{Service: "s", Weight: 1}},
			Idempotent: true, MaxAttempts: 1, Timeout: time.Minute, Objective: time.Second,
		}},
	})
	require.NoError(t, err)
	g.Apply(table, func(route.Limits) {})
	require.Eventually(t, func() bool { return g.Revision() == 1 }, quotaTestTimeout, time.Millisecond)
	return "http://" + address + "/"
}

// get sends a request and returns the response's status and Retry-After.
func get(t *testing.T, url string) (status int, retryAfter string) {
	t.Helper()
	response, err := http.Get(url)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode, response.Header.Get(fasthttp.HeaderRetryAfter)
}

// Guards against requests above the quota that are placed or get another status.
func TestRequestAboveTheQuotaGets429(t *testing.T) {
	quotas := &fakeQuotas{verdict: quota.Verdict{Outcome: quota.Rejected, RetryAfter: 1250 * time.Millisecond}}
	status, retryAfter := get(t, startQuotaGateway(t, quotas))
	require.Equal(t, http.StatusTooManyRequests, status)
	require.Equal(t, "1.250", retryAfter)
	require.Zero(t, quotas.returned)
}

// Guards against a request that is rejected after a wait and doesn't get a response.
func TestRequestThatIsRejectedAfterAWaitGets429(t *testing.T) {
	quotas := &fakeQuotas{}
	url := startQuotaGateway(t, quotas)
	go func() {
		quotas.await(t, func() bool { return len(quotas.decided) == 1 })
		quotas.decided[0](quota.Verdict{Outcome: quota.Rejected, RetryAfter: time.Second})
	}()
	status, _ := get(t, url)
	require.Equal(t, http.StatusTooManyRequests, status)
}

// Guards against a permit that is lost when the gateway refuses the request for want of a target.
func TestRequestThatIsNotSentReturnsItsPermit(t *testing.T) {
	quotas := &fakeQuotas{verdict: quota.Verdict{Outcome: quota.Admitted}}
	status, _ := get(t, startQuotaGateway(t, quotas))
	require.Equal(t, http.StatusServiceUnavailable, status)
	quotas.await(t, func() bool { return quotas.returned == 1 && quotas.canceled == 0 })
}

// Guards against a wait for a permit that outlasts the caller's deadline, and against a permit
// that is granted too late and lost.
func TestWaitForPermitEndsAtTheDeadline(t *testing.T) {
	quotas := &fakeQuotas{}
	status, _ := get(t, startQuotaGateway(t, quotas))
	require.Equal(t, http.StatusServiceUnavailable, status)
	quotas.await(t, func() bool { return quotas.canceled == 1 })
	quotas.decided[0](quota.Verdict{Outcome: quota.Admitted})
	quotas.await(t, func() bool { return quotas.returned == 1 })
}

// Guards against permits for a caller that has left.
func TestWaitForPermitEndsWhenTheCallerLeaves(t *testing.T) {
	quotas := &fakeQuotas{}
	url := startQuotaGateway(t, quotas)
	ctx, leave := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	require.NoError(t, err)
	go func() {
		quotas.await(t, func() bool { return len(quotas.decided) == 1 })
		leave()
	}()
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	require.Error(t, err)
	quotas.await(t, func() bool { return quotas.canceled == 1 && quotas.returned == 0 })
}
