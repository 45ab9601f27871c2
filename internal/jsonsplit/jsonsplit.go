// Package jsonsplit splits JSON arrays and objects into their parts without decoding these, so
// that one part that is invalid or nested too deeply doesn't hide the others.
//
// A part only needs balanced brackets outside of strings. What else is wrong with it shows when
// it is decoded. Splitting takes no more stack for deeper nesting.
package jsonsplit

import (
	"bytes"
	"encoding/json"

	"github.com/zeebo/errs"
)

// ErrInvalid means that the text can't be split.
var ErrInvalid = errs.New("jsonsplit: text is no whole array or object")

var null = []byte("null")

// Elements returns the elements of an array, which share its memory. It returns none for null
// and for a nil array.
func Elements(array []byte) ([][]byte, error) {
	if array == nil {
		return nil, nil
	}
	s := &scanner{text: array}
	var elements [][]byte
	err := s.scan('[', ']', func() error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// Fields returns the values of an object by field name. They share its memory. Of a repeated
// field it returns the last value. Names are compared as written, with their escapes. It returns
// none for null.
func Fields(object []byte) (map[string][]byte, error) {
	s := &scanner{text: object}
	fields := map[string][]byte{}
	err := s.scan('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		fields[name], err = s.value()
		return err
	})
	return fields, err
}

// Same reports whether two documents are the same but for white space.
func Same(a, b []byte) bool {
	var compactA, compactB bytes.Buffer
	if json.Compact(&compactA, a) != nil || json.Compact(&compactB, b) != nil {
		return false
	}
	return bytes.Equal(compactA.Bytes(), compactB.Bytes())
}

// Depth returns how deeply arrays and objects are nested in a value; 0 for a scalar.
func Depth(value []byte) int {
	s := &scanner{text: value}
	depth, deepest := 0, 0
	for s.position < len(value) {
		switch value[s.position] {
		case '"':
			if s.skipString() != nil {
				return deepest
			}
			continue
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth--
		}
		s.position++
	}
	return deepest
}

// scanner reads a text from its start to its end.
type scanner struct {
	text     []byte
	position int
}

// scan reads an array or an object, which must be the whole text. It calls readPart at the start
// of each of its parts.
func (s *scanner) scan(open, end byte, readPart func() error) error {
	if bytes.Equal(bytes.TrimSpace(s.text), null) {
		return nil
	}
	if !s.accept(open) {
		return ErrInvalid
	}
	for first := true; !s.accept(end); first = false {
		if !first && !s.accept(',') {
			return ErrInvalid
		}
		if err := readPart(); err != nil {
			return err
		}
	}
	s.skipSpace()
	if s.position < len(s.text) {
		return ErrInvalid
	}
	return nil
}

// accept skips white space and the given byte. It returns false if another byte comes next.
func (s *scanner) accept(expected byte) bool {
	s.skipSpace()
	if s.position == len(s.text) || s.text[s.position] != expected {
		return false
	}
	s.position++
	return true
}

func (s *scanner) skipSpace() {
	for s.position < len(s.text) && isSpace(s.text[s.position]) {
		s.position++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// name reads the name of a field and the colon behind it.
func (s *scanner) name() (string, error) {
	s.skipSpace()
	start := s.position
	if start == len(s.text) || s.text[start] != '"' {
		return "", ErrInvalid
	}
	if err := s.skipString(); err != nil {
		return "", err
	}
	name := string(s.text[start+1 : s.position-1])
	if !s.accept(':') {
		return "", ErrInvalid
	}
	return name, nil
}

// value reads a value, which is not empty.
func (s *scanner) value() ([]byte, error) {
	s.skipSpace()
	start := s.position
	for depth := 0; s.position < len(s.text); {
		switch c := s.text[s.position]; {
		case c == '"':
			if err := s.skipString(); err != nil {
				return nil, err
			}
			continue
		case c == '[' || c == '{':
			depth++
		case depth == 0 && (c == ',' || c == ']' || c == '}'):
			return s.valueFrom(start)
		case c == ']' || c == '}':
			depth--
		}
		s.position++
	}
	return nil, ErrInvalid
}

// valueFrom returns the value that ends before the current position.
func (s *scanner) valueFrom(start int) ([]byte, error) {
	value := bytes.TrimSpace(s.text[start:s.position])
	if len(value) == 0 {
		return nil, ErrInvalid
	}
	return value, nil
}

// skipString skips a string, which starts at the current position.
func (s *scanner) skipString() error {
	for s.position++; s.position < len(s.text); s.position++ {
		switch s.text[s.position] {
		case '\\':
			s.position++
		case '"':
			s.position++
			return nil
		}
	}
	s.position = len(s.text)
	return ErrInvalid
}
