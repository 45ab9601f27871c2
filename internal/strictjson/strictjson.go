// Package strictjson decodes JSON documents that people write and reports
// every problem with the path of the offending field.
//
// Unknown fields, duplicate fields, values of the wrong type and values that
// break a field's validate tag are refused.
package strictjson

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-playground/validator/v10"
)

// FieldError is one problem with one field of a document.
type FieldError struct {
	// Path is the field's position, for example "services[0].slots".
	Path string
	// Problem says what is wrong and what would be right.
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Path == "" {
		return e.Problem
	}
	return e.Path + ": " + e.Problem
}

// InvalidError lists every problem found in a document.
type InvalidError struct {
	Fields []*FieldError
}

// Error implements error.
func (e *InvalidError) Error() string {
	parts := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		parts[i] = field.Error()
	}
	return strings.Join(parts, "; ")
}

// Invalid returns an InvalidError with a single problem.
func Invalid(path, format string, args ...any) *InvalidError {
	return &InvalidError{Fields: []*FieldError{{Path: path, Problem: fmt.Sprintf(format, args...)}}}
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	if err := v.RegisterValidation(identifierTag, isIdentifier); err != nil {
		panic(err)
	}
	return v
}

// identifierTag marks names that appear in paths, headers and metrics.
const identifierTag = "identifier"

var identifier = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

func isIdentifier(field validator.FieldLevel) bool {
	return identifier.MatchString(field.Field().String())
}

// Unmarshal decodes data into value and checks its validate tags. The error is
// an *InvalidError.
func Unmarshal(data []byte, value any) error {
	err := json.Unmarshal(data, value, json.RejectUnknownMembers(true))
	if err != nil {
		return decodeError(err)
	}
	return Validate(value)
}

// UnmarshalField decodes data, which holds one field, into value and reports only
// the problems of that field. The error is an *InvalidError.
func UnmarshalField(data []byte, value any, field string) error {
	err := json.Unmarshal(data, value, json.RejectUnknownMembers(true))
	if err != nil {
		return decodeError(err)
	}
	var invalid *InvalidError
	if !errors.As(Validate(value), &invalid) {
		return nil
	}
	for _, problem := range invalid.Fields {
		if problem.Path == field {
			return &InvalidError{Fields: []*FieldError{problem}}
		}
	}
	return nil
}

// Validate checks the validate tags of value. The error is an *InvalidError.
func Validate(value any) error {
	err := validate.Struct(value)
	if err == nil {
		return nil
	}
	var problems validator.ValidationErrors
	if !errors.As(err, &problems) {
		return Invalid("", "%v", err)
	}
	invalid := &InvalidError{}
	for _, problem := range problems {
		invalid.Fields = append(invalid.Fields, validationError(problem))
	}
	return invalid
}

func validationError(problem validator.FieldError) *FieldError {
	_, path, _ := strings.Cut(problem.Namespace(), ".")
	return &FieldError{Path: path, Problem: requirement(problem)}
}
