package route

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newRoute returns a valid route to the service "stock".
func newRoute(name, host, prefix string) *Route {
	return &Route{
		Name:             name,
		Host:             host,
		Prefix:           prefix,
		WeightedServices: []WeightedService{{Service: "stock", Weight: 1}},
		MaxAttempts:      2,
		Timeout:          time.Second,
		Objective:        time.Second / 4,
	}
}

// newConfig returns a valid configuration of the given routes and the service "stock".
func newConfig(routes ...*Route) Config {
	return Config{
		Revision: 7,
		Routes:   routes,
		Services: []*Service{{Name: "stock"}},
		Limits:   Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, ReceiveTimeout: time.Second, IdleTimeout: time.Second},
	}
}

// compile returns the table of the given routes and the service "stock".
func compile(t testing.TB, routes ...*Route) *Table {
	t.Helper()
	table, err := Compile(newConfig(routes...))
	require.NoError(t, err)
	return table
}

func TestFindReturnsLongestMatchingPrefixOfHost(t *testing.T) {
	table := compile(t,
		newRoute("all", "a.example", "/"),
		newRoute("shop", "a.example", "/shop/"),
		newRoute("cart", "a.example", "/shop/cart/"),
		newRoute("other", "b.example", "/shop/"),
	)
	for path, want := range map[string]string{
		"/":                "all",
		"/x":               "all",
		"/shop":            "all",
		"/shop/":           "shop",
		"/shop/x/y":        "shop",
		"/shop/cart":       "shop",
		"/shop/cart/":      "cart",
		"/shop/cart/1/2/3": "cart",
	} {
		found := table.Find([]byte("a.example"), []byte(path))
		require.NotNil(t, found, path)
		require.Equal(t, want, found.Name, path)
	}
	require.Equal(t, "other", table.Find([]byte("b.example"), []byte("/shop/1")).Name)
	require.Nil(t, table.Find([]byte("b.example"), []byte("/x")))
	require.Nil(t, table.Find([]byte("c.example"), []byte("/shop/1")))
	require.Nil(t, table.Find([]byte("a.example"), nil))
}

func TestFindMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab"})
		prefixes := rapid.SliceOfNDistinct(rapid.SliceOfN(segment, 0, 3), 1, 8, func(parts []string) string {
			return strings.Join(parts, "/")
		}).Draw(t, "prefixes")
		var routes []*Route
		for i, parts := range prefixes {
			prefix := "/" + strings.Join(append(parts, ""), "/")
			routes = append(routes, newRoute(fmt.Sprint(i), "h", prefix))
		}
		table, err := Compile(newConfig(routes...))
		require.NoError(t, err)
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "path"), "/")
		longest := ""
		for _, r := range routes {
			if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(longest) {
				longest = r.Prefix
			}
		}
		found := table.Find([]byte("h"), []byte(path))
		if longest == "" {
			require.Nil(t, found)
			return
		}
		require.Equal(t, longest, found.Prefix)
	})
}

func TestFindDoesNotAllocateWithThousandRoutes(t *testing.T) {
	var routes []*Route
	for i := range 1000 {
		routes = append(routes, newRoute(fmt.Sprint(i), fmt.Sprintf("h%d.example", i%20), fmt.Sprintf("/p%d/", i)))
	}
	table := compile(t, routes...)
	host, path := []byte("h7.example"), []byte("/p507/some/path/of/usual/length")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if table.Find(host, path) == nil {
			t.Fatal("no route found for an existing host and prefix")
		}
	}))
}

func TestCompileRejectsConfigurationWithOneInvalidRoute(t *testing.T) {
	cases := map[Problem]func(r *Route){
		DuplicatePrefix:    func(r *Route) { r.Host, r.Prefix = "H", "/" },
		MissingHost:        func(r *Route) { r.Host = "" },
		InvalidHost:        func(r *Route) { r.Host = "h:80" },
		InvalidTimeout:     func(r *Route) { r.Timeout = 0 },
		InvalidObjective:   func(r *Route) { r.Objective = -time.Second },
		InvalidPrefix:      func(r *Route) { r.Prefix = "/shop" },
		UnknownService:     func(r *Route) { r.WeightedServices[0].Service = "other" },
		InvalidWeights:     func(r *Route) { r.WeightedServices[0].Weight = 0 },
		InvalidMaxAttempts: func(r *Route) { r.MaxAttempts = 0 },
	}
	for problem, invalidate := range cases {
		bad := newRoute("bad", "h", "/shop/")
		invalidate(bad)
		_, err := Compile(newConfig(newRoute("good", "h", "/"), bad))
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, problem, invalid.Problem)
		require.Equal(t, "bad", invalid.Route)
	}
}

func TestCompileRejectsRoutesAndServicesThatTheirNamesDoNotTellApart(t *testing.T) {
	good := newRoute("good", "h", "/")
	stock := &Service{Name: "stock"}
	for problem, config := range map[Problem]Config{
		MissingName:          {Services: []*Service{stock}, Routes: []*Route{good, newRoute("", "h", "/a/")}},
		DuplicateName:        {Services: []*Service{stock}, Routes: []*Route{good, newRoute("good", "h", "/a/")}},
		MissingServiceName:   {Services: []*Service{stock, {}}, Routes: []*Route{good}},
		DuplicateServiceName: {Services: []*Service{stock, {Name: "stock"}}, Routes: []*Route{good}},
	} {
		config.Limits = newConfig().Limits
		_, err := Compile(config)
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid, problem)
		require.Equal(t, problem, invalid.Problem)
	}
}

func TestCompileRejectsLimitsUnderWhichNoRequestIsServed(t *testing.T) {
	cases := map[Problem]func(l *Limits){
		InvalidHeaderBytes:    func(l *Limits) { l.HeaderBytes = 0 },
		InvalidBodyBytes:      func(l *Limits) { l.BodyBytes = -1 },
		InvalidReceiveTimeout: func(l *Limits) { l.ReceiveTimeout = 0 },
		InvalidIdleTimeout:    func(l *Limits) { l.IdleTimeout = -time.Second },
	}
	for problem, invalidate := range cases {
		config := newConfig(newRoute("good", "h", "/"))
		invalidate(&config.Limits)
		_, err := Compile(config)
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, problem, invalid.Problem)
	}
}

func TestSplitterFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 100), 2, 4).Draw(t, "weights")
		r := &Route{}
		total := 0
		for i, weight := range weights {
			r.WeightedServices = append(r.WeightedServices, WeightedService{Service: fmt.Sprint(i), Weight: float64(weight)})
			total += weight
		}
		var splitter Splitter
		counts := map[string]int{}
		for n := 1; n <= 300; n++ {
			counts[splitter.Next(r)]++
			for i, weight := range weights {
				want := float64(n) * float64(weight) / float64(total)
				require.LessOrEqual(t, math.Abs(float64(counts[fmt.Sprint(i)])-want), float64(len(weights)))
			}
		}
	})
}
