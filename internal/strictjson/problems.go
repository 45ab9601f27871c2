package strictjson

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/go-playground/validator/v10"
)

// requirement says what is wrong with a value and what would be right. Texts with
// a wrong length are not repeated, since they may be secret.
func requirement(problem validator.FieldError) string {
	switch problem.Tag() {
	case "required":
		return "must be given"
	case "min", "gte":
		return bound(problem, "at least")
	case "max", "lte":
		return bound(problem, "at most")
	case "len":
		return bound(problem, "exactly")
	case "hexadecimal":
		return "must be hexadecimal digits"
	case "oneof":
		return fmt.Sprintf("is %q, must be one of: %s", fmt.Sprint(problem.Value()), problem.Param())
	case "ip", "ipv4":
		return fmt.Sprintf("is %q, must be an IP address", fmt.Sprint(problem.Value()))
	case "hostname_port":
		return fmt.Sprintf("is %q, must be ip:port", fmt.Sprint(problem.Value()))
	case identifierTag:
		return fmt.Sprintf("is %q, must be letters, digits, dots, hyphens and underscores, with a letter or digit at both ends", fmt.Sprint(problem.Value()))
	case "unique":
		return "must not repeat a " + strings.ToLower(problem.Param())
	}
	return fmt.Sprintf("is %v, must satisfy %s %s", problem.Value(), problem.Tag(), problem.Param())
}

// bound describes a number, or the length of a text or list, outside its bounds.
func bound(problem validator.FieldError, side string) string {
	switch value := reflect.ValueOf(problem.Value()); value.Kind() {
	case reflect.String:
		return fmt.Sprintf("has %d characters, must have %s %s", utf8.RuneCountInString(value.String()), side, problem.Param())
	case reflect.Slice, reflect.Map, reflect.Array:
		return fmt.Sprintf("has %d entries, must have %s %s", value.Len(), side, problem.Param())
	}
	return fmt.Sprintf("is %v, must be %s %s", problem.Value(), side, problem.Param())
}

func decodeError(err error) error {
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) && errors.Is(err, jsontext.ErrDuplicateName) {
		return Invalid(pointerPath(string(syntactic.JSONPointer)), "is given twice")
	}
	var semantic *json.SemanticError
	if !errors.As(err, &semantic) {
		return Invalid("", "not valid JSON: %v", err)
	}
	path := pointerPath(string(semantic.JSONPointer))
	if errors.Is(err, json.ErrUnknownName) {
		return Invalid(path, "unknown field")
	}
	if semantic.GoType != nil {
		return Invalid(path, "must be %s, not %s", wanted(semantic.GoType), found(semantic.JSONKind))
	}
	return Invalid(path, "%v", semantic.Err)
}

// wanted names the JSON value that a Go type is decoded from.
func wanted(goType reflect.Type) string {
	switch goType.Kind() {
	case reflect.Pointer:
		return wanted(goType.Elem())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number, 0 or more"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	}
	return "a value for " + goType.String()
}

// found names a JSON value.
func found(kind jsontext.Kind) string {
	switch kind {
	case 'n':
		return "null"
	case 't', 'f':
		return "true or false"
	case '"':
		return "text"
	case '0':
		return "such a number"
	case '[':
		return "a list"
	case '{':
		return "an object"
	}
	return "this value"
}

// pointerPath turns the JSON pointer "/services/0/name" into "services[0].name".
func pointerPath(pointer string) string {
	var path strings.Builder
	for token := range strings.SplitSeq(strings.TrimPrefix(pointer, "/"), "/") {
		if token != "" && strings.Trim(token, "0123456789") == "" {
			path.WriteString("[" + token + "]")
			continue
		}
		if path.Len() > 0 {
			path.WriteByte('.')
		}
		path.WriteString(token)
	}
	return path.String()
}
