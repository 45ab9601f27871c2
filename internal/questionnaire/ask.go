package questionnaire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// EndOfInputError reports that the input ended before the last answer.
type EndOfInputError struct{ Question string }

// Error implements error.
func (e *EndOfInputError) Error() string {
	return fmt.Sprintf("questionnaire: no answer to %q", e.Question)
}

// Ask asks every question on out and reads the answers from in. A wrong answer is
// asked for again. Errors are *EndOfInputError and those of out.
func Ask(in io.Reader, out io.Writer) (*Answers, error) {
	a := &asker{in: bufio.NewScanner(in), out: out}
	answers := &Answers{}
	a.fields(teamQuestions, answers)
	for {
		a.say("\nService %d", len(answers.Services)+1)
		answers.Services = append(answers.Services, a.service())
		if !a.another("service") {
			return answers, a.err
		}
	}
}

// asker keeps the first error and asks nothing after it.
type asker struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

func (a *asker) service() Service {
	service := Service{}
	a.fields(serviceQuestions, &service)
	for a.err == nil {
		var server Server
		a.fields(serverQuestions, &server)
		service.Servers = append(service.Servers, server)
		if !a.another("server") {
			break
		}
	}
	for a.err == nil {
		var request Request
		a.fields(requestQuestions, &request)
		service.Requests = append(service.Requests, request)
		if !a.another("kind of request") {
			break
		}
	}
	return service
}

func (a *asker) another(what string) bool {
	return strings.HasPrefix(strings.ToLower(a.read("Another "+what+"? [y/N]")), "y")
}

// fields asks for the questions' fields of value.
func (a *asker) fields(questions []question, value any) {
	for _, q := range questions {
		a.field(q, value)
	}
}

// field asks until the answer is valid.
func (a *asker) field(q question, value any) {
	a.say("%s\n  %s", q.ask, q.explain)
	for a.err == nil {
		answer := a.read("  for example " + q.example)
		if answer == "" && q.optional {
			return
		}
		problem := setField(q, value, answer)
		if problem == nil {
			return
		}
		if a.err == nil {
			a.say("  %v", problem)
		}
	}
}

// setField decodes an answer into one field and checks it alone.
func setField(q question, value any, answer string) error {
	document, err := json.Marshal(map[string]json.RawMessage{q.field: encode(q, answer)})
	if err != nil {
		return strictjson.Invalid(q.field, "is not a valid answer")
	}
	return strictjson.UnmarshalField(document, value, q.field)
}

// encode returns the answer as JSON; quotes around text may be left out.
func encode(q question, answer string) json.RawMessage {
	if !strings.HasPrefix(q.example, `"`) || strings.HasPrefix(answer, `"`) {
		return json.RawMessage(answer)
	}
	quoted, _ := json.Marshal(answer)
	return quoted
}

func (a *asker) read(prompt string) string {
	if a.err != nil {
		return ""
	}
	if _, a.err = fmt.Fprint(a.out, prompt, ": "); a.err != nil {
		return ""
	}
	if !a.in.Scan() {
		a.err = &EndOfInputError{Question: strings.TrimSpace(prompt)}
		return ""
	}
	return strings.TrimSpace(a.in.Text())
}

func (a *asker) say(format string, args ...any) {
	if a.err == nil {
		_, a.err = fmt.Fprintf(a.out, format+"\n", args...)
	}
}
