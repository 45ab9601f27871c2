package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The page of the administration API names every path, header and error code.
func TestAdministrationPageNamesTheContract(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "ADMIN-API.md"))
	require.NoError(t, err)
	counts := map[string]int{}
	for name, value := range stringConstants(t, filepath.Join(root, "internal", "adminapi")) {
		for _, prefix := range []string{"Path", "Code", "Header", "Query"} {
			if strings.HasPrefix(name, prefix) {
				require.Regexp(t, "[`( ]"+strings.NewReplacer("{", `\{`, "}", `\}`).Replace(value)+"[`): ]", string(page), name)
				counts[prefix]++
			}
		}
	}
	require.Greater(t, counts["Path"], 15)
	require.Greater(t, counts["Code"], 15)
	require.Greater(t, counts["Header"], 5)
	require.Equal(t, 3, counts["Query"])
}

// stringConstants returns the text constants of the package in dir by name.
func stringConstants(t *testing.T, dir string) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	constants := map[string]string{}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.ValueSpec)
			if !ok || len(spec.Values) == 0 {
				return true
			}
			if literal, ok := spec.Values[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
				constants[spec.Names[0].Name], err = strconv.Unquote(literal.Value)
				require.NoError(t, err)
			}
			return true
		})
	}
	return constants
}
