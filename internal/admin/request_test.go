package admin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

func TestUnknownPathsAndMethods(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	for _, path := range []string{"/", "/metrics", "/v2/services", "/v1/services/", "/v1/services/a/b", "/v1/teams/a/tokens/b/c"} {
		requireError(t, 404, adminapi.CodeNotFound, n.get(path, adminToken))
	}
	requireError(t, 405, adminapi.CodeMethod, n.get(adminapi.PathAcceptances, adminToken))
	requireError(t, 405, adminapi.CodeMethod, n.do("PATCH", "/v1/teams/a", adminToken, nil, nil))
	recorder := httptest.NewRecorder()
	n.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`poplarwheel_api_requests_total{class="4xx",path="other"} 5`,
		`poplarwheel_api_requests_total{class="4xx",path="/v1/teams/{team}"} 1`,
		`poplarwheel_api_refusals_total{code="method_not_allowed"} 2`,
	} {
		require.Contains(t, recorder.Body.String(), line+"\n")
	}
}

func TestBadBodiesAreNamedByField(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	for body, path := range map[string]string{
		`{`:                      "",
		``:                       "",
		`[]`:                     "",
		`{"base":0,"bse":1}`:     "bse",
		`{"base":0,"base":0}`:    "base",
		`{"base":"0"}`:           "base",
		`{"services":[null]}`:    "services[0]",
		`{"services":[{}]}`:      "services[0].name",
		`{"services":[{"x":1}]}`: "services[0].x",
		`{"services":{}}`:        "services",
	} {
		refused := n.do("POST", adminapi.PathAcceptances, adminToken, []byte(body), headers{adminapi.HeaderIfMatch: `"0"`})
		requireError(t, 400, adminapi.CodeInvalid, refused)
		require.NotEmpty(t, refused.failed.Fields, body)
		require.Equal(t, path, refused.failed.Fields[0].Path, body)
	}
	refused := n.do("PUT", "/v1/teams/a", adminToken, []byte(`{"services":-1}`), headers{adminapi.HeaderIfNoneMatch: "*"})
	requireError(t, 400, adminapi.CodeInvalid, refused)
	require.Equal(t, "services", refused.failed.Fields[0].Path)
	for _, query := range []string{"?limit=0", "?limit=501", "?limit=x"} {
		requireError(t, 400, adminapi.CodeInvalid, n.get(adminapi.PathServices+query, adminToken))
	}
}

func TestBodyThatIsTooLarge(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	for _, size := range []int{bodyBytes + 1, 4 * bodyBytes} {
		requireError(t, 413, adminapi.CodeTooLarge, n.do("POST", adminapi.PathCheck, adminToken, bytes.Repeat([]byte("x"), size), nil))
	}
	requireError(t, 400, adminapi.CodeInvalid, n.do("POST", adminapi.PathCheck, adminToken, bytes.Repeat([]byte("x"), bodyBytes), nil))

	conn := n.dial()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		adminapi.PathCheck, adminToken, 2*bodyBytes, strings.Repeat("x", 2*bodyBytes))
	require.NoError(t, err)
	require.Equal(t, 413, n.readStatus(conn))
}

func (n *node) dial() net.Conn {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.address)
	require.NoError(n.t, err)
	n.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(n.t, conn.SetDeadline(time.Now().Add(callTimeout)))
	return conn
}

// readStatus reads an answer and returns its status, and 0 for a connection that was
// closed without one.
func (n *node) readStatus(conn net.Conn) int {
	n.t.Helper()
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		return 0
	}
	return response.StatusCode()
}

// Senders that are slow in the header, or in the body, are cut off after the read
// timeout. One without a token is answered before it sends its body.
func TestSlowSenders(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	header := func(token string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n", adminapi.PathCheck, token)
	}
	for name, c := range map[string]struct {
		sent   string
		status int
	}{
		"header":             {"GET /v1/services HTTP/1.1\r\nHost", 408},
		"body":               {header(adminToken) + "{", 408},
		"body, no token":     {header("x") + "{", 401},
		"body, empty so far": {header(adminToken) + "\n", 408},
	} {
		t.Run(name, func(t *testing.T) {
			conn := n.dial()
			began := time.Now()
			_, err := io.WriteString(conn, c.sent)
			require.NoError(t, err)
			require.Equal(t, c.status, n.readStatus(conn))
			rest, _ := io.ReadAll(conn)
			require.Empty(t, rest, "the connection is closed")
			require.Less(t, time.Since(began), callTimeout/2)
		})
	}
}

// One team holds all that it may; the others are served.
func TestTeamWithManySlowRequestsLeavesOthersAlone(t *testing.T) {
	t.Parallel()
	_, store := startPlatform(t)
	n := startNodeReading(t, store, 5*time.Second)
	ours, theirs := n.makeTeam("swanbrook", adminapi.Limits{}), n.makeTeam("lumenwalk", adminapi.Limits{})
	for range maxRequestsUnderWay {
		_, err := fmt.Fprintf(n.dial(), "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{", adminapi.PathCheck, ours)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return n.get(adminapi.PathServices, ours).status == 429 }, callTimeout, time.Millisecond)
	require.Equal(t, 200, n.get(adminapi.PathServices, theirs).status)
	require.Eventually(t, func() bool { return n.get(adminapi.PathServices, ours).status == 200 }, callTimeout, 10*time.Millisecond)
}

func TestBusyServerRefusesBodies(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	require.True(t, n.server.bodies.TryAcquire(bodyBytesUnderWay))
	refused := n.do("POST", adminapi.PathCheck, adminToken, []byte("{}"), nil)
	requireError(t, 503, adminapi.CodeBusy, refused)
	require.NotEmpty(t, refused.wait)
	require.Equal(t, 200, n.get(adminapi.PathServices, adminToken).status)
	n.server.bodies.Release(minBodyBytes)
	requireError(t, 400, adminapi.CodeInvalid, n.do("POST", adminapi.PathCheck, adminToken, []byte("{}"), nil))
	requireError(t, 503, adminapi.CodeBusy, n.do("POST", adminapi.PathCheck, adminToken, make([]byte, minBodyBytes+1), nil))
}

func TestPages(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	var services []*config.Service
	for _, name := range []string{"a", "a-b", "a.b", "b", "c"} {
		services = append(services, service("swanbrook", name, 1, 2))
		n.daemon.targets = append(n.daemon.targets, proxy.TargetState{Service: name, Name: "t1"}, proxy.TargetState{Service: name, Name: "t0"})
	}
	n.mustAccept(adminToken, 0, services...)
	applied, err := rollout.Read(store)
	require.NoError(t, err)
	n.daemon.inForce.Store(applied)
	var names []string
	for after := ""; ; {
		var page adminapi.TargetPage
		n.get(adminapi.PathTargets+"?limit=3&after="+after, adminToken).into(t, 200, &page)
		for _, target := range page.Targets {
			names = append(names, target.Service+"/"+target.Name)
		}
		if after = page.Next; after == "" {
			break
		}
	}
	require.Equal(t, []string{"a/t0", "a/t1", "a-b/t0", "a-b/t1", "a.b/t0", "a.b/t1", "b/t0", "b/t1", "c/t0", "c/t1"}, names)
	var page adminapi.TargetPage
	n.get(adminapi.PathTargets+"?service=b", adminToken).into(t, 200, &page)
	require.Len(t, page.Targets, 2)
	n.mustAccept(adminToken, 1, service("swanbrook", "a", 2, 1))
	var revisions adminapi.RevisionPage
	n.get(adminapi.PathRevisions+"?limit=1", adminToken).into(t, 200, &revisions)
	require.Equal(t, "2", revisions.Next)
	var last adminapi.RevisionPage
	n.get(adminapi.PathRevisions+"?limit=1&after=2", adminToken).into(t, 200, &last)
	require.Equal(t, uint64(1), last.Revisions[0].Revision)
	require.Empty(t, last.Next)
}

func TestEveryChangeIsAuditedWithoutTokens(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	token := n.makeTeam("swanbrook", adminapi.Limits{})
	id, _ := tokenID(token)
	n.logged.Reset()
	n.get(adminapi.PathServices, token)
	require.Empty(t, n.logged.AllEntries(), "reads are not audited")
	accepted := n.accept(token, 0, []*config.Service{service("swanbrook", "stock", 2, 1)}, nil, headers{adminapi.HeaderOperator: "ruth"})
	require.Equal(t, 201, accepted.status)
	entry := n.logged.LastEntry()
	wanted := logrus.Fields{"change": "accept", "team": "swanbrook", "token": id, "operator": "ruth", "base": uint64(0), "revision": uint64(1)}
	for field, want := range wanted {
		require.Equal(t, want, entry.Data[field], field)
	}
	require.NotEmpty(t, entry.Data["request_id"])
	requireError(t, 403, adminapi.CodeForbidden, n.accept(token, 1, []*config.Service{service("x", "stock", 2, 1)}, nil, nil))
	require.Equal(t, "forbidden", n.logged.LastEntry().Data["error"])
	requireError(t, 400, adminapi.CodeInvalid, n.accept(token, 1, nil, nil, headers{adminapi.HeaderOperator: "ruth=x"}))
	n.makeToken("swanbrook")
	require.Equal(t, "make_token", n.logged.LastEntry().Data["change"])
	for _, entry := range n.logged.AllEntries() {
		line, err := entry.String()
		require.NoError(t, err)
		require.NotContains(t, line, token)
		require.NotContains(t, line, adminToken)
		require.NotContains(t, line, tokenPrefix)
	}
}

// A fault of the program ends one request only.
func TestPanicIsAnswered(t *testing.T) {
	_, store := startPlatform(t)
	n := startNode(t, store)
	n.server.table = append(n.server.table, newRoute("/v1/panic", map[string]action{"GET": {handle: func(*call) (reply, error) { panic("fault") }}}))
	requireError(t, 500, adminapi.CodeInternal, n.get("/v1/panic", adminToken))
	require.Equal(t, 200, n.get(adminapi.PathServices, adminToken).status)
}
