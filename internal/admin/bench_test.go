package admin

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/metrics"
	"github.com/poplarwheel/poplarwheel/internal/platform"
	"github.com/poplarwheel/poplarwheel/internal/rollout"
)

// noStore is a platform in an outage.
type noStore struct{ platform.Store }

func (noStore) Get(key string) (platform.Object, error) {
	return platform.Object{}, &platform.UnavailableError{Operation: "get", Key: key, Cause: errLost}
}

// BenchmarkListServices lists the services of one team of 10, of 440 in all, without
// the network.
func BenchmarkListServices(b *testing.B) {
	daemon := &fakeDaemon{}
	applied := rollout.NewApplied()
	applied.Head.Revision = 1
	teams := &document{}
	var token string
	for i := range 440 {
		team := fmt.Sprintf("team-%02d", i/10)
		name := fmt.Sprintf("%s-service-%03d", team, i)
		applied.Head.Services = append(applied.Head.Services, rollout.ServiceRef{Name: name, Revision: 1})
		applied.Bodies[name] = &rollout.Body{Service: service(team, name, 2, 9)}
		if i%10 == 0 {
			var id string
			token, id = newToken()
			teams, _ = teams.put(team, adminapi.Limits{RequestsPerMinute: 1 << 30}, 0)
			teams, _ = teams.addToken(team, storedToken{ID: id, Hash: hashToken(token)})
		}
	}
	daemon.inForce.Store(applied)
	s := New(Options{Daemon: daemon, Store: noStore{}, Metrics: metrics.NewRegistry().API, Log: logging.Discard()})
	s.directory.install(teams, 1, s.options.Now().AddDate(1, 0, 0))
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(adminapi.PathServices)
	ctx.Request.Header.Set(adminapi.HeaderAuthorization, adminapi.BearerPrefix+token)
	b.ReportAllocs()
	for b.Loop() {
		s.serve(&ctx)
	}
	require.Equal(b, fasthttp.StatusOK, ctx.Response.StatusCode())
}

// BenchmarkPermit checks a change of one service against 440.
func BenchmarkPermit(b *testing.B) {
	base := config.Empty()
	for i := range 440 {
		name := fmt.Sprintf("s%d", i)
		base.Services[name] = service(fmt.Sprintf("team-%d", i/10), name, 2, 9)
	}
	who := identity{Team: "team-3"}
	c := change{services: []*config.Service{service("team-3", "s30", 3, 9)}}
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, who.permit(base, c))
	}
}
