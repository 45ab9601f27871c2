package questionnaire

import "strings"

// Template returns an answers file in which every question is explained in
// comment lines. It passes Parse as it stands.
func Template() string {
	t := &template{}
	t.line(0, "// A line that starts with // is a comment.")
	t.line(0, "{")
	t.questions(1, teamQuestions, true)
	t.line(1, "// One entry for each service.")
	t.line(1, `"services": [`)
	t.line(2, "{")
	t.questions(3, serviceQuestions, true)
	t.list(3, "servers", "One entry for each VM that runs the service.", serverQuestions, true)
	t.list(3, "requests", "One entry for each kind of request.", requestQuestions, false)
	t.line(2, "}")
	t.line(1, "]")
	t.line(0, "}")
	return t.text.String()
}

type template struct{ text strings.Builder }

func (t *template) line(depth int, parts ...string) {
	t.text.WriteString(strings.Repeat("  ", depth))
	for _, part := range parts {
		t.text.WriteString(part)
	}
	t.text.WriteByte('\n')
}

func (t *template) list(depth int, name, explain string, questions []question, more bool) {
	t.line(depth, "// ", explain)
	t.line(depth, `"`, name, `": [`)
	t.line(depth+1, "{")
	t.questions(depth+2, questions, false)
	t.line(depth+1, "}")
	t.line(depth, "]", comma(more))
}

func (t *template) questions(depth int, questions []question, more bool) {
	for i, q := range questions {
		t.line(depth, "// ", q.ask)
		t.line(depth, "// ", q.explain)
		t.line(depth, `"`, q.field, `": `, q.example, comma(more || i < len(questions)-1))
	}
}

func comma(more bool) string {
	if more {
		return ","
	}
	return ""
}
