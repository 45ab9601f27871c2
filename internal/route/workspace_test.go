package route

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// withWorkspaces returns a valid configuration that requires the keys of the workspaces.
func withWorkspaces(workspaces ...*Workspace) Config {
	config := newConfig(newRoute("all", "h", "/"))
	config.RequireKeys, config.Workspaces = true, workspaces
	return config
}

func TestWorkspaceIsFoundByEachOfItsKeysOnly(t *testing.T) {
	first := &Workspace{Name: "first", Keys: []string{"48wu", "ta82"}}
	second := &Workspace{Name: "second", Keys: []string{"48wv"}}
	table, err := Compile(withWorkspaces(first, second, &Workspace{Name: "third"}))
	require.NoError(t, err)
	require.True(t, table.RequiresKeys())
	for key, want := range map[string]*Workspace{
		"48wu": first, "ta82": first, "48wv": second,
		"": nil, "48w": nil, "48wu ": nil, "48WU": nil, "first": nil,
	} {
		require.Same(t, want, table.FindWorkspace([]byte(key)), key)
	}
}

func TestTableWithoutWorkspacesRequiresKeysOnlyIfConfigured(t *testing.T) {
	require.False(t, compile(t, newRoute("all", "h", "/")).RequiresKeys())
	table, err := Compile(withWorkspaces())
	require.NoError(t, err)
	require.True(t, table.RequiresKeys())
	require.Nil(t, table.FindWorkspace(nil))
}

// Guards against a configuration in which it is open whose request one is, and against keys in
// errors, which are logged.
func TestCompileRejectsInvalidWorkspaces(t *testing.T) {
	negative := -1
	for name, c := range map[string]struct {
		invalid Workspace
		problem Problem
	}{
		"no name":          {Workspace{Keys: []string{"secret"}}, MissingWorkspaceName},
		"same name":        {Workspace{Name: "good"}, DuplicateWorkspaceName},
		"empty key":        {Workspace{Name: "bad", Keys: []string{"secret", ""}}, EmptyKey},
		"key of another":   {Workspace{Name: "bad", Keys: []string{"taken-secret"}}, DuplicateKey},
		"key twice":        {Workspace{Name: "bad", Keys: []string{"secret", "secret"}}, DuplicateKey},
		"negative rate":    {Workspace{Name: "bad", Quota: Quota{Rate: -1}}, InvalidQuota},
		"rate not finite":  {Workspace{Name: "bad", Quota: Quota{Rate: math.Inf(1)}}, InvalidQuota},
		"rate no number":   {Workspace{Name: "bad", Quota: Quota{Rate: math.NaN()}}, InvalidQuota},
		"negative burst":   {Workspace{Name: "bad", Quota: Quota{Burst: -0.1}}, InvalidQuota},
		"negative ranking": {Workspace{Name: "bad", Priority: &negative}, InvalidPriority},
	} {
		_, err := Compile(withWorkspaces(&Workspace{Name: "good", Keys: []string{"taken-secret"}}, &c.invalid))
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid, name)
		require.Equal(t, c.problem, invalid.Problem, name)
		require.NotContains(t, err.Error(), "secret", name)
	}
}

func TestCompileRejectsNegativeColdStart(t *testing.T) {
	for _, service := range []Service{{ColdStart: -1}, {ColdRate: -0.5}, {ColdRate: math.NaN()}} {
		service.Name = "stock"
		config := newConfig()
		config.Services = []*Service{&service}
		_, err := Compile(config)
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, InvalidColdStart, invalid.Problem)
	}
}

func TestWorkspaceInJSONHasNoKeys(t *testing.T) {
	encoded, err := json.Marshal(&Workspace{Name: "first", Keys: []string{"secret"}})
	require.NoError(t, err)
	require.NotContains(t, string(encoded), "secret")
}

func BenchmarkFindWorkspace(b *testing.B) {
	for _, keys := range []int{10, 100_000} {
		b.Run(fmt.Sprint(keys, "keys"), func(b *testing.B) {
			var workspaces []*Workspace
			for i := range keys {
				workspaces = append(workspaces, &Workspace{Name: fmt.Sprint(i), Keys: []string{fmt.Sprintf("key-of-usual-length-%032d", i)}})
			}
			table, err := Compile(withWorkspaces(workspaces...))
			require.NoError(b, err)
			known, unknown := []byte(workspaces[keys/2].Keys[0]), []byte("key-of-usual-length-"+fmt.Sprintf("%032x", -1))
			b.ReportAllocs()
			for b.Loop() {
				if table.FindWorkspace(known) == nil || table.FindWorkspace(unknown) != nil {
					b.Fatal("a key belongs to the wrong workspace")
				}
			}
		})
	}
}
