package strictjson

import (
	"errors"
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// SecretFieldError reports a document that can't be decoded because of a field whose text is
// secret. It repeats nothing of that.
type SecretFieldError struct {
	// Field is the name of the field.
	Field string
	// Offset is the position in the document at or behind which it is wrong, in bytes.
	Offset int64
	// Problem tells what is wrong.
	Problem string
}

// Error implements error.
func (e *SecretFieldError) Error() string {
	return fmt.Sprintf("near byte %d, perhaps in %q: %s", e.Offset, e.Field, e.Problem)
}

// HideSecret replaces an error of json.Unmarshal that may repeat text of a secret field at the top of
// the document by a *SecretFieldError. Other errors are returned as they are.
func HideSecret(err error, field string) error {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) && mayConcern(semantic.JSONPointer, field) {
		return &SecretFieldError{Field: field, Offset: semantic.ByteOffset, Problem: "a value of the wrong type"}
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) && mayConcern(syntactic.JSONPointer, field) {
		return &SecretFieldError{Field: field, Offset: syntactic.ByteOffset, Problem: syntaxProblem(syntactic)}
	}
	return err
}

// mayConcern reports whether what a pointer refers to is the whole document or a part of a field, in
// whatever case its name is written.
func mayConcern(pointer jsontext.Pointer, field string) bool {
	for first := range pointer.Tokens() {
		return strings.EqualFold(first, field)
	}
	return true
}

func syntaxProblem(err *jsontext.SyntacticError) string {
	if errors.Is(err, jsontext.ErrDuplicateName) {
		return "a field is given twice"
	}
	return "not valid JSON"
}
