package admin

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/config"
)

// TestNoTeamChangesAnothersService: whatever teams send, a service changes only by
// its own team, new services are of the team that sent them, and no team grows
// beyond its limits.
func TestNoTeamChangesAnothersService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := rapid.SampledFrom([]string{"a", "b", "c"})
		names := rapid.SampledFrom([]string{"s0", "s1", "s2", "s3", "s4", "s5"})
		limits := adminapi.Limits{Services: 2, Targets: 5}
		current := config.Empty()
		for range rapid.IntRange(1, 40).Draw(t, "operations") {
			who := identity{Team: teams.Draw(t, "who"), Limits: limits}
			c := change{removed: rapid.SliceOfN(names, 0, 2).Draw(t, "removed")}
			for i, name := range rapid.SliceOfNDistinct(names, 0, 3, rapid.ID).Draw(t, "names") {
				label := fmt.Sprint(i)
				c.services = append(c.services, service(teams.Draw(t, "team"+label), name, rapid.IntRange(1, 9).Draw(t, "size"+label), rapid.IntRange(1, 4).Draw(t, "targets"+label)))
			}
			if who.permit(current, c) != nil {
				continue
			}
			next := c.applied(current)
			for name, before := range current.Services {
				if before.Team != who.Team {
					require.Same(t, before, next.Services[name])
				}
			}
			for name, after := range next.Services {
				if current.Services[name] != after {
					require.Equal(t, who.Team, after.Team)
				}
			}
			use := usageOf(who.Team, next)
			require.LessOrEqual(t, use.services, limits.Services)
			require.LessOrEqual(t, use.targets, limits.Targets)
			current = next
		}
	})
}

// A team above a limit that was lowered may still remove, and change what doesn't
// grow.
func TestLoweredLimit(t *testing.T) {
	base := &config.Snapshot{Revision: 3, Services: map[string]*config.Service{
		"s0": service("a", "s0", 1, 3), "s1": service("a", "s1", 1, 3),
	}}
	who := identity{Team: "a", Limits: adminapi.Limits{Services: 1, Targets: 2}}
	require.NoError(t, who.permit(base, change{removed: []string{"s0"}}))
	require.NoError(t, who.permit(base, change{services: []*config.Service{service("a", "s0", 2, 3)}}))
	var limit *LimitError
	require.ErrorAs(t, who.permit(base, change{services: []*config.Service{service("a", "s0", 2, 4)}}), &limit)
	require.Equal(t, LimitError{What: "targets", Want: 7, Limit: 2}, *limit)
	require.ErrorAs(t, who.permit(base, change{services: []*config.Service{service("a", "s2", 1, 1)}, removed: nil}), &limit)
	require.Equal(t, "services", limit.What)
}

func TestLimiterBoundsEachTeamByItself(t *testing.T) {
	l := newLimiter()
	now := time.Unix(1000, 0)
	const perMinute = 60
	pass := func(now time.Time, team string) bool {
		if l.begin(now, team, perMinute) > 0 {
			return false
		}
		l.end(team)
		return true
	}
	for range perMinute / burstShare {
		require.True(t, pass(now, "a"))
	}
	require.Equal(t, time.Second, l.begin(now, "a", perMinute))
	require.True(t, pass(now, "b"))
	require.True(t, pass(now.Add(time.Second), "a"))
	require.False(t, pass(now.Add(time.Second), "a"))

	for range maxRequestsUnderWay {
		require.Zero(t, l.begin(now, "c", perMinute))
	}
	require.Equal(t, underWayRetry, l.begin(now, "c", perMinute))
	l.end("c")
	require.Zero(t, l.begin(now, "c", perMinute))
	l.prune(0, func(string) bool { return false })
	require.Len(t, l.teams, 1, "a team with requests under way is kept")
}
