package callerserver

import "regexp"

// quotedText matches a part of a request in an error of fasthttp, which quotes all of them as in Go.
var quotedText = regexp.MustCompile(`"(?:[^"\\]|\\.)*"`)

// SyntaxError is an error of fasthttp's parser. It is logged, so it repeats no text of the request,
// which may contain a caller's key.
type SyntaxError struct{ Problem string }

// Error implements error.
func (e *SyntaxError) Error() string { return e.Problem }

// withoutText returns an error of fasthttp's parser without the text of the request.
func withoutText(err error) error {
	return &SyntaxError{Problem: quotedText.ReplaceAllString(err.Error(), `"..."`)}
}
