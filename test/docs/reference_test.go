package docs

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the reference pages")

// reference is a page made from the doc comments of structs.
type reference struct {
	page    string
	dir     string
	head    string
	structs []string
}

var references = []reference{
	{
		page: "CONFIGURATION.md",
		dir:  "config",
		head: `# The accepted configuration

What ` + "`poplarwheel propose`" + ` prints and daemons follow. Nobody writes it by hand: it
follows from the answers, and the proposal gives the reason for each value. This page is
made from the doc comments of internal/config by ` + "`go test ./test/docs -update`" + `.
`,
		structs: []string{"Service", "TargetGroup", "Target", "RequestType"},
	},
	{
		page: "ANSWERS.md",
		dir:  "questionnaire",
		head: `# The answers of the questionnaire

` + "`poplarwheel questionnaire --template`" + ` prints them with every question explained. This
page is made from the doc comments of internal/questionnaire by
` + "`go test ./test/docs -update`" + `.
`,
		structs: []string{"Answers", "Service", "Server", "Request"},
	},
}

func TestReferencePagesMatchTheStructs(t *testing.T) {
	for _, r := range references {
		t.Run(r.page, func(t *testing.T) {
			want := r.render(t)
			path := filepath.Join(root, "docs", r.page)
			if *update {
				require.NoError(t, os.WriteFile(path, []byte(want), 0o600))
			}
			have, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, want, string(have), "run go test ./test/docs -update")
		})
	}
}

func (r reference) render(t *testing.T) string {
	t.Helper()
	structs := structsOf(t, filepath.Join(root, "internal", r.dir))
	var page strings.Builder
	page.WriteString(r.head)
	for _, name := range r.structs {
		found := structs[name]
		require.NotNil(t, found, name)
		fmt.Fprintf(&page, "\n## %s\n\n%s\n\n| field | allowed | meaning |\n|---|---|---|\n", name, found.doc)
		for _, field := range found.fields {
			require.NotEmpty(t, field.doc, "%s.%s has no doc comment", name, field.name)
			fmt.Fprintf(&page, "| `%s` | %s | %s |\n", field.name, field.allowed, field.doc)
		}
	}
	return page.String()
}

type structDoc struct {
	doc    string
	fields []fieldDoc
}

type fieldDoc struct{ name, allowed, doc string }

// structsOf returns the structs of the package in dir with their comments.
func structsOf(t *testing.T, dir string) map[string]*structDoc {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	structs := map[string]*structDoc{}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		require.NoError(t, err)
		for _, declaration := range file.Decls {
			general, ok := declaration.(*ast.GenDecl)
			if !ok || general.Tok != token.TYPE {
				continue
			}
			spec := general.Specs[0].(*ast.TypeSpec)
			if fields, ok := spec.Type.(*ast.StructType); ok {
				structs[spec.Name.Name] = &structDoc{doc: oneLine(general.Doc), fields: fieldsOf(fields)}
			}
		}
	}
	return structs
}

func fieldsOf(fields *ast.StructType) []fieldDoc {
	var docs []fieldDoc
	for _, field := range fields.Fields.List {
		if field.Tag == nil {
			continue
		}
		text, err := strconv.Unquote(field.Tag.Value)
		if err != nil {
			continue
		}
		tag := reflect.StructTag(text)
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		docs = append(docs, fieldDoc{name: name, allowed: allowed(tag.Get("validate")), doc: oneLine(field.Doc)})
	}
	return docs
}

func oneLine(comment *ast.CommentGroup) string {
	return strings.Join(strings.Fields(comment.Text()), " ")
}

// allowed describes a validate tag.
func allowed(tag string) string {
	words := map[string]string{
		"required": "must be given", "omitempty": "may be left out", "dive": "",
		"identifier": "letters, digits, dots, hyphens and underscores", "hostname_port": "ip:port", "ip": "IP address",
		"unique=Name": "names don't repeat",
	}
	var parts []string
	for part := range strings.SplitSeq(tag, ",") {
		if word, ok := words[part]; ok {
			part = word
		}
		part = strings.NewReplacer("min=", "at least ", "max=", "at most ", "oneof=", "one of ").Replace(part)
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ", ")
}
