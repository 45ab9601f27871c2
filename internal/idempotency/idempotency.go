// Package idempotency keeps non-idempotent requests from running more than once.
//
// An idempotency key starts with the session token that an entry daemon handed
// to the caller. The token's kind says how the key is protected.
//
// An unrecorded token names one incarnation of one daemon, and only that
// incarnation dispatches the token's keys, from its own memory (Table).
//
// A recorded token names a record object on the platform. A key is dispatched
// only by the daemon whose conditional update added the key to that object
// (Record).
//
// Table and Record decide; they have no sockets, goroutines or clock. Recorder
// carries out the decisions of the records.
package idempotency

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Kind says how the keys of a session token are protected.
type Kind string

// Kinds of tokens.
const (
	// Unrecorded keys are protected by the memory of one daemon.
	Unrecorded Kind = "u"
	// Recorded keys are protected by a record object on the platform.
	Recorded Kind = "r"
)

const (
	// TokenLifetime is how long keys of a token are accepted after it was
	// handed out.
	TokenLifetime = 10 * time.Minute

	// tokenSeparator separates the parts of a token.
	tokenSeparator = "."
	// tokenParts is the number of parts of a token.
	tokenParts = 5
	// keySeparator separates the token from the caller's part of a key.
	keySeparator = ":"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// numberBase is the base of the numbers in a token.
	numberBase = 36
)

// Owner identifies one start of one daemon.
type Owner struct {
	// Incarnation is unique among all starts of all daemons.
	Incarnation string `json:"incarnation"`
	// VM is the name of the daemon's VM.
	VM string `json:"vm"`
}

// Token is a session token.
type Token struct {
	Kind Kind
	// Home is the daemon that handed the token out.
	Home Owner
	// Session is unique among the tokens of the home's incarnation.
	Session uint64
	// Issued is the time between the start of the home and the token. It is set
	// for unrecorded tokens only.
	Issued time.Duration
	// Record names the record object of a recorded token.
	Record Ref
}

// Ref names one use of a record object. Objects are used again under another
// generation once they have expired.
type Ref struct {
	// Slot numbers the object.
	Slot int
	// Generation is unique among all uses of all slots.
	Generation string
}

// String returns the token as handed to callers.
func (t Token) String() string {
	scope := strconv.FormatInt(t.Issued.Milliseconds(), numberBase)
	if t.Kind == Recorded {
		scope = strconv.FormatInt(int64(t.Record.Slot), numberBase) + "-" + t.Record.Generation
	}
	return strings.Join([]string{
		string(t.Kind),
		t.Home.Incarnation,
		strconv.FormatUint(t.Session, numberBase),
		scope,
		url.QueryEscape(t.Home.VM),
	}, tokenSeparator)
}

// Key is a parsed idempotency key.
type Key struct {
	Token Token
	// Request is the caller's part.
	Request string
}

// String returns the key as callers send it.
func (k Key) String() string { return k.Token.String() + keySeparator + k.Request }

// recordKey identifies the key inside its record.
func (k Key) recordKey() string {
	return strconv.FormatUint(k.Token.Session, numberBase) + keySeparator + k.Request
}

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
	token, ok := parseToken(tokenText)
	if !ok {
		return Key{}, &BadKeyError{Problem: "doesn't start with a session token"}
	}
	return Key{Token: token, Request: request}, nil
}

func parseToken(text string) (Token, bool) {
	parts := strings.SplitN(text, tokenSeparator, tokenParts)
	if len(parts) != tokenParts || parts[1] == "" || parts[4] == "" {
		return Token{}, false
	}
	vm, vmErr := url.QueryUnescape(parts[4])
	session, sessionErr := strconv.ParseUint(parts[2], numberBase, 64)
	token := Token{Kind: Kind(parts[0]), Home: Owner{Incarnation: parts[1], VM: vm}, Session: session}
	// Only the canonical form is taken, so that one key has one spelling.
	ok := vmErr == nil && sessionErr == nil && token.parseScope(parts[3]) && token.String() == text
	return token, ok
}

func (t *Token) parseScope(scope string) bool {
	switch t.Kind {
	case Unrecorded:
		ms, err := strconv.ParseUint(scope, numberBase, 48)
		t.Issued = time.Duration(ms) * time.Millisecond
		return err == nil
	case Recorded:
		slotText, generation, found := strings.Cut(scope, "-")
		slot, err := strconv.ParseUint(slotText, numberBase, 31)
		t.Record = Ref{Slot: int(slot), Generation: generation}
		return err == nil && found && generation != ""
	}
	return false
}
