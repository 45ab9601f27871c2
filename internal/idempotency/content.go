package idempotency

import (
	"encoding/json"
	"time"
)

// entry is the state of one key in a record object.
type entry struct {
	Fingerprint uint64 `json:"fingerprint,string"`
	// Owner is the daemon that may dispatch the request.
	Owner Owner `json:"owner"`
	// Attempt is unique among the intents of the owner.
	Attempt uint64  `json:"attempt"`
	Outcome Outcome `json:"outcome"`
}

// Content is the value of a record object. Entries are never removed.
type Content struct {
	Generation string `json:"generation"`
	// ExpiresAt is when the object may be used for another generation.
	ExpiresAt time.Time        `json:"expires_at"`
	Entries   map[string]entry `json:"entries"`
}

// Encode returns the value of the object.
func (c *Content) Encode() ([]byte, error) {
	plain, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	return compress(plain)
}

// DecodeContent decodes the value of an object, compressed or plain. The error is a
// *ContentError.
func DecodeContent(value []byte) (*Content, error) {
	plain, err := decompress(value)
	if err != nil {
		return nil, &ContentError{Cause: err}
	}
	content := &Content{}
	if err := json.Unmarshal(plain, content); err != nil {
		return nil, &ContentError{Cause: err}
	}
	if content.Entries == nil {
		content.Entries = map[string]entry{}
	}
	return content, nil
}

// ContentError reports the value of an object that can't be decoded.
type ContentError struct{ Cause error }

// Error implements error.
func (e *ContentError) Error() string { return "record object: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ContentError) Unwrap() error { return e.Cause }

// clone returns a copy that can be changed.
func (c *Content) clone() *Content {
	copied := &Content{Generation: c.Generation, ExpiresAt: c.ExpiresAt, Entries: make(map[string]entry, len(c.Entries)+1)}
	for key, value := range c.Entries {
		copied.Entries[key] = value
	}
	return copied
}

// answerBytes returns the size of the answers together.
func (c *Content) answerBytes() int {
	total := 0
	for _, existing := range c.Entries {
		if existing.Outcome.Answer != nil {
			total += len(existing.Outcome.Answer.Body)
		}
	}
	return total
}
