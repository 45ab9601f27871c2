package adminclient

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
)

// seen is one request as the fake server received it.
type seen struct{ method, uri, token, operator, ifMatch, requestID string }

// answerFunc answers one request.
type answerFunc func(ctx *fasthttp.RequestCtx)

// fake answers each request by the next of its answers, and the last one for ever.
type fake struct {
	address string
	mu      sync.Mutex
	answers []answerFunc
	seen    []seen
}

func startFake(t *testing.T, answers ...answerFunc) *fake {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fake{address: listener.Addr().String(), answers: answers}
	server := &fasthttp.Server{Handler: f.serve}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return f
}

func (f *fake) serve(ctx *fasthttp.RequestCtx) {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	f.mu.Lock()
	f.seen = append(f.seen, seen{
		string(ctx.Method()), string(ctx.RequestURI()), header(adminapi.HeaderAuthorization),
		header(adminapi.HeaderOperator), header(adminapi.HeaderIfMatch), header(adminapi.HeaderRequestID),
	})
	next := f.answers[min(len(f.seen), len(f.answers))-1]
	f.mu.Unlock()
	next(ctx)
}

func (f *fake) requests() []seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

func answer(status int, body any) answerFunc {
	return func(ctx *fasthttp.RequestCtx) {
		encoded, _ := json.Marshal(body)
		ctx.SetStatusCode(status)
		ctx.SetBody(encoded)
	}
}

func refuse(status int, code adminapi.Code) answerFunc {
	return answer(status, adminapi.Error{Code: code, Message: "refused", Current: 7})
}

func garbage(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("<html>") }

// lose closes the connection without an answer.
func lose(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func slow(ctx *fasthttp.RequestCtx) { time.Sleep(400 * time.Millisecond) }

func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func newClient(addresses ...string) *Client {
	return New(Options{
		Addresses: addresses, Token: "secret", Operator: "ruth",
		Timeout: 200 * time.Millisecond, Patience: time.Second, MaxAnswerBytes: 4096,
	})
}

var accepted = answer(fasthttp.StatusCreated, adminapi.AcceptReply{Revision: 8})

// An acceptance whose fate is unknown is sent again under the same request ID.
func TestAcceptIsSentAgainUntilItsOutcomeIsKnown(t *testing.T) {
	for name, c := range map[string]struct {
		answers []answerFunc
		// sends is the number of sends, or 0 if patience decides.
		sends int
		check func(t *testing.T, revision uint64, err error)
	}{
		"at once":          {[]answerFunc{accepted}, 1, succeeds},
		"answer lost":      {[]answerFunc{lose, accepted}, 2, succeeds},
		"answer late":      {[]answerFunc{slow, accepted}, 2, succeeds},
		"answer garbled":   {[]answerFunc{garbage, accepted}, 2, succeeds},
		"answer empty":     {[]answerFunc{answer(201, struct{}{}), accepted}, 2, succeeds},
		"answer too large": {[]answerFunc{answer(201, strings.Repeat("x", 5000)), accepted}, 2, succeeds},
		"unsure":           {[]answerFunc{refuse(502, adminapi.CodeUnsure), accepted}, 2, succeeds},
		"lost, then platform away": {
			[]answerFunc{lose, refuse(503, adminapi.CodePlatform), accepted}, 3, succeeds,
		},
		"busy":                {[]answerFunc{refuse(503, adminapi.CodeBusy), accepted}, 2, succeeds},
		"lost, then busy":     {[]answerFunc{lose, refuse(503, adminapi.CodeBusy), accepted}, 3, succeeds},
		"always busy":         {[]answerFunc{refuse(503, adminapi.CodeBusy)}, 0, failsWith(adminapi.CodeBusy)},
		"stale":               {[]answerFunc{refuse(412, adminapi.CodeStale)}, 1, failsWith(adminapi.CodeStale)},
		"lost, then stale":    {[]answerFunc{lose, refuse(412, adminapi.CodeStale)}, 2, failsWith(adminapi.CodeStale)},
		"invalid":             {[]answerFunc{refuse(400, adminapi.CodeInvalid)}, 1, failsWith(adminapi.CodeInvalid)},
		"platform away":       {[]answerFunc{refuse(503, adminapi.CodePlatform)}, 1, failsWith(adminapi.CodePlatform)},
		"lost, then no token": {[]answerFunc{lose, refuse(401, adminapi.CodeUnauthenticated)}, 2, isUnsure},
	} {
		t.Run(name, func(t *testing.T) {
			server := startFake(t, c.answers...)
			revision, err := newClient(server.address).Accept(&questionnaire.Proposal{Base: 7}, "")
			c.check(t, revision, err)
			sent := server.requests()
			if c.sends > 0 {
				require.Len(t, sent, c.sends)
			}
			for _, request := range sent {
				require.NotEmpty(t, request.requestID)
				require.Equal(t, seen{"POST", "/v1/acceptances", "Bearer secret", "ruth", `"7"`, sent[0].requestID}, request)
			}
		})
	}
}

func succeeds(t *testing.T, revision uint64, err error) {
	require.NoError(t, err)
	require.Equal(t, uint64(8), revision)
}

func failsWith(code adminapi.Code) func(t *testing.T, _ uint64, err error) {
	return func(t *testing.T, _ uint64, err error) {
		var refused *adminapi.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, code, refused.Code)
		var unsure *UnsureError
		require.NotErrorAs(t, err, &unsure)
	}
}

func isUnsure(t *testing.T, _ uint64, err error) {
	var unsure *UnsureError
	require.ErrorAs(t, err, &unsure)
	require.NotEmpty(t, unsure.RequestID)
}

func TestAcceptGivesUpWithinItsTime(t *testing.T) {
	server := startFake(t, lose)
	start := time.Now()
	_, err := newClient(server.address).Accept(&questionnaire.Proposal{}, "5f3e")
	require.Less(t, time.Since(start), 2*time.Second)
	var unsure *UnsureError
	require.ErrorAs(t, err, &unsure)
	require.Equal(t, "5f3e", unsure.RequestID)
	require.Greater(t, len(server.requests()), 1)
}

func TestAcceptGoesToAnotherAddress(t *testing.T) {
	first, second := startFake(t, lose), startFake(t, accepted)
	revision, err := newClient(closedAddress(t), first.address, second.address).Accept(&questionnaire.Proposal{}, "")
	succeeds(t, revision, err)
	require.Equal(t, first.requests()[0].requestID, second.requests()[0].requestID)

	_, err = newClient(closedAddress(t), closedAddress(t)).Accept(&questionnaire.Proposal{}, "")
	var transport *TransportError
	require.ErrorAs(t, err, &transport)
	require.False(t, transport.Sent)
	var unsure *UnsureError
	require.NotErrorAs(t, err, &unsure)
}

func TestReadsGoToTheNextAddress(t *testing.T) {
	for name, bad := range map[string]answerFunc{"lost": lose, "slow": slow} {
		first, second := startFake(t, bad), startFake(t, answer(200, adminapi.Configuration{Revision: 3}))
		configuration, _, err := newClient(closedAddress(t), first.address, second.address).Configuration()
		require.NoError(t, err, name)
		require.Equal(t, uint64(3), configuration.Revision, name)
	}
	for name, bad := range map[string]answerFunc{
		"garbage": garbage, "error of another server": answer(404, "not here"), "too large": answer(200, strings.Repeat("x", 5000)),
	} {
		_, _, err := newClient(startFake(t, bad).address).Configuration()
		var transport *TransportError
		require.ErrorAs(t, err, &transport, name)
		require.True(t, transport.Sent, name)
	}
}

// Changes other than acceptances have no request ID, so they are not repeated.
func TestLostChangeIsUnsureAndNotRepeated(t *testing.T) {
	lost, other := startFake(t, lose), startFake(t, answer(201, adminapi.NewToken{ID: "a"}))
	client := newClient(closedAddress(t), lost.address, other.address)
	_, err := client.NewToken("swanbrook")
	var unsure *UnsureError
	require.ErrorAs(t, err, &unsure)
	require.Empty(t, other.requests())
	token, err := client.NewToken("swanbrook")
	require.NoError(t, err)
	require.Equal(t, "a", token.ID)
}

func TestListsAreReadToTheirEnd(t *testing.T) {
	server := startFake(t,
		answer(200, adminapi.TeamPage{Teams: []adminapi.Team{{Name: "a"}}, Next: "a"}),
		answer(200, adminapi.TeamPage{Teams: []adminapi.Team{{Name: "b"}}}),
		answer(200, adminapi.TeamPage{Next: "z"}),
	)
	client := newClient(server.address)
	teams, err := client.Teams()
	require.NoError(t, err)
	require.Len(t, teams, 2)
	require.Equal(t, "/v1/teams?after=a&limit=500", server.requests()[1].uri)
	_, err = client.Teams()
	var repeated *RepeatedPageError
	require.ErrorAs(t, err, &repeated)
}

func TestNamesOfPathsAreChecked(t *testing.T) {
	for _, name := range []string{"", "..", "a/b", "a b", "a?b", strings.Repeat("a", 65)} {
		_, err := newClient("127.0.0.1:1").NewToken(name)
		var wrong *NameError
		require.ErrorAs(t, err, &wrong, name)
	}
	path, err := pathOf(adminapi.PathToken, "swanbrook", "t1")
	require.NoError(t, err)
	require.Equal(t, "/v1/teams/swanbrook/tokens/t1", path)
}
