// Package idempotency keeps non-idempotent requests from running more than once.
//
// An idempotency key starts with the session token that the entry daemon handed
// to the caller. An unrecorded token names one incarnation of one daemon, and
// only that incarnation dispatches the token's keys, from its own memory.
package idempotency

import (
	"fmt"
	"strings"
)

// Kind says how the keys of a session token are protected.
type Kind string

// Kinds of tokens.
const (
	// Unrecorded keys are protected by the memory of one daemon.
	Unrecorded Kind = "u"
)

const (
	// tokenSeparator separates the parts of a token.
	tokenSeparator = "."
	// keySeparator separates the token from the caller's part of a key.
	keySeparator = ":"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
)

// Token is a session token.
type Token struct {
	Kind Kind
	// Incarnation identifies one start of one daemon.
	Incarnation string
	// Session is unique among the tokens of the incarnation.
	Session string
}

// String returns the token as handed to callers.
func (t Token) String() string {
	return strings.Join([]string{string(t.Kind), t.Incarnation, t.Session}, tokenSeparator)
}

// Key is a parsed idempotency key.
type Key struct {
	Token Token
	// Request is the caller's part.
	Request string
}

// String returns the key as callers send it.
func (k Key) String() string { return k.Token.String() + keySeparator + k.Request }

// BadKeyError reports a key that isn't a session token, a colon and the caller's
// part.
type BadKeyError struct{ Problem string }

// Error implements error.
func (e *BadKeyError) Error() string { return fmt.Sprintf("idempotency key: %s", e.Problem) }

// ParseKey parses an idempotency key. The error is a *BadKeyError.
func ParseKey(text string) (Key, error) {
	if len(text) > maxKeyBytes {
		return Key{}, &BadKeyError{Problem: fmt.Sprintf("has %d bytes, must have at most %d", len(text), maxKeyBytes)}
	}
	tokenText, request, found := strings.Cut(text, keySeparator)
	if !found || request == "" {
		return Key{}, &BadKeyError{Problem: "must be a session token, a colon and the caller's own part"}
	}
	parts := strings.Split(tokenText, tokenSeparator)
	if len(parts) != 3 || Kind(parts[0]) != Unrecorded || parts[1] == "" || parts[2] == "" {
		return Key{}, &BadKeyError{Problem: "doesn't start with a session token"}
	}
	return Key{Token: Token{Kind: Kind(parts[0]), Incarnation: parts[1], Session: parts[2]}, Request: request}, nil
}
