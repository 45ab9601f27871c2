package settings

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/SETTINGS.md")

const documentHead = `# Settings of an entry daemon

A JSON file, read once at start: ` + "`poplarwheel entry --settings FILE`" + `. Unknown
fields, duplicate fields and bad values are refused with the field's path and what
would be right; ` + "`--check`" + ` only checks. This page is made from the doc comments
of internal/settings by ` + "`go test ./internal/settings -update`" + `.

| field | default | allowed | meaning |
|---|---|---|---|
`

// The page is checked against the struct, so that neither can change alone.
func TestDocumentMatchesTheStruct(t *testing.T) {
	comments := fieldComments(t)
	var page strings.Builder
	page.WriteString(documentHead)
	defaults := reflect.ValueOf(*Default())
	for i, field := range reflect.VisibleFields(defaults.Type()) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		meaning := comments[field.Name]
		require.NotEmpty(t, meaning, "%s has no doc comment", field.Name)
		value := "none, must be given"
		if current := defaults.Field(i); !current.IsZero() {
			value = fmt.Sprint(current)
			require.Contains(t, meaning, "Default "+value+".", field.Name)
		} else if !strings.Contains(field.Tag.Get("validate"), "required") {
			value = "empty"
			if current.CanInt() {
				value = "0"
				require.Contains(t, meaning, "Default 0.", field.Name)
			}
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", name, value, allowed(field.Tag.Get("validate")), meaning)
	}
	path := filepath.Join("..", "..", "docs", "SETTINGS.md")
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(page.String()), 0o600))
	}
	have, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, page.String(), string(have), "run go test ./internal/settings -update")
}

// allowed describes a validate tag.
func allowed(tag string) string {
	words := strings.NewReplacer("required", "", "omitempty", "", "oneof=", "", "min=", "at least ", "max=", "at most ",
		"hostname_port", "ip:port", "identifier", "letters, digits, dots, hyphens and underscores", ",dive", "").Replace(tag)
	return strings.ReplaceAll(strings.Trim(words, ","), ",", ", ")
}

// fieldComments returns the doc comments of the fields of Settings.
func fieldComments(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", nil, parser.ParseComments)
	require.NoError(t, err)
	comments := map[string]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok || spec.Name.Name != "Settings" {
			return true
		}
		for _, field := range spec.Type.(*ast.StructType).Fields.List {
			for _, name := range field.Names {
				comments[name.Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
			}
		}
		return false
	})
	return comments
}
