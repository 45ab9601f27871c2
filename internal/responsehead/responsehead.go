// Package responsehead checks the heads of HTTP/1.1 responses for faults that fasthttp's codec
// accepts.
package responsehead

import (
	"bytes"
	"fmt"

	"github.com/zeebo/errs"
)

// ErrStatus means that the status of a response isn't between 100 and 599.
var ErrStatus = errs.New("invalid status")

var (
	lineFeed = []byte("\n")
	colon    = []byte(":")
)

// blanks may surround the value of a field and begin the further lines of one.
const blanks = " \t"

// FieldNameError reports a line whose field name isn't a token.
type FieldNameError struct {
	// Line is the number of the line among those of the fields, from 1.
	Line int
}

// Error implements error.
func (e *FieldNameError) Error() string { return fmt.Sprintf("invalid field name on line %d", e.Line) }

// Check returns an error if a complete head, a status line and fields, is invalid.
func Check(head []byte) error {
	if !hasValidStatus(head) {
		return ErrStatus
	}
	_, fields, _ := bytes.Cut(head, lineFeed)
	return CheckFields(fields)
}

// hasValidStatus reports whether the status starts with a digit from 1 to 5. That it has three digits is
// checked by fasthttp, which returns status 000 as 200.
func hasValidStatus(head []byte) bool {
	status := statusOf(head)
	return len(status) > 0 && '1' <= status[0] && status[0] <= '5'
}

// statusOf returns the status line from the status on, with what follows it.
func statusOf(head []byte) []byte {
	_, status, _ := bytes.Cut(head, []byte(" "))
	return bytes.TrimLeft(status, " ")
}

// CheckFields returns a *FieldNameError if the name of a field isn't a token (RFC 9110, section 5.1).
// Fields are the lines of a head behind the status line, or of a trailer, up to an empty line.
//
// fasthttp accepts spaces in names. A length or a transfer coding with such a name is ignored, which
// moves the end of the body.
func CheckFields(fields []byte) error {
	for number := 1; len(fields) > 0; number++ {
		line, rest, _ := bytes.Cut(fields, lineFeed)
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			return nil
		}
		if !hasValidName(line) {
			return &FieldNameError{Line: number}
		}
		fields = rest
	}
	return nil
}

// hasValidName reports whether a line starts with a valid name or continues the value on the line
// before. A continuation that reads as a field is rejected (RFC 9112, section 5.2, allows that): a
// server that puts a blank before a name means a field of its own.
func hasValidName(line []byte) bool {
	name, _, found := bytes.Cut(line, colon)
	isContinuation := line[0] == ' ' || line[0] == '\t'
	if isContinuation {
		return !found || !isToken(bytes.TrimLeft(name, blanks))
	}
	return found && isToken(name)
}

// isToken reports whether name is a token (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(name) > 0
}

// isTokenByte tells which bytes a token may contain.
var isTokenByte = func() (table [256]bool) {
	const symbols, digits = "!#$%&'*+-.^_`|~", "0123456789"
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for _, c := range []byte(symbols + digits + letters) {
		table[c] = true
	}
	return table
}()
