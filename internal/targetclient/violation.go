package targetclient

import (
	"errors"

	"github.com/poplarwheel/poplarwheel/internal/framing"
)

// Violation is a stable code for what is wrong with a response that was given up.
type Violation string

// Violations.
const (
	ViolationHeaderTooLarge Violation = "header_too_large"
	ViolationTooLarge       Violation = "too_large"
	ViolationMalformed      Violation = "malformed"
	ViolationMemory         Violation = "memory"
	ViolationInterim        Violation = "interim"
	ViolationNoLength       Violation = "no_length"
	ViolationUnidentified   Violation = "unidentified"
	ViolationMismatch       Violation = "mismatch"
)

// ViolationOf returns why a response was given up. It returns false if err is nil or has another
// reason, such as a closed connection.
func ViolationOf(err error) (Violation, bool) {
	var lost *LostError
	if !errors.As(err, &lost) {
		return "", false
	}
	var unidentified *UnidentifiedError
	var mismatch *MismatchError
	var chunks *framing.ChunkError
	cause := lost.Cause
	switch {
	case errors.Is(cause, ErrClosed), errors.Is(cause, ErrCanceled), errors.Is(cause, ErrTimeout):
		return "", false
	case errors.Is(cause, ErrHeaderTooLarge):
		return ViolationHeaderTooLarge, true
	case errors.Is(cause, ErrTooLarge):
		return ViolationTooLarge, true
	case errors.Is(cause, ErrMemory):
		return ViolationMemory, true
	case errors.Is(cause, ErrInterim):
		return ViolationInterim, true
	case errors.Is(cause, ErrNoLength):
		return ViolationNoLength, true
	case errors.As(cause, &unidentified):
		return ViolationUnidentified, true
	case errors.As(cause, &mismatch):
		return ViolationMismatch, true
	case errors.Is(cause, ErrMalformed), errors.As(cause, &chunks):
		return ViolationMalformed, true
	}
	return "", false
}
