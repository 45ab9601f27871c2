// Package docs checks that pages name what the code has.
package docs

import (
	"context"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/daemon"
	"github.com/poplarwheel/poplarwheel/internal/logging"
	"github.com/poplarwheel/poplarwheel/internal/loopback"
	"github.com/poplarwheel/poplarwheel/internal/settings"
)

const root = "../.."

// Reason codes are string constants whose names start with "reason", and the
// codes of callerserver.ParseError.
func TestCallersPageNamesEveryReason(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "CALLERS.md"))
	require.NoError(t, err)
	reasons := map[string]string{}
	for _, dir := range []string{"callerserver", "daemon", "dispatch", "proxy", "quarantine", "idempotency", "wire"} {
		collectReasons(t, filepath.Join(root, "internal", dir), reasons)
	}
	require.Contains(t, reasons, "overload")
	require.Contains(t, reasons, "header_too_large")
	for reason, where := range reasons {
		require.Contains(t, string(page), "`"+reason+"`", "reason of %s", where)
	}
}

func collectReasons(t *testing.T, dir string, reasons map[string]string) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
		if os.IsNotExist(err) {
			return nil
		}
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			for _, literal := range reasonLiterals(node) {
				if reason, err := strconv.Unquote(literal.Value); err == nil && reason != "" {
					reasons[reason] = path
				}
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
}

// reasonLiterals returns the texts of reason constants and of Reason fields.
func reasonLiterals(node ast.Node) []*ast.BasicLit {
	var values []ast.Expr
	switch node := node.(type) {
	case *ast.ValueSpec:
		if strings.HasPrefix(strings.ToLower(node.Names[0].Name), "reason") {
			values = node.Values
		}
	case *ast.KeyValueExpr:
		if key, ok := node.Key.(*ast.Ident); ok && key.Name == "Reason" {
			values = []ast.Expr{node.Value}
		}
	}
	var literals []*ast.BasicLit
	for _, value := range values {
		if literal, ok := value.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			literals = append(literals, literal)
		}
	}
	return literals
}

// subcommandNames finds the names of commands and of groups of commands.
var subcommandNames = regexp.MustCompile(`(?:flaggy\.NewSubcommand\(|name: +)"([a-z]+)"`)

func TestCommandLinePageNamesEverySubcommand(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "CLI.md"))
	require.NoError(t, err)
	files, err := filepath.Glob(filepath.Join(root, "internal", "cli", "*.go"))
	require.NoError(t, err)
	names := 0
	for _, path := range files {
		source, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, match := range subcommandNames.FindAllStringSubmatch(string(source), -1) {
			require.Regexp(t, "`[a-z, `]*"+match[1]+"[a-z, `]*`", string(page))
			names++
		}
	}
	require.Greater(t, names, 20)
}

// The page for the person on call leads to every matter.
func TestOperatorsPageLinksEveryMatter(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATORS.md"))
	require.NoError(t, err)
	matters, err := filepath.Glob(filepath.Join(root, "docs", "operators", "*.md"))
	require.NoError(t, err)
	require.NotEmpty(t, matters)
	for _, matter := range matters {
		require.Contains(t, string(page), "](operators/"+filepath.Base(matter)+")")
	}
}

// Links to files of the project have to lead somewhere.
func TestLinksResolve(t *testing.T) {
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		page, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, part := range strings.Split(string(page), "](")[1:] {
			link, _, _ := strings.Cut(part, ")")
			link, _, _ = strings.Cut(link, "#")
			if link == "" || strings.Contains(link, "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(path), link))
			require.NoError(t, err, "link in %s", path)
		}
		return nil
	})
	require.NoError(t, err)
}

// The page of metrics and the dump is compared with what a daemon shows.
func TestObservabilityPageNamesEveryMetricAndField(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "operators", "observability.md"))
	require.NoError(t, err)
	reserved, err := loopback.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = reserved.Release() })
	s := settings.Default()
	s.Name, s.IP, s.Region, s.Zone = "entry-1", reserved.Host(1), "perth", "perth-a"
	s.Platform, s.PeerKey, s.KeepSeconds = reserved.Host(2)+":7000", "key of the page's test", 1
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- daemon.New(s, logging.Discard()).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-stopped)
	})

	refuseAPIRequest(t, s)
	for _, line := range strings.Split(get(t, s, daemon.PathMetrics), "\n") {
		if name, ok := strings.CutPrefix(line, "# TYPE poplarwheel_"); ok {
			name, _, _ = strings.Cut(name, " ")
			require.Contains(t, string(page), "`poplarwheel_"+name+"`")
		}
	}
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal([]byte(get(t, s, daemon.PathDump)), &fields))
	require.NotEmpty(t, fields)
	for field := range fields {
		require.Contains(t, string(page), "`"+field+"`")
	}
}

// refuseAPIRequest has the administration API refuse a request, so that its metrics
// show.
func refuseAPIRequest(t *testing.T, s *settings.Settings) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+s.APIAddress()+adminapi.PathServices, time.Second)
		return err == nil && status == fasthttp.StatusUnauthorized
	}, 20*time.Second, 20*time.Millisecond)
}

// get reads a path of the admin port as soon as it answers.
func get(t *testing.T, s *settings.Settings, path string) string {
	t.Helper()
	var body []byte
	require.Eventually(t, func() bool {
		status, answer, err := fasthttp.GetTimeout(nil, "http://"+s.AdminAddress()+path, time.Second)
		body = answer
		return err == nil && status == fasthttp.StatusOK
	}, 20*time.Second, 20*time.Millisecond)
	return string(body)
}
