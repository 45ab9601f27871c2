package admin

import (
	"encoding/json"
	"flag"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/metrics"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
	"github.com/poplarwheel/poplarwheel/internal/standin/platformd"
)

// TestMain fixes the seed of property tests, unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

const (
	adminToken = "the administrators' token"
	// testReadTimeout is the time that a request takes to arrive in tests.
	testReadTimeout = 500 * time.Millisecond
	callTimeout     = 20 * time.Second
)

// fakeDaemon is the daemon that a server belongs to.
type fakeDaemon struct {
	inForce  atomic.Pointer[rollout.Applied]
	targets  []proxy.TargetState
	suspects []quarantine.Suspect

	mu     sync.Mutex
	lifted []quarantine.Content
}

func (d *fakeDaemon) InForce() *rollout.Applied      { return d.inForce.Load() }
func (d *fakeDaemon) Targets() []proxy.TargetState   { return d.targets }
func (d *fakeDaemon) Suspects() []quarantine.Suspect { return d.suspects }
func (d *fakeDaemon) Dump() any                      { return map[string]string{"name": "entry-1"} }

func (d *fakeDaemon) Lift(content quarantine.Content) adminapi.LiftReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lifted = append(d.lifted, content)
	return adminapi.LiftReply{Known: true}
}

// node is one daemon's API.
type node struct {
	t       *testing.T
	address string
	daemon  *fakeDaemon
	server  *Server
	logged  *logtest.Hook
	metrics *metrics.Registry
	// ahead is added to the clock.
	ahead atomic.Int64
}

func startPlatform(t *testing.T) (*platformd.Server, *platform.Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := platformd.NewServer()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, platform.NewClient(listener.Addr().String(), time.Second)
}

func startNode(t *testing.T, store platform.Store) *node {
	t.Helper()
	return startNodeReading(t, store, testReadTimeout)
}

// startNodeReading starts a server that waits readTimeout for requests to arrive.
func startNodeReading(t *testing.T, store platform.Store, readTimeout time.Duration) *node {
	t.Helper()
	n := &node{t: t, daemon: &fakeDaemon{}, metrics: metrics.NewRegistry()}
	n.daemon.inForce.Store(rollout.NewApplied())
	log := logging.Discard()
	log.SetLevel(logrus.InfoLevel)
	n.logged = logtest.NewLocal(log)
	n.server = New(Options{
		Daemon:           n.daemon,
		Store:            store,
		AdminTokenSHA256: hashToken(adminToken),
		Metrics:          n.metrics.API,
		Log:              log,
		Now:              func() time.Time { return time.Now().Add(time.Duration(n.ahead.Load())) },
		ReadTimeout:      readTimeout,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n.address = listener.Addr().String()
	go func() { _ = n.server.Serve(listener) }()
	t.Cleanup(func() { _ = n.server.Shutdown(t.Context()) })
	return n
}

// answer is an answer of the API.
type answer struct {
	status int
	etag   string
	wait   string
	body   []byte
	failed adminapi.Error
}

// headers are pairs of names and values.
type headers map[string]string

// do sends a request. Body is sent as it stands if it is []byte, else as JSON.
func (n *node) do(method, path, token string, body any, extra headers) answer {
	n.t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + n.address + path)
	if token != "" {
		request.Header.Set(adminapi.HeaderAuthorization, adminapi.BearerPrefix+token)
	}
	for name, value := range extra {
		request.Header.Set(name, value)
	}
	if raw, ok := body.([]byte); ok {
		request.SetBody(raw)
	} else if body != nil {
		encoded, err := json.Marshal(body)
		require.NoError(n.t, err)
		request.SetBody(encoded)
	}
	require.NoError(n.t, fasthttp.DoTimeout(request, response, callTimeout))
	a := answer{
		status: response.StatusCode(),
		etag:   string(response.Header.Peek(adminapi.HeaderETag)),
		wait:   string(response.Header.Peek(adminapi.HeaderRetryAfter)),
		body:   append([]byte(nil), response.Body()...),
	}
	if a.status >= fasthttp.StatusBadRequest {
		require.NoError(n.t, json.Unmarshal(a.body, &a.failed), "%s", a.body)
		require.Equal(n.t, a.status, a.failed.Status)
		require.NotEmpty(n.t, a.failed.Message)
	}
	return a
}

func (n *node) get(path, token string) answer { return n.do("GET", path, token, nil, nil) }

// into decodes an answer that must have the status.
func (a answer) into(t *testing.T, status int, value any) {
	t.Helper()
	require.Equal(t, status, a.status, "%s", a.body)
	require.NoError(t, json.Unmarshal(a.body, value))
}

// requireError checks the status and code of a refusal.
func requireError(t *testing.T, status int, code adminapi.Code, a answer) {
	t.Helper()
	require.Equal(t, status, a.status, "%s", a.body)
	require.Equal(t, code, a.failed.Code, "%s", a.body)
}

// makeTeam makes a team and a token of it.
func (n *node) makeTeam(name string, limits adminapi.Limits) string {
	n.t.Helper()
	made := n.do("PUT", "/v1/teams/"+name, adminToken, limits, headers{adminapi.HeaderIfNoneMatch: "*"})
	require.Equal(n.t, 201, made.status, "%s", made.body)
	return n.makeToken(name).Token
}

func (n *node) makeToken(team string) adminapi.NewToken {
	n.t.Helper()
	var token adminapi.NewToken
	n.do("POST", "/v1/teams/"+team+"/tokens", adminToken, nil, nil).into(n.t, 201, &token)
	return token
}

// service returns a valid service; size tells versions of it apart.
func service(team, name string, size, targets int) *config.Service {
	group := config.TargetGroup{Name: "all", Slots: 3, MaxConnections: 200}
	for i := range targets {
		group.Targets = append(group.Targets, config.Target{Name: name + "-" + strconv.Itoa(i), Address: "127.0.0.1:8000", Zone: "a"})
	}
	return &config.Service{
		Name: name, Team: team, EntrySetSize: size, Policy: config.PolicyLeast,
		Groups: []config.TargetGroup{group},
		RequestTypes: []config.RequestType{{
			Name: "check", DeadlineMs: 100, Idempotent: true, MaxAttempts: 2, PlatformDown: config.OutageServe,
		}},
	}
}

// accept sends a proposal; extra may hold a request ID.
func (n *node) accept(token string, base uint64, services []*config.Service, removed []string, extra headers) answer {
	n.t.Helper()
	all := headers{adminapi.HeaderIfMatch: etag(base)}
	for name, value := range extra {
		all[name] = value
	}
	return n.do("POST", adminapi.PathAcceptances, token, questionnaire.Proposal{Base: base, Services: services, Removed: removed}, all)
}

func (n *node) mustAccept(token string, base uint64, services ...*config.Service) {
	n.t.Helper()
	var accepted adminapi.AcceptReply
	n.accept(token, base, services, nil, nil).into(n.t, 201, &accepted)
	require.Equal(n.t, base+1, accepted.Revision)
}
